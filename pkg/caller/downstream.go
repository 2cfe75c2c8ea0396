package caller

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// DownstreamConfig configures a Downstream. Zero values are replaced by the
// documented defaults.
type DownstreamConfig struct {
	// Node is the local address of the node beside this backend server, such as
	// "127.0.0.1:7001". It is required.
	Node string
	// BodyBytes bounds the body of an answer. The default is 4 MiB.
	BodyBytes int64
}

// Downstream makes a backend server's calls to other services through the node
// beside it. It never sends a call twice, because the node retries within the
// request's tokens. It may be used by several goroutines at once.
type Downstream struct {
	config DownstreamConfig
	http   *http.Client
}

// Call is one downstream call.
type Call struct {
	Service string
	Method  string
	// Path starts with '/' and may contain a query.
	Path   string
	Header http.Header
	Body   []byte
	// Key distinguishes intended repeats of a call from retries. Without it, a
	// second call with the same service, method, path and body counts as a retry if
	// the first one is running or has failed.
	Key string
}

// NewDownstream returns a client for the calls of a backend server.
func NewDownstream(config DownstreamConfig) (*Downstream, error) {
	if config.Node == "" {
		return nil, errors.New("caller: no local address of the node given")
	}
	if config.BodyBytes <= 0 {
		config.BodyBytes = defaultBodyBytes
	}
	return &Downstream{
		config: config,
		http:   newHTTPClient(maxIdleConnections),
	}, nil
}

// Close closes unused connections.
func (d *Downstream) Close() {
	d.http.CloseIdleConnections()
}

// Do makes a call on behalf of the request that the backend server is serving.
// The call is cancelled with that request's context. Errors are of type *Refusal.
func (d *Downstream) Do(served *http.Request, call Call) (*Response, error) {
	id := served.Header.Get(lagoonbarrow.HeaderCall)
	if id == "" {
		return nil, &Refusal{
			Status:  statusBadRequest,
			Outcome: lagoonbarrow.OutcomeNotRun,
			Reason:  lagoonbarrow.ReasonUnknownCall,
			Text:    "the request being served carries no " + lagoonbarrow.HeaderCall + " header",
		}
	}
	if !strings.HasPrefix(call.Path, "/") {
		return nil, newMalformedRefusal("the path does not start with '/'")
	}
	header := call.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(lagoonbarrow.HeaderCall, id)
	if call.Key != "" {
		header.Set(lagoonbarrow.HeaderCallKey, call.Key)
	}
	response, refused := exchange(served.Context(), d.http, message{
		address:   d.config.Node,
		method:    call.Method,
		path:      "/" + url.PathEscape(call.Service) + call.Path,
		header:    header,
		body:      call.Body,
		bodyLimit: d.config.BodyBytes,
	})
	if refused != nil {
		refused.Sends = 1
		return nil, refused
	}
	response.Sends = 1
	return response, nil
}

// Remaining returns the time that was left for the served request when the node
// sent it, or false if the header is missing or malformed.
func Remaining(served *http.Request) (time.Duration, bool) {
	milliseconds, err := strconv.ParseUint(served.Header.Get(lagoonbarrow.HeaderDeadline), 10, 32)
	if err != nil {
		return 0, false
	}
	return time.Duration(milliseconds) * time.Millisecond, true
}

// NotRun writes an answer which states that this backend server did not run the call
// and will not run it. Call NotRun only if nothing was done, and before anything else
// is written. The node may then send the call to another instance. retryAfter is
// rounded up to whole seconds. With 0, the Retry-After header is omitted.
func NotRun(response http.ResponseWriter, retryAfter time.Duration) {
	response.Header().Set(lagoonbarrow.HeaderOutcome, string(lagoonbarrow.OutcomeNotRun))
	if retryAfter > 0 {
		seconds := int64((retryAfter + time.Second - 1) / time.Second)
		response.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	response.WriteHeader(http.StatusServiceUnavailable)
}

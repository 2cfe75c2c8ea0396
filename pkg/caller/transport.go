package caller

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

const (
	// dialTimeout bounds the wait for an address that does not answer. It is far
	// above a round trip within a region (about 10 ms from a client).
	dialTimeout = time.Second
	// idleTimeout is below the minute after which nodes close unused
	// connections, so that a request seldom meets a connection being closed.
	idleTimeout = 45 * time.Second
	// defaultBodyBytes is the default of the nodes' max-body-bytes setting.
	defaultBodyBytes = 4 << 20
)

// newHTTPClient returns a client that follows no redirects and unpacks nothing,
// so that answers arrive as the backend server gave them.
func newHTTPClient(connections int) *http.Client {
	dialer := net.Dialer{
		Timeout: dialTimeout,
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// message is one HTTP request to a node.
type message struct {
	address string
	method  string
	path    string
	header  http.Header
	body    []byte
	limit   int64
}

// exchange sends a message once and reads the whole answer.
func exchange(ctx context.Context, client *http.Client, sent message) (*Response, *Refusal) {
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			connected.Store(true)
		},
	})
	request, err := newRequest(traced, sent)
	if err != nil {
		return nil, malformed(err.Error())
	}
	answer, err := client.Do(request)
	if err != nil && !connected.Load() {
		return nil, notSent(errors.Wrapf(err, "caller: connect to %s", sent.address))
	}
	if err != nil {
		return nil, &Refusal{
			Outcome: lagoonbarrow.OutcomeUnknown,
			Err:     errors.Wrapf(err, "caller: ask %s", sent.address),
		}
	}
	defer func() {
		_ = answer.Body.Close()
	}()
	return read(answer, sent.limit)
}

func notSent(err error) *Refusal {
	return &Refusal{
		Outcome: lagoonbarrow.OutcomeNotRun,
		Reason:  lagoonbarrow.ReasonUnreachable,
		Err:     err,
	}
}

// malformed refuses a request that can't be written as HTTP.
func malformed(text string) *Refusal {
	return &Refusal{
		Status:  statusBadRequest,
		Outcome: lagoonbarrow.OutcomeNotRun,
		Text:    text,
	}
}

func newRequest(ctx context.Context, sent message) (*http.Request, error) {
	if !strings.HasPrefix(sent.path, "/") {
		return nil, errors.Errorf("the path %q does not start with '/'", sent.path)
	}
	// net/http sends a request again on its own when a reused connection was
	// closed, unless its body can't be rewound. Nodes would count that re-send
	// and this package would not, so even an empty body is of that kind.
	body := io.NopCloser(onlyReader{
		Reader: bytes.NewReader(sent.body),
	})
	request, err := http.NewRequestWithContext(ctx, sent.method, "http://"+sent.address+sent.path, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(sent.body))
	request.Header = sent.header
	return request, nil
}

// onlyReader hides all other methods of a reader.
type onlyReader struct {
	io.Reader
}

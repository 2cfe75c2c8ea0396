package entry

import (
	"context"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
	"lagoonbarrow/internal/request/execute"
	"lagoonbarrow/internal/request/forward"
	"lagoonbarrow/internal/version/routing"
	"lagoonbarrow/pkg/event"
)

const (
	// unreadyReturn is when clients of a node without a configuration come back; it
	// usually has one within a second.
	unreadyReturn = 300 * time.Millisecond
	// stoppingReturn is when clients of a stopping node come back, by then to
	// another one.
	stoppingReturn = 200 * time.Millisecond
	// maxDeadline bounds what clients may ask for.
	maxDeadline = time.Hour
)

// RoutedConfig configures a RoutedListener.
type RoutedConfig struct {
	Address lagoonbarrow.Address
	// Service is the service of the backend server beside this node, where all
	// requests of this listener begin.
	Service   lagoonbarrow.ServiceName
	Limits    Limits
	Headers   lagoonbarrow.ServerHeaders
	Routes    *routing.Registry
	Forwarder *forward.Forwarder
	// Parent finds the running call that a request of the backend server belongs to.
	Parent   func(request lagoonbarrow.RequestID) (*execute.Run, bool)
	Recorder lagoonbarrow.Recorder
	Logger   hclog.Logger
}

// RoutedListener serves the requests of the clients on this machine and of the
// backend server beside this node, by the routes of the configuration.
type RoutedListener struct {
	config  RoutedConfig
	server  *server
	dropped []string
	// thresholds are those that client requests have met below, by route.
	thresholds *thresholds
	inFlight   atomic.Int64
	// draining asks clients to close their connections.
	draining atomic.Bool
	// closed refuses new requests.
	closed atomic.Bool
	// lastRequest is the Unix time in nanoseconds of the last request.
	lastRequest atomic.Int64
}

// NewRoutedListener returns a listener that is not started yet.
func NewRoutedListener(config RoutedConfig) *RoutedListener {
	listener := &RoutedListener{
		config:     config,
		thresholds: newThresholds(routedMemory, time.Now),
		dropped: []string{
			strings.ToLower(config.Headers.RequestID),
			strings.ToLower(config.Headers.Deadline),
			strings.ToLower(config.Headers.ExpectedServer),
			strings.ToLower(config.Headers.CallerService),
			"expect",
		},
	}
	listener.server = newServer(config.Address, config.Limits, config.Logger, listener.serve)
	listener.server.http.NoDefaultDate = true
	return listener
}

// Start listens and returns the address in use.
func (l *RoutedListener) Start() (lagoonbarrow.Address, error) {
	return l.server.start()
}

// Drain asks clients to close their connections after their next answer.
func (l *RoutedListener) Drain() {
	l.draining.Store(true)
}

// Close refuses new requests; those in progress go on.
func (l *RoutedListener) Close() {
	l.closed.Store(true)
}

// InFlight returns the number of requests in progress.
func (l *RoutedListener) InFlight() int {
	return int(l.inFlight.Load())
}

// Idle returns the time since the last request.
func (l *RoutedListener) Idle() time.Duration {
	return time.Since(time.Unix(0, l.lastRequest.Load()))
}

// Stop closes the listener and waits for requests in progress until ctx ends.
func (l *RoutedListener) Stop(ctx context.Context) error {
	return l.server.stop(ctx)
}

func (l *RoutedListener) serve(http *fasthttp.RequestCtx) {
	received := time.Now()
	l.lastRequest.Store(received.UnixNano())
	l.inFlight.Add(1)
	defer l.inFlight.Add(-1)
	if l.draining.Load() {
		http.SetConnectionClose()
	}
	request, refused := l.accept(http, received)
	if refused != nil {
		l.refuse(http, refused.status, refused.returnAfter)
		l.recordRefusal(http, refused)
		return
	}
	parent := l.inherit(request)
	if parent == nil && !l.thresholds.admits(thresholdKey(request), request.Priority) {
		l.shed(http, request)
		return
	}
	ctx, cancel := follow(http)
	defer cancel()
	answer := l.config.Forwarder.Do(ctx, request)
	l.learn(request, parent, answer)
	l.write(http, request.ID, answer)
	if answer.Outcome != lagoonbarrow.OutcomeDone {
		l.record(http, request, answer)
	}
}

// learn notes what an answer tells of the services below: the run that made the
// call passes it on with its own answer, and client requests are measured by it.
func (l *RoutedListener) learn(request *forward.Request, parent *execute.Run, answer *lagoonbarrow.Answer) {
	if parent != nil {
		parent.Met(answer.Threshold)
		if answer.Outcome != lagoonbarrow.OutcomeDone || answer.Failed() {
			parent.CallFailed()
		}
		return
	}
	if answer.Offered {
		l.thresholds.observe(thresholdKey(request), min(answer.Threshold, highestThreshold(request.Route.Importance)))
	}
}

func thresholdKey(request *forward.Request) classKey {
	return classKey{
		class: lagoonbarrow.ClassName(request.Route.Name),
	}
}

// shed refuses a request whose calls would be refused below, before a server has
// spent anything on it.
func (l *RoutedListener) shed(http *fasthttp.RequestCtx, request *forward.Request) {
	answer := lagoonbarrow.Refuse(lagoonbarrow.CallID(request.ID), lagoonbarrow.ReasonShed)
	answer.Threshold = l.thresholds.level(thresholdKey(request))
	answer.RetryAfter = forward.ReturnTime(request.Route.Objective)
	l.write(http, request.ID, answer)
	l.record(http, request, answer)
}

// refusal is why a request is not accepted.
type refusal struct {
	status int
	// returnAfter is when the client should come back; 0 if it shouldn't.
	returnAfter time.Duration
	cause       error
}

// accept returns the request, or why it is refused.
func (l *RoutedListener) accept(http *fasthttp.RequestCtx, received time.Time) (*forward.Request, *refusal) {
	if l.closed.Load() {
		return nil, &refusal{
			status:      fasthttp.StatusServiceUnavailable,
			returnAfter: stoppingReturn,
			cause:       lagoonbarrow.ErrStopping,
		}
	}
	if err := checkTarget(http); err != nil {
		return nil, &refusal{
			status: fasthttp.StatusBadRequest,
			cause:  err,
		}
	}
	path := pathWithQuery(http)
	host := string(http.Host())
	route, err := l.config.Routes.Find(host, path)
	if errors.Is(err, lagoonbarrow.ErrUnavailable) {
		return nil, &refusal{
			status:      fasthttp.StatusServiceUnavailable,
			returnAfter: unreadyReturn,
			cause:       errors.Wrap(err, "entry: no configuration is in force"),
		}
	}
	if err != nil {
		return nil, &refusal{
			status: fasthttp.StatusNotFound,
			cause:  err,
		}
	}
	request := &forward.Request{
		ID:       lagoonbarrow.RequestID(http.Request.Header.Peek(l.config.Headers.RequestID)),
		Route:    route,
		Service:  route.Service(),
		Host:     host,
		Method:   string(http.Method()),
		Path:     path,
		Header:   l.header(http),
		Body:     bodyCopy(http),
		Received: received,
		Deadline: received.Add(min(route.Timeout, l.deadline(http))),
	}
	return request, nil
}

// inherit gives a request of the backend server the importance and the deadline
// of the call that it belongs to, and returns that call, or nil for a request of a
// client.
func (l *RoutedListener) inherit(request *forward.Request) *execute.Run {
	parent, found := l.config.Parent(request.ID)
	if !found {
		request.Priority = lagoonbarrow.NewPriority(request.Route.Importance, xxhash.Sum64String(string(request.ID)))
		return nil
	}
	request.Nested = true
	request.Repeat = parent.Repeat
	request.Priority = parent.Priority
	if parent.Deadline.Before(request.Deadline) {
		request.Deadline = parent.Deadline
	}
	return parent
}

// deadline returns how long the client waits.
func (l *RoutedListener) deadline(http *fasthttp.RequestCtx) time.Duration {
	milliseconds, err := strconv.ParseInt(string(http.Request.Header.Peek(l.config.Headers.Deadline)), 10, 64)
	if err != nil || milliseconds < 0 || milliseconds > maxDeadline.Milliseconds() {
		return maxDeadline
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// header returns the headers that are passed on, with the service where the
// request begins.
func (l *RoutedListener) header(http *fasthttp.RequestCtx) []lagoonbarrow.HeaderField {
	fields := passedHeader(http, l.dropped...)
	return append(fields, lagoonbarrow.HeaderField{
		Name:  l.config.Headers.CallerService,
		Value: string(l.config.Service),
	})
}

// refuse answers a request that was not run.
func (l *RoutedListener) refuse(http *fasthttp.RequestCtx, status int, returnAfter time.Duration) {
	http.SetStatusCode(status)
	if returnAfter > 0 {
		http.Response.Header.Set(fasthttp.HeaderRetryAfter, seconds(returnAfter))
	}
}

// write writes a backend server's answer unchanged, or the node's own one.
func (l *RoutedListener) write(http *fasthttp.RequestCtx, id lagoonbarrow.RequestID, answer *lagoonbarrow.Answer) {
	http.Response.Header.SetNoDefaultContentType(true)
	if answer.Outcome != lagoonbarrow.OutcomeDone {
		l.refuse(http, routedStatus(answer), answer.RetryAfter)
		return
	}
	http.SetStatusCode(answer.Status)
	http.Response.Header.Set(l.config.Headers.RequestID, string(id))
	for _, field := range answer.Header {
		http.Response.Header.Add(field.Name, field.Value)
	}
	http.SetBody(answer.Body)
}

// routedStatus is the status of an answer that is not a backend server's. Only
// 503 tells the client that its request was not run.
func routedStatus(answer *lagoonbarrow.Answer) int {
	switch {
	case answer.Outcome == lagoonbarrow.OutcomeNotRun && answer.Status == fasthttp.StatusBadRequest:
		return fasthttp.StatusBadRequest
	case answer.Outcome == lagoonbarrow.OutcomeNotRun:
		return fasthttp.StatusServiceUnavailable
	case answer.Reason == lagoonbarrow.ReasonDeadline:
		return fasthttp.StatusGatewayTimeout
	default:
		return fasthttp.StatusBadGateway
	}
}

// seconds writes a duration as seconds with three decimals.
func seconds(duration time.Duration) string {
	return strconv.FormatFloat(duration.Seconds(), 'f', 3, 64)
}

func (l *RoutedListener) recordRefusal(http *fasthttp.RequestCtx, refused *refusal) {
	l.config.Recorder.Record(event.RequestEnded, event.Fields{
		Request: string(http.Request.Header.Peek(l.config.Headers.RequestID)),
		Detail: "status=" + strconv.Itoa(refused.status) + " outcome=" + string(lagoonbarrow.OutcomeNotRun) +
			" version=" + strconv.FormatUint(uint64(l.config.Routes.Version()), 10) + " retry-after=" + refused.returnAfter.String() +
			" cause=" + refused.cause.Error(),
	})
}

func (l *RoutedListener) record(http *fasthttp.RequestCtx, request *forward.Request, answer *lagoonbarrow.Answer) {
	l.config.Recorder.Record(event.RequestEnded, event.Fields{
		Request: string(request.ID),
		Class:   string(request.Route.Name),
		Detail: "status=" + strconv.Itoa(http.Response.StatusCode()) + " outcome=" + string(answer.Outcome) + " reason=" + string(answer.Reason) +
			" version=" + strconv.FormatUint(uint64(request.Route.Version), 10) + " service=" + string(request.Service) +
			" priority=" + strconv.Itoa(int(request.Priority)) + " threshold=" + strconv.Itoa(int(answer.Threshold)) +
			" retry-after=" + answer.RetryAfter.String() + " took=" + time.Since(request.Received).Round(time.Millisecond).String(),
	})
}

package entry

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/fairness"
	"lagoonbarrow/internal/process/memory"
	"lagoonbarrow/internal/process/shutdown"
	"lagoonbarrow/internal/request/execute"
	"lagoonbarrow/internal/request/forward"
	"lagoonbarrow/internal/version/routing"
	"lagoonbarrow/pkg/event"
)

const (
	// notReadyRetryAfter is sent by a node without a configuration. It usually has one
	// within a second.
	notReadyRetryAfter = 300 * time.Millisecond
	// stoppingRetryAfter is sent by a stopping node. Clients that retry after it reach
	// another node.
	stoppingRetryAfter = 200 * time.Millisecond
	// maxClientTimeout bounds the timeout that a client may request.
	maxClientTimeout = time.Hour
)

// RoutedConfig configures a RoutedListener.
type RoutedConfig struct {
	Address lagoonbarrow.Address
	// Service is the service of the backend server beside this node. It is sent as the
	// calling service of all requests of this listener.
	Service   lagoonbarrow.ServiceName
	Limits    Limits
	Headers   lagoonbarrow.ServerHeaders
	Routes    *routing.Registry
	Forwarder *forward.Forwarder
	// Parent finds the running call that a request of the backend server belongs to.
	Parent func(request lagoonbarrow.RequestID) (*execute.Run, bool)
	// Board holds the thresholds of services that this node knows; a new one by default.
	Board *fairness.Board
	// CustomerLimits bounds the rates of customers. Nil means that there is no bound.
	CustomerLimits lagoonbarrow.CustomerLimits
	Recorder       lagoonbarrow.Recorder
	Logger         hclog.Logger
}

// RoutedListener serves the requests of clients on this machine and of the backend
// server beside this node. It forwards them by the routes of the configuration.
type RoutedListener struct {
	config RoutedConfig
	server *server
	// droppedHeaders are the lower-case names of headers that are not forwarded.
	droppedHeaders []string
	// keyedDroppedHeaders are those while the configuration has customers.
	keyedDroppedHeaders []string
	// thresholds are the thresholds in the answers to client requests, by route.
	thresholds *thresholds
	// demand determines which requests of customers exceed their usual demand.
	demand   *fairness.Demand
	inFlight atomic.Int64
	// stopDeadline is set when answers should close their connections.
	stopDeadline shutdown.Deadline
	// work is cancelled to abort all requests.
	work  context.Context
	abort context.CancelFunc
	// closed is set when new requests are refused.
	closed atomic.Bool
	// lastRequest is the Unix time in nanoseconds of the last request.
	lastRequest atomic.Int64
}

// NewRoutedListener returns a listener that is not started yet.
func NewRoutedListener(config RoutedConfig) *RoutedListener {
	if config.Board == nil {
		config.Board = fairness.NewBoard()
	}
	work, abort := context.WithCancel(context.Background())
	listener := &RoutedListener{
		config:     config,
		work:       work,
		abort:      abort,
		thresholds: newThresholds(routedDecay, time.Now),
		demand:     fairness.NewDemand(),
		droppedHeaders: []string{
			strings.ToLower(config.Headers.RequestID),
			strings.ToLower(config.Headers.Deadline),
			strings.ToLower(config.Headers.ExpectedServer),
			strings.ToLower(config.Headers.CallerService),
			"expect",
		},
	}
	listener.keyedDroppedHeaders = append(slices.Clone(listener.droppedHeaders),
		strings.ToLower(fasthttp.HeaderAuthorization), strings.ToLower(config.Headers.Customer))
	listener.server = newServer(config.Address, config.Limits, config.Logger, listener.serve)
	listener.server.http.NoDefaultDate = true
	return listener
}

// Start listens and returns the address in use.
func (l *RoutedListener) Start() (lagoonbarrow.Address, error) {
	return l.server.start()
}

// Drain makes every answer close its connection, and bounds the deadlines of the requests
// that arrive from now on.
func (l *RoutedListener) Drain(deadline time.Time) {
	l.stopDeadline.Set(deadline)
}

// StopAccepting makes the listener refuse new requests, except those that a running call
// of the backend server needs. Requests in progress continue.
func (l *RoutedListener) StopAccepting() {
	l.closed.Store(true)
}

// Abort aborts all requests, which are answered.
func (l *RoutedListener) Abort() {
	l.abort()
}

// InFlight returns the number of requests in progress, including those whose long
// responses are being written.
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

func (l *RoutedListener) serve(ctx *fasthttp.RequestCtx) {
	received := time.Now()
	l.lastRequest.Store(received.UnixNano())
	l.inFlight.Add(1)
	defer l.inFlight.Add(-1)
	if l.stopDeadline.IsSet() {
		ctx.SetConnectionClose()
	}
	request, customer, refused := l.accept(ctx, received)
	if refused != nil {
		l.refuse(ctx, refused.status, refused.retryAfter)
		l.recordRefusal(ctx, refused)
		return
	}
	parent := l.inheritFromParent(request, customer)
	if parent == nil && !l.admits(request) {
		l.shed(ctx, request)
		return
	}
	callCtx, cancel := disconnectContext(l.work, ctx)
	defer cancel()
	if refused := l.takeFromLimit(callCtx, customer, request.Deadline); refused != nil {
		l.refuse(ctx, refused.status, refused.retryAfter)
		l.recordRefusal(ctx, refused)
		return
	}
	callCtx, holder := l.server.memory.NewHolder(callCtx)
	// The forwarder may panic.
	defer holder.ReleaseUnlessWriting()
	answer := l.config.Forwarder.Do(callCtx, request)
	l.returnToLimit(customer, answer)
	l.observeAnswer(request, parent, answer)
	l.write(ctx, request.ID, answer)
	l.writeBody(ctx, request, answer, holder)
	if answer.Outcome != lagoonbarrow.OutcomeDone {
		l.record(ctx, request, answer)
	}
}

// observeAnswer records the threshold of an answer. For a request of the backend
// server, the parent run records it for its own answer, and also whether the call
// failed. For a client request, it counts for the route.
func (l *RoutedListener) observeAnswer(request *forward.Request, parent *execute.Run, answer *lagoonbarrow.Answer) {
	l.config.Board.Observe(request.Service, answer.Services, time.Now())
	if parent != nil {
		parent.RaiseThreshold(answer.Threshold)
		parent.AddCalled(answer.Services)
		if answer.Outcome != lagoonbarrow.OutcomeDone || answer.Failed() {
			parent.MarkCallFailed()
		}
		return
	}
	if request.Customer != "" {
		l.config.Board.ObserveCalled(request.Route.Name, answer.Services, time.Now())
		return
	}
	if answer.SentToServer {
		l.thresholds.observe(thresholdKey(request), min(answer.Threshold, refuseAllThreshold(request.Priority.Importance())))
	}
}

// admits reports whether a client request passes the threshold of its route or, if it belongs
// to a customer, those of the services that it calls.
func (l *RoutedListener) admits(request *forward.Request) bool {
	if request.Customer == "" {
		return l.thresholds.admits(thresholdKey(request), request.Priority)
	}
	lowest, _ := l.threshold(request)
	return lowest.Admits(request.Priority)
}

// threshold returns the threshold that admits applies, and for a request of a customer the
// service that determines it.
func (l *RoutedListener) threshold(request *forward.Request) (lagoonbarrow.Threshold, lagoonbarrow.ServiceName) {
	if request.Customer == "" {
		return l.thresholds.level(thresholdKey(request)), ""
	}
	return l.config.Board.Threshold(request.Route.Name, time.Now())
}

func thresholdKey(request *forward.Request) classKey {
	return classKey{
		class:      lagoonbarrow.ClassName(request.Route.Name),
		importance: request.Priority.Importance(),
	}
}

// shed refuses a request whose downstream calls would be refused, before a server
// spends work on it.
func (l *RoutedListener) shed(ctx *fasthttp.RequestCtx, request *forward.Request) {
	answer := lagoonbarrow.NewRefusal(lagoonbarrow.CallID(request.ID), lagoonbarrow.ReasonShed)
	lowest, binding := l.threshold(request)
	answer.Threshold = lowest
	answer.RetryAfter = forward.DownstreamRetryAfter(request.Route.TargetLatency)
	l.write(ctx, request.ID, answer)
	l.record(ctx, request, answer, bindingDetail(request, binding)...)
}

// bindingDetail returns the details of the event for a request that is refused since a
// service is short of slots.
func bindingDetail(request *forward.Request, binding lagoonbarrow.ServiceName) []string {
	if request.Customer == "" {
		return nil
	}
	return []string{"customer=" + string(request.Customer), "binding=" + string(binding)}
}

// refusal describes why a request is not accepted.
type refusal struct {
	status int
	// retryAfter is when the client should retry, or 0 if it shouldn't.
	retryAfter time.Duration
	cause      error
}

// accept parses a request and finds its route and the customer of its client, which is nil
// without one. It returns a refusal if the request can't be forwarded.
func (l *RoutedListener) accept(ctx *fasthttp.RequestCtx, received time.Time) (*forward.Request, *lagoonbarrow.Customer, *refusal) {
	id := lagoonbarrow.RequestID(ctx.Request.Header.Peek(l.config.Headers.RequestID))
	if l.closed.Load() && !l.hasParent(id) {
		return nil, nil, &refusal{
			status:     fasthttp.StatusServiceUnavailable,
			retryAfter: stoppingRetryAfter,
			cause:      lagoonbarrow.ErrStopping,
		}
	}
	if err := checkTarget(ctx); err != nil {
		return nil, nil, &refusal{
			status: fasthttp.StatusBadRequest,
			cause:  err,
		}
	}
	path := pathWithQuery(ctx)
	host := string(ctx.Host())
	route, err := l.config.Routes.Find(host, path)
	if errors.Is(err, lagoonbarrow.ErrUnavailable) {
		return nil, nil, &refusal{
			status:     fasthttp.StatusServiceUnavailable,
			retryAfter: notReadyRetryAfter,
			cause:      errors.Wrap(err, "entry: no configuration is in force"),
		}
	}
	if err != nil {
		return nil, nil, &refusal{
			status: fasthttp.StatusNotFound,
			cause:  err,
		}
	}
	customer, refused := l.authenticate(ctx, route, id)
	if refused != nil {
		return nil, nil, refused
	}
	request := &forward.Request{
		ID:       id,
		Route:    route,
		Service:  route.Service(),
		Host:     host,
		Method:   string(ctx.Method()),
		Path:     path,
		Header:   l.requestHeader(ctx),
		Body:     ctx.Request.Body(),
		Received: received,
		Deadline: l.stopDeadline.Bound(received.Add(min(route.Timeout, l.clientTimeout(ctx)))),
	}
	return request, customer, nil
}

// hasParent reports whether a request belongs to a running call of the backend server.
func (l *RoutedListener) hasParent(id lagoonbarrow.RequestID) bool {
	_, found := l.config.Parent(id)
	return found
}

// inheritFromParent gives a request of the backend server the customer, the priority and
// the deadline of the call that it belongs to, and returns that call. For a client request
// it sets the customer, and the priority from the customer and the route, and returns nil.
func (l *RoutedListener) inheritFromParent(request *forward.Request, customer *lagoonbarrow.Customer) *execute.Run {
	parent, found := l.config.Parent(request.ID)
	if !found {
		hash := xxhash.Sum64String(string(request.ID))
		request.Priority = lagoonbarrow.NewPriority(request.Route.Importance, hash)
		if customer != nil {
			request.Priority = l.customerPriority(customer, request.Route.Importance, hash)
			l.setCustomer(request, customer.ID)
		}
		return nil
	}
	if parent.Customer != "" {
		l.setCustomer(request, parent.Customer)
	}
	request.Nested = true
	request.Repeat = parent.Repeat
	request.Priority = parent.Priority
	if parent.Deadline.Before(request.Deadline) {
		request.Deadline = parent.Deadline
	}
	return parent
}

// customerPriority returns the priority of a client request of a customer.
func (l *RoutedListener) customerPriority(customer *lagoonbarrow.Customer, route lagoonbarrow.Importance, hash uint64) lagoonbarrow.Priority {
	if l.demand.Arrive(customer.ID, hash, time.Now()) {
		return fairness.ExcessPriority(customer, route, hash)
	}
	return customer.Priority(route, hash)
}

// clientTimeout returns how long the client waits for the answer.
func (l *RoutedListener) clientTimeout(ctx *fasthttp.RequestCtx) time.Duration {
	milliseconds, err := strconv.ParseInt(string(ctx.Request.Header.Peek(l.config.Headers.Deadline)), 10, 64)
	if err != nil || milliseconds < 0 || milliseconds > maxClientTimeout.Milliseconds() {
		return maxClientTimeout
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// requestHeader returns the headers to forward, with the name of the calling service.
func (l *RoutedListener) requestHeader(ctx *fasthttp.RequestCtx) []lagoonbarrow.HeaderField {
	fields := forwardableHeaders(ctx, l.headersToDrop()...)
	return append(fields, lagoonbarrow.HeaderField{
		Name:  l.config.Headers.CallerService,
		Value: string(l.config.Service),
	})
}

// refuse answers a request that was not run.
func (l *RoutedListener) refuse(ctx *fasthttp.RequestCtx, status int, retryAfter time.Duration) {
	ctx.SetStatusCode(status)
	if retryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, formatSeconds(retryAfter))
	}
}

// write writes a backend server's answer unchanged, or an answer of the node itself.
func (l *RoutedListener) write(ctx *fasthttp.RequestCtx, id lagoonbarrow.RequestID, answer *lagoonbarrow.Answer) {
	ctx.Response.Header.SetNoDefaultContentType(true)
	if answer.Outcome != lagoonbarrow.OutcomeDone {
		l.refuse(ctx, routedStatus(answer), answer.RetryAfter)
		return
	}
	ctx.SetStatusCode(answer.Status)
	ctx.Response.Header.Set(l.config.Headers.RequestID, string(id))
	for _, field := range answer.Header {
		ctx.Response.Header.Add(field.Name, field.Value)
	}
}

// writeBody sets the body of a backend server's answer. The memory of a long one stays
// counted until it has been written.
func (l *RoutedListener) writeBody(ctx *fasthttp.RequestCtx, request *forward.Request, answer *lagoonbarrow.Answer, holder *memory.Holder) {
	if answer.Outcome != lagoonbarrow.OutcomeDone || holder.Held() == 0 {
		ctx.Response.SetBodyRaw(answer.Body)
		return
	}
	l.inFlight.Add(1)
	stream := &responseStream{
		onClose:  func() { l.inFlight.Add(-1) },
		body:     answer.Body,
		size:     len(answer.Body),
		holder:   holder,
		request:  request.ID,
		class:    lagoonbarrow.ClassName(request.Route.Name),
		started:  time.Now(),
		recorder: l.config.Recorder,
	}
	connection := ctx.Conn()
	holder.Write(!request.Route.Idempotent, func() {
		_ = connection.Close()
	})
	ctx.Response.SetBodyStream(stream, len(answer.Body))
}

// routedStatus returns the status of an answer that is not a backend server's. Only
// 503 indicates to the client that its request was not run.
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

// formatSeconds formats a duration in seconds with three decimals.
func formatSeconds(duration time.Duration) string {
	return strconv.FormatFloat(duration.Seconds(), 'f', 3, 64)
}

func (l *RoutedListener) recordRefusal(ctx *fasthttp.RequestCtx, refused *refusal) {
	l.config.Recorder.Record(event.RequestEnded, event.Fields{
		Request: string(ctx.Request.Header.Peek(l.config.Headers.RequestID)),
		Detail: "status=" + strconv.Itoa(refused.status) + " outcome=" + string(lagoonbarrow.OutcomeNotRun) +
			" version=" + strconv.FormatUint(uint64(l.config.Routes.Version()), 10) + " retry-after=" + refused.retryAfter.String() +
			" cause=" + refused.cause.Error(),
	})
}

// record records the end of a request, with further details.
func (l *RoutedListener) record(ctx *fasthttp.RequestCtx, request *forward.Request, answer *lagoonbarrow.Answer, details ...string) {
	l.config.Recorder.Record(event.RequestEnded, event.Fields{
		Request: string(request.ID),
		Class:   string(request.Route.Name),
		Detail: "status=" + strconv.Itoa(ctx.Response.StatusCode()) + " outcome=" + string(answer.Outcome) + " reason=" + string(answer.Reason) +
			" version=" + strconv.FormatUint(uint64(request.Route.Version), 10) + " service=" + string(request.Service) +
			" priority=" + strconv.Itoa(int(request.Priority)) + " threshold=" + strconv.Itoa(int(answer.Threshold)) +
			" retry-after=" + answer.RetryAfter.String() + " took=" + time.Since(request.Received).Round(time.Millisecond).String() +
			strings.Join(append([]string{""}, details...), " "),
	})
}

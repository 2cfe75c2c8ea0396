package entry

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// maxKeyBytes bounds idempotency keys and request keys, which become table keys.
const maxKeyBytes = 200

// CustomerConfig configures a CustomerListener.
type CustomerConfig struct {
	Address   lagoonbarrow.Address
	Service   lagoonbarrow.ServiceName
	Limits    Limits
	Contracts lagoonbarrow.Contracts
	Quota     lagoonbarrow.Quota
	Table     lagoonbarrow.Table
	Ledger    lagoonbarrow.Ledger
	Caller    lagoonbarrow.Caller
	Recorder  lagoonbarrow.Recorder
	Scope     tally.Scope
	Logger    hclog.Logger
	// Plain disables quota and thresholds. Baseline measurements use it.
	Plain bool
}

// CustomerListener serves customers' HTTP requests.
type CustomerListener struct {
	config     CustomerConfig
	server     *server
	thresholds *thresholds
	accepted   tally.Counter
	refused    tally.Counter
	draining   atomic.Bool
}

// NewCustomerListener returns a listener that is not started yet.
func NewCustomerListener(config CustomerConfig) *CustomerListener {
	listener := &CustomerListener{
		config:     config,
		thresholds: newThresholds(customerDecay, time.Now),
		accepted:   config.Scope.Counter("requests-accepted"),
		refused:    config.Scope.Counter("requests-refused"),
	}
	listener.server = newServer(config.Address, config.Limits, config.Logger, listener.serve)
	return listener
}

// Start listens and returns the address in use.
func (l *CustomerListener) Start() (lagoonbarrow.Address, error) {
	return l.server.start()
}

// Drain makes every answer close its connection, which lets customers reconnect to
// another node.
func (l *CustomerListener) Drain() {
	l.draining.Store(true)
}

// Stop closes the listener and waits for requests in progress until ctx ends.
func (l *CustomerListener) Stop(ctx context.Context) error {
	return l.server.stop(ctx)
}

// Thresholds returns the entry thresholds in force by customer and class.
func (l *CustomerListener) Thresholds() map[string]lagoonbarrow.Threshold {
	return l.thresholds.snapshot()
}

// request is a customer's request with its contract, its class and its root call.
type request struct {
	record   lagoonbarrow.ContractRecord
	class    lagoonbarrow.Class
	root     *lagoonbarrow.Call
	deadline time.Time
}

func (l *CustomerListener) serve(ctx *fasthttp.RequestCtx) {
	defer l.closeWhenDraining(ctx)
	if !l.config.Contracts.Ready() {
		l.refuse(ctx, nil, lagoonbarrow.ReasonNotReady, 0)
		return
	}
	req, reqErr := l.parseRequest(ctx)
	if reqErr != nil {
		l.refused.Inc(1)
		writeError(ctx, reqErr.status, reqErr.text)
		return
	}
	if reason, retryAfter := l.checkAdmission(req); reason != lagoonbarrow.ReasonNone {
		l.refuse(ctx, req, reason, retryAfter)
		return
	}
	l.run(ctx, req)
}

func (l *CustomerListener) closeWhenDraining(ctx *fasthttp.RequestCtx) {
	if l.draining.Load() {
		ctx.SetConnectionClose()
	}
}

// requestError is the answer to a request that can't become a call.
type requestError struct {
	status int
	text   string
}

// parseRequest authenticates the request and builds its root call without header
// and body.
func (l *CustomerListener) parseRequest(ctx *fasthttp.RequestCtx) (*request, *requestError) {
	key, found := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	if !found {
		return nil, &requestError{
			status: fasthttp.StatusUnauthorized,
			text:   "missing Bearer credential",
		}
	}
	record, err := l.config.Contracts.ByKey(key)
	if err != nil {
		return nil, &requestError{
			status: fasthttp.StatusUnauthorized,
			text:   "unknown Bearer credential",
		}
	}
	if err := checkRequestLine(ctx); err != nil {
		return nil, &requestError{
			status: fasthttp.StatusBadRequest,
			text:   err.Error(),
		}
	}
	class, err := l.config.Contracts.Match(record, string(ctx.Method()), string(ctx.Path()))
	if err != nil {
		return nil, &requestError{
			status: fasthttp.StatusForbidden,
			text:   "the contract has no class for this method and path",
		}
	}
	root, err := l.rootCall(ctx, record, class)
	if err != nil {
		return nil, &requestError{
			status: fasthttp.StatusBadRequest,
			text:   err.Error(),
		}
	}
	return &request{
		record:   record,
		class:    class,
		root:     root,
		deadline: time.Now().Add(time.Duration(class.Deadline)),
	}, nil
}

// checkRequestLine validates the method and the path.
func checkRequestLine(ctx *fasthttp.RequestCtx) error {
	if err := checkTarget(ctx); err != nil {
		return err
	}
	return checkPath(ctx)
}

func (l *CustomerListener) rootCall(ctx *fasthttp.RequestCtx, record lagoonbarrow.ContractRecord, class lagoonbarrow.Class) (*lagoonbarrow.Call, error) {
	key, err := requestKey(ctx, class)
	if err != nil {
		return nil, err
	}
	id := lagoonbarrow.NewRequestID()
	root := &lagoonbarrow.Call{
		ID:         lagoonbarrow.NewCallID(),
		Request:    id,
		Customer:   record.Customer,
		Class:      class.Name,
		Priority:   lagoonbarrow.NewPriority(class.Importance(), xxhash.Sum64String(string(id))),
		Long:       class.Long,
		Tokens:     class.RetryTokens,
		Key:        key,
		AtMostOnce: class.AtMostOnce,
		Service:    l.config.Service,
		Method:     string(ctx.Method()),
		Path:       pathWithQuery(ctx),
	}
	return root, nil
}

// addContent adds header and body to the root call and gives it an attempt ID if its
// class needs one. Refused requests skip it, which saves the copy of the header.
func (r *request) addContent(ctx *fasthttp.RequestCtx) {
	r.root.Header = forwardableHeaders(ctx, "authorization")
	r.root.Body = ctx.Request.Body()
	if r.class.AtMostOnce {
		r.root.Attempt = lagoonbarrow.NewAttemptID()
	}
}

// requestKey returns the key with which the customer may repeat the request.
func requestKey(ctx *fasthttp.RequestCtx, class lagoonbarrow.Class) (string, error) {
	key := string(ctx.Request.Header.Peek(lagoonbarrow.HeaderIdempotencyKey))
	if key == "" && class.AtMostOnce {
		return "", errors.New("this class of requests needs an Idempotency-Key header")
	}
	if key == "" {
		key = string(ctx.Request.Header.Peek(lagoonbarrow.HeaderRequestKey))
	}
	if len(key) > maxKeyBytes {
		return "", errors.Errorf("the key is longer than %d bytes", maxKeyBytes)
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' || key[i] == '/' {
			return "", errors.New("the key may hold printable ASCII characters other than space and '/'")
		}
	}
	return key, nil
}

// checkAdmission returns why a request is refused and when to retry it, or
// ReasonNone. It runs before the header is copied.
func (l *CustomerListener) checkAdmission(req *request) (lagoonbarrow.Reason, time.Duration) {
	if l.config.Plain {
		return lagoonbarrow.ReasonNone, 0
	}
	if req.class.AtMostOnce && !l.config.Table.Available() {
		return lagoonbarrow.ReasonPlatform, time.Second
	}
	if !l.thresholds.admits(req.thresholdKey(), req.root.Priority) {
		return lagoonbarrow.ReasonShed, time.Second
	}
	allowed, wait := l.config.Quota.Allow(req.record, req.class.WorkUnits, req.class.Importance())
	if !allowed {
		return lagoonbarrow.ReasonQuota, wait
	}
	return lagoonbarrow.ReasonNone, 0
}

func (r *request) thresholdKey() classKey {
	return classKey{
		customer: r.record.Customer,
		class:    r.class.Name,
	}
}

func (l *CustomerListener) run(ctx *fasthttp.RequestCtx, req *request) {
	req.addContent(ctx)
	l.accepted.Inc(1)
	l.record(event.RequestAccepted, req, req.root.Method+" "+req.root.Path)
	callCtx, cancel := disconnectContext(context.Background(), ctx)
	defer cancel()
	callCtx, cancelDeadline := context.WithDeadline(callCtx, req.deadline)
	defer cancelDeadline()
	account := l.config.Ledger.Open(req.root, req.deadline)
	defer account.Close()
	call := *req.root
	call.Depth = 1
	answer := l.config.Caller.Do(callCtx, account, &call)
	// Only nodes stamp answers. An answer without a stamp was made by the local caller,
	// for example after the deadline, and says nothing about thresholds.
	if answer.Stamp != (event.Stamp{}) {
		l.thresholds.observe(req.thresholdKey(), min(answer.Threshold, refuseAllThreshold(req.class.Importance())))
	}
	l.record(event.RequestEnded, req, string(answer.Outcome)+" "+string(answer.Reason))
	writeAnswer(ctx, req.root.Request, answer)
}

func (l *CustomerListener) refuse(ctx *fasthttp.RequestCtx, req *request, reason lagoonbarrow.Reason, retryAfter time.Duration) {
	l.refused.Inc(1)
	answer := lagoonbarrow.NewRefusal("", reason)
	answer.RetryAfter = retryAfter
	id := lagoonbarrow.RequestID("")
	if req != nil {
		id = req.root.Request
		l.record(event.RequestRefused, req, string(reason))
	}
	writeRefusal(ctx, id, answer)
}

func (l *CustomerListener) record(kind event.Kind, req *request, detail string) {
	l.config.Recorder.Record(kind, event.Fields{
		Request:         string(req.root.Request),
		Customer:        string(req.record.Customer),
		Class:           string(req.class.Name),
		ContractVersion: uint64(req.record.Version),
		Detail:          detail,
	})
}

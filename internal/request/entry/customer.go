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

// maxKeyBytes bounds idempotency and request keys, which become table keys.
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
	// Plain skips quota and thresholds, as the baseline of measurements.
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
		thresholds: newThresholds(customerMemory, time.Now),
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

// Drain asks customers to reconnect elsewhere: answers close their connection.
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

// request is one customer's request on its way to becoming a call.
type request struct {
	record   lagoonbarrow.ContractRecord
	class    lagoonbarrow.Class
	root     *lagoonbarrow.Call
	deadline time.Time
}

func (l *CustomerListener) serve(http *fasthttp.RequestCtx) {
	defer l.closeWhenDraining(http)
	if !l.config.Contracts.Ready() {
		l.refuse(http, nil, lagoonbarrow.ReasonNotReady, 0)
		return
	}
	accepted, problem := l.read(http)
	if problem != nil {
		l.refused.Inc(1)
		writeError(http, problem.status, problem.text)
		return
	}
	if reason, retryAfter := l.check(accepted); reason != lagoonbarrow.ReasonNone {
		l.refuse(http, accepted, reason, retryAfter)
		return
	}
	l.run(http, accepted)
}

func (l *CustomerListener) closeWhenDraining(http *fasthttp.RequestCtx) {
	if l.draining.Load() {
		http.SetConnectionClose()
	}
}

// problem is a request that can't become a call.
type problem struct {
	status int
	text   string
}

// read authenticates the request and builds its root call without the content.
func (l *CustomerListener) read(http *fasthttp.RequestCtx) (*request, *problem) {
	key, found := strings.CutPrefix(string(http.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	if !found {
		return nil, &problem{
			status: fasthttp.StatusUnauthorized,
			text:   "missing Bearer credential",
		}
	}
	record, err := l.config.Contracts.ByKey(key)
	if err != nil {
		return nil, &problem{
			status: fasthttp.StatusUnauthorized,
			text:   "unknown Bearer credential",
		}
	}
	if err := checkLine(http); err != nil {
		return nil, &problem{
			status: fasthttp.StatusBadRequest,
			text:   err.Error(),
		}
	}
	class, err := l.config.Contracts.Match(record, string(http.Method()), string(http.Path()))
	if err != nil {
		return nil, &problem{
			status: fasthttp.StatusForbidden,
			text:   "the contract has no class for this method and path",
		}
	}
	root, err := l.rootCall(http, record, class)
	if err != nil {
		return nil, &problem{
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

// checkLine checks method and path.
func checkLine(http *fasthttp.RequestCtx) error {
	if err := checkTarget(http); err != nil {
		return err
	}
	return checkPath(http)
}

func (l *CustomerListener) rootCall(http *fasthttp.RequestCtx, record lagoonbarrow.ContractRecord, class lagoonbarrow.Class) (*lagoonbarrow.Call, error) {
	key, err := requestKey(http, class)
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
		Method:     string(http.Method()),
		Path:       pathWithQuery(http),
	}
	return root, nil
}

// fill copies the content into the root call, which refused requests are spared.
func (r *request) fill(http *fasthttp.RequestCtx) {
	r.root.Header = passedHeader(http, "authorization")
	r.root.Body = bodyCopy(http)
	if r.class.AtMostOnce {
		r.root.Attempt = lagoonbarrow.NewAttemptID()
	}
}

// requestKey returns the key under which the customer may re-send the request.
func requestKey(http *fasthttp.RequestCtx, class lagoonbarrow.Class) (string, error) {
	key := string(http.Request.Header.Peek(lagoonbarrow.HeaderIdempotencyKey))
	if key == "" && class.AtMostOnce {
		return "", errors.New("this class of requests needs an Idempotency-Key header")
	}
	if key == "" {
		key = string(http.Request.Header.Peek(lagoonbarrow.HeaderRequestKey))
	}
	if len(key) > maxKeyBytes {
		return "", errors.Errorf("the key is longer than %d bytes", maxKeyBytes)
	}
	for position := range len(key) {
		if key[position] <= ' ' || key[position] > '~' || key[position] == '/' {
			return "", errors.New("the key may hold printable ASCII characters other than space and '/'")
		}
	}
	return key, nil
}

// check refuses requests before anything is spent on them.
func (l *CustomerListener) check(accepted *request) (lagoonbarrow.Reason, time.Duration) {
	if l.config.Plain {
		return lagoonbarrow.ReasonNone, 0
	}
	if accepted.class.AtMostOnce && !l.config.Table.Available() {
		return lagoonbarrow.ReasonPlatform, time.Second
	}
	if !l.thresholds.admits(accepted.thresholdKey(), accepted.root.Priority) {
		return lagoonbarrow.ReasonShed, time.Second
	}
	allowed, wait := l.config.Quota.AllowLevel(accepted.record, accepted.class.WorkUnits, accepted.class.Importance())
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

func (l *CustomerListener) run(http *fasthttp.RequestCtx, accepted *request) {
	accepted.fill(http)
	l.accepted.Inc(1)
	l.record(event.RequestAccepted, accepted, accepted.root.Method+" "+accepted.root.Path)
	ctx, cancel := follow(http)
	defer cancel()
	ctx, cancelDeadline := context.WithDeadline(ctx, accepted.deadline)
	defer cancelDeadline()
	account := l.config.Ledger.Open(accepted.root, accepted.deadline)
	defer account.Close()
	call := *accepted.root
	call.Depth = 1
	answer := l.config.Caller.Do(ctx, account, &call)
	// Only nodes stamp answers. One that the caller made itself, such as after the
	// deadline, tells nothing about thresholds.
	if answer.Stamp != (event.Stamp{}) {
		l.thresholds.observe(accepted.thresholdKey(), min(answer.Threshold, highestThreshold(accepted.class.Importance())))
	}
	l.record(event.RequestEnded, accepted, string(answer.Outcome)+" "+string(answer.Reason))
	writeAnswer(http, accepted.root.Request, answer)
}

func (l *CustomerListener) refuse(http *fasthttp.RequestCtx, accepted *request, reason lagoonbarrow.Reason, retryAfter time.Duration) {
	l.refused.Inc(1)
	answer := lagoonbarrow.Refuse("", reason)
	answer.RetryAfter = retryAfter
	id := lagoonbarrow.RequestID("")
	if accepted != nil {
		id = accepted.root.Request
		l.record(event.RequestRefused, accepted, string(reason))
	}
	writeRefusal(http, id, answer)
}

func (l *CustomerListener) record(kind event.Kind, accepted *request, detail string) {
	l.config.Recorder.Record(kind, event.Fields{
		Request:         string(accepted.root.Request),
		Customer:        string(accepted.record.Customer),
		Class:           string(accepted.class.Name),
		ContractVersion: uint64(accepted.record.Version),
		Detail:          detail,
	})
}

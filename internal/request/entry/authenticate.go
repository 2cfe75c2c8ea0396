package entry

import (
	"bytes"
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
	"lagoonbarrow/internal/request/forward"
	"lagoonbarrow/internal/version/routing"
)

// unknownParentRetryAfter is sent for a call of the backend server whose parent is not
// known, which is the case for a moment after a restart of this process.
const unknownParentRetryAfter = 200 * time.Millisecond

// keyScheme is the scheme of the Authorization header, in lower case.
const keyScheme = "bearer"

var errNoKey = errors.Wrap(lagoonbarrow.ErrUnauthenticated, "entry: no key, or not in the form of one")

// authenticate returns the customer that a client's key belongs to. It returns nil if the
// request needs no key: the configuration has no customers, the route is public and the key
// unknown, or the request is part of a running call.
func (l *RoutedListener) authenticate(ctx *fasthttp.RequestCtx, route *routing.Route, id lagoonbarrow.RequestID) (*lagoonbarrow.Customer, *refusal) {
	if !l.config.Routes.RequiresKey() || l.hasParent(id) {
		return nil, nil
	}
	key, found := apiKey(&ctx.Request.Header)
	err := errNoKey
	if found {
		var customer *lagoonbarrow.Customer
		if customer, err = l.config.Routes.Customer(key); err == nil {
			return customer, nil
		}
	}
	if route.Public {
		return nil, nil
	}
	if !found && len(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)) == 0 && strings.Contains(string(id), ".") {
		// Backend servers derive the ids of their calls so. The parent ran before a restart
		// of this process, which says nothing about the call itself.
		return nil, &refusal{
			status:     fasthttp.StatusServiceUnavailable,
			retryAfter: unknownParentRetryAfter,
			cause:      errors.Wrap(lagoonbarrow.ErrUnavailable, "entry: the parent of the call is not known"),
		}
	}
	return nil, &refusal{
		status: fasthttp.StatusUnauthorized,
		cause:  err,
	}
}

// apiKey returns the key in the Authorization header. It reports false unless there is
// exactly one such header with the right scheme and a key.
func apiKey(header *fasthttp.RequestHeader) ([]byte, bool) {
	values := header.PeekAll(fasthttp.HeaderAuthorization)
	if len(values) != 1 {
		return nil, false
	}
	scheme, key, found := bytes.Cut(values[0], []byte(" "))
	if !found || !strings.EqualFold(string(scheme), keyScheme) {
		return nil, false
	}
	key = bytes.TrimLeft(key, " ")
	return key, len(key) > 0
}

// headersToDrop returns the lower-case names of the headers that are not forwarded. Keys
// of customers are not passed on.
func (l *RoutedListener) headersToDrop() []string {
	if !l.config.Routes.RequiresKey() {
		return l.droppedHeaders
	}
	return l.keyedDroppedHeaders
}

// setCustomer sets the customer of a request, also in the header for the backend server.
func (l *RoutedListener) setCustomer(request *forward.Request, id lagoonbarrow.CustomerID) {
	request.Customer = id
	request.Header = append(request.Header, lagoonbarrow.HeaderField{
		Name:  l.config.Headers.Customer,
		Value: string(id),
	})
}

// takeFromLimit takes a request from the rate of its customer. It returns a refusal if the
// rate is used up, or if that is not known until the deadline.
func (l *RoutedListener) takeFromLimit(ctx context.Context, customer *lagoonbarrow.Customer, deadline time.Time) *refusal {
	if customer == nil || !customer.Limited() || l.config.CustomerLimits == nil {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	usage, err := l.config.CustomerLimits.Take(ctx, customer)
	if err == nil {
		l.demand.ObserveUsage(customer.ID, usage, time.Now())
		return nil
	}
	refused := &refusal{
		status: fasthttp.StatusServiceUnavailable,
		cause:  errors.Wrapf(err, "entry: customer %s", customer.ID),
	}
	if errors.Is(err, lagoonbarrow.ErrRateExceeded) {
		refused.status = fasthttp.StatusTooManyRequests
	}
	var limit *lagoonbarrow.LimitError
	if errors.As(err, &limit) {
		refused.retryAfter = limit.RetryAfter
	}
	return refused
}

// returnToLimit returns a request that was not run to the rate of its customer.
func (l *RoutedListener) returnToLimit(customer *lagoonbarrow.Customer, answer *lagoonbarrow.Answer) {
	if customer == nil || !customer.Limited() || l.config.CustomerLimits == nil || answer.Outcome != lagoonbarrow.OutcomeNotRun {
		return
	}
	l.config.CustomerLimits.Return(customer.ID)
}

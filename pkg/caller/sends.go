package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

const (
	// firstWait and lastWait bound the growing wait before a re-send when the
	// node named none. The first is well below the second that nodes ask for.
	firstWait = 100 * time.Millisecond
	lastWait  = 2 * time.Second
)

// sends is the loop over the sends of one request.
type sends struct {
	client  *Client
	request Request
	count   int
	wait    time.Duration
	// ranMaybe is set once a send had an unknown outcome. A later refusal as not
	// run speaks only of its own send.
	ranMaybe bool
}

func (s *sends) run(ctx context.Context) (*Response, error) {
	last := notSent(errors.New("caller: the entry addresses asked to wait for longer than the timeout"))
	for {
		address, ready := s.client.entries.pick()
		if !sleep(ctx, time.Until(ready)) {
			return nil, s.final(ctx, last)
		}
		response, refused := exchange(ctx, s.client.http, s.client.message(s.request, address))
		s.count++
		if refused == nil {
			response.Sends = s.count
			return response, nil
		}
		last = refused
		s.note(address, refused)
		if !s.again(ctx, refused) {
			return nil, s.final(ctx, refused)
		}
	}
}

// note keeps what a refusal says about the address and about the request.
func (s *sends) note(address string, refused *Refusal) {
	if refused.Outcome != lagoonbarrow.OutcomeNotRun {
		s.ranMaybe = true
		return
	}
	if ofOneEntry(refused) {
		s.client.entries.avoid(address, refused.RetryAfter)
	}
}

// ofOneEntry reports whether another entry address may serve the request now.
// Overload, an outage of the platform and a lack of instances concern them all.
func ofOneEntry(refused *Refusal) bool {
	switch refused.Reason {
	case lagoonbarrow.ReasonLeaving, lagoonbarrow.ReasonNotReady:
		return true
	case lagoonbarrow.ReasonUnreachable:
		return refused.Status == 0
	default:
		return false
	}
}

// again decides whether the request is sent again, and waits for it.
func (s *sends) again(ctx context.Context, refused *Refusal) bool {
	if s.count > s.client.config.Resends || ctx.Err() != nil || !s.mayResend(refused) {
		return false
	}
	return sleep(ctx, s.pause(refused))
}

func (s *sends) mayResend(refused *Refusal) bool {
	if refused.rejected() || refused.overContract() || errors.Is(refused.Err, errAnswerTooLarge) {
		return false
	}
	if refused.Reason == lagoonbarrow.ReasonExhausted {
		// The nodes refuse all further re-sends under this key.
		return false
	}
	return refused.Outcome == lagoonbarrow.OutcomeNotRun || s.repeatable()
}

// repeatable reports whether sending twice does no harm. A request key alone
// does not make it so: nodes count re-sends under it and still run them.
func (s *sends) repeatable() bool {
	switch s.request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	default:
		return s.request.IdempotencyKey != ""
	}
}

// pause returns the wait before the next send. While another address may serve
// the request there is none, and an address that asked to wait is held back when
// it is picked.
func (s *sends) pause(refused *Refusal) time.Duration {
	if ofOneEntry(refused) && (refused.RetryAfter > 0 || s.client.entries.free()) {
		return 0
	}
	if refused.RetryAfter > 0 {
		return refused.RetryAfter
	}
	s.wait = min(max(firstWait, 2*s.wait), lastWait)
	// Half of the wait is random, so that clients that failed together don't
	// come back together.
	return s.wait/2 + rand.N(s.wait/2)
}

// final completes the error that the program gets.
func (s *sends) final(ctx context.Context, refused *Refusal) error {
	if s.ranMaybe {
		refused.Outcome = lagoonbarrow.OutcomeUnknown
	}
	if ctx.Err() != nil && (s.count == 0 || refused.Err == nil) {
		refused.Err = errors.Wrap(ctx.Err(), "caller: stop sending")
	}
	refused.Sends = s.count
	return refused
}

// sleep waits and reports whether it did. It returns at once when ctx would end
// before.
func sleep(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	if deadline, set := ctx.Deadline(); set && time.Until(deadline) <= wait {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

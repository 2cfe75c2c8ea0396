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
	// minBackoff and maxBackoff bound the backoff before a re-send if the answer has
	// no Retry-After. minBackoff is well below the 1 s that nodes request.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// sendLoop sends one request until it is answered or must not be sent again.
type sendLoop struct {
	client  *Client
	request Request
	count   int
	backoff time.Duration
	// mayHaveRun is set once a send has an unknown outcome. A later refusal as not
	// run applies only to its own send.
	mayHaveRun bool
}

func (s *sendLoop) run(ctx context.Context) (*Response, error) {
	last := newNotSentRefusal(errors.New("caller: the entry nodes requested a wait that exceeds the timeout"))
	for {
		address, ready := s.client.entries.pick()
		if !sleep(ctx, time.Until(ready)) {
			return nil, s.finalError(ctx, last)
		}
		response, refused := exchange(ctx, s.client.http, s.client.newMessage(s.request, address))
		s.count++
		if refused == nil {
			response.Sends = s.count
			return response, nil
		}
		last = refused
		s.record(address, refused)
		if !s.waitToResend(ctx, refused) {
			return nil, s.finalError(ctx, refused)
		}
	}
}

// record updates the state of the request and of the address after a refusal.
func (s *sendLoop) record(address string, refused *Refusal) {
	if refused.Outcome != lagoonbarrow.OutcomeNotRun {
		s.mayHaveRun = true
		return
	}
	if isEntrySpecific(refused) {
		s.client.entries.avoid(address, refused.RetryAfter)
	}
}

// isEntrySpecific reports whether another entry address may serve the request now.
// Overload, a platform outage and a lack of instances affect all addresses.
func isEntrySpecific(refused *Refusal) bool {
	switch refused.Reason {
	case lagoonbarrow.ReasonLeaving, lagoonbarrow.ReasonNotReady:
		return true
	case lagoonbarrow.ReasonUnreachable:
		return refused.Status == 0
	default:
		return false
	}
}

// waitToResend waits until the request may be sent again. It returns false if it
// must not be sent again.
func (s *sendLoop) waitToResend(ctx context.Context, refused *Refusal) bool {
	if s.count > s.client.config.Resends || ctx.Err() != nil || !s.mayResend(refused) {
		return false
	}
	return sleep(ctx, s.resendDelay(refused))
}

func (s *sendLoop) mayResend(refused *Refusal) bool {
	if refused.rejected() || refused.overContract() || errors.Is(refused.Err, errAnswerTooLarge) {
		return false
	}
	if refused.Reason == lagoonbarrow.ReasonExhausted {
		// The nodes refuse all further re-sends under this key.
		return false
	}
	return refused.Outcome == lagoonbarrow.OutcomeNotRun || s.repeatable()
}

// repeatable reports whether the request may run twice. A request key alone does
// not make it repeatable, because nodes count re-sends under it but still run them.
func (s *sendLoop) repeatable() bool {
	switch s.request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	default:
		return s.request.IdempotencyKey != ""
	}
}

// resendDelay returns the wait before the next send. It is 0 if another address
// may serve the request. The Retry-After of an avoided address is kept by run,
// which waits after pick.
func (s *sendLoop) resendDelay(refused *Refusal) time.Duration {
	if isEntrySpecific(refused) && (refused.RetryAfter > 0 || s.client.entries.hasAvailable()) {
		return 0
	}
	if refused.RetryAfter > 0 {
		return refused.RetryAfter
	}
	s.backoff = min(max(minBackoff, 2*s.backoff), maxBackoff)
	// Half of the backoff is random. Otherwise, clients that failed together would
	// retry together.
	return s.backoff/2 + rand.N(s.backoff/2)
}

// finalError completes the last refusal for the caller of Do.
func (s *sendLoop) finalError(ctx context.Context, refused *Refusal) error {
	if s.mayHaveRun {
		refused.Outcome = lagoonbarrow.OutcomeUnknown
	}
	if ctx.Err() != nil && (s.count == 0 || refused.Err == nil) {
		refused.Err = errors.Wrap(ctx.Err(), "caller: stop sending")
	}
	refused.Sends = s.count
	return refused
}

// sleep waits and reports whether the whole wait passed. It returns false at once
// if the deadline of ctx is earlier.
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

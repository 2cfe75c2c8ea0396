package call

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

const (
	// firstLookup and lastLookup bound the growing time between two looks at a
	// claim that another attempt holds.
	firstLookup = 50 * time.Millisecond
	lastLookup  = 800 * time.Millisecond
)

// claimWaits lets all requests of this node that wait for one key share its
// lookups, so that a caller that re-sends often doesn't load the platform. Its
// lock is never held together with another.
type claimWaits struct {
	lookup func(ctx context.Context, customer lagoonbarrow.CustomerID, key string) (lagoonbarrow.Claim, error)

	mu   sync.Mutex
	keys map[waitKey]*claimWait
}

type waitKey struct {
	customer lagoonbarrow.CustomerID
	key      string
}

// claimWait is the wait for one key. It lasts until its claim has ended or its
// last waiter has gone.
type claimWait struct {
	waiters int
	cancel  context.CancelFunc
	// ended is closed after found is set.
	ended chan struct{}
	found lagoonbarrow.Claim
}

func newClaimWaits(claims lagoonbarrow.Claims) *claimWaits {
	return &claimWaits{
		lookup: claims.Lookup,
		keys:   map[waitKey]*claimWait{},
	}
}

// wait returns the row of a key once no attempt holds it, or an error when ctx
// ends earlier. The row may be as old as a lookup that was already under way.
func (w *claimWaits) wait(ctx context.Context, key waitKey) (lagoonbarrow.Claim, error) {
	current := w.join(key)
	defer w.leave(key, current)
	select {
	case <-ctx.Done():
		return lagoonbarrow.Claim{}, errors.Wrap(ctx.Err(), "call: wait for a claim")
	case <-current.ended:
		return current.found, nil
	}
}

func (w *claimWaits) join(key waitKey) *claimWait {
	w.mu.Lock()
	defer w.mu.Unlock()
	current, known := w.keys[key]
	if !known {
		ctx, cancel := context.WithCancel(context.Background())
		current = &claimWait{
			cancel: cancel,
			ended:  make(chan struct{}),
		}
		w.keys[key] = current
		go w.poll(ctx, key, current)
	}
	current.waiters++
	return current
}

func (w *claimWaits) leave(key waitKey, current *claimWait) {
	w.mu.Lock()
	defer w.mu.Unlock()
	current.waiters--
	if current.waiters > 0 {
		return
	}
	current.cancel()
	w.forget(key, current)
}

// forget removes a wait unless a later one has taken its place. The caller
// holds the lock.
func (w *claimWaits) forget(key waitKey, current *claimWait) {
	if w.keys[key] == current {
		delete(w.keys, key)
	}
}

// poll reads the row until no attempt holds it or the last waiter has gone.
func (w *claimWaits) poll(ctx context.Context, key waitKey, current *claimWait) {
	for delay := firstLookup; ; delay = min(2*delay, lastLookup) {
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		found, err := w.lookup(ctx, key.customer, key.key)
		if err != nil || found.State == lagoonbarrow.ClaimHeld {
			continue
		}
		w.mu.Lock()
		w.forget(key, current)
		w.mu.Unlock()
		current.found = found
		close(current.ended)
		return
	}
}

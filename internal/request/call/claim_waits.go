package call

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

const (
	// minLookupDelay and maxLookupDelay bound the exponential backoff between lookups
	// of a claim that another attempt holds.
	minLookupDelay = 50 * time.Millisecond
	maxLookupDelay = 800 * time.Millisecond
)

// claimPoller shares lookups between all requests of this node that wait for the same
// key. A caller that re-sends often then causes no extra load on the platform. No other
// lock is held together with mu.
type claimPoller struct {
	lookup func(ctx context.Context, customer lagoonbarrow.CustomerID, key string) (lagoonbarrow.Claim, error)

	mu    sync.Mutex
	polls map[claimKey]*claimPoll
}

type claimKey struct {
	customer lagoonbarrow.CustomerID
	key      string
}

// claimPoll polls the claim of one key. It lasts until the claim has ended or no
// waiter is left.
type claimPoll struct {
	waiters int
	cancel  context.CancelFunc
	// done is closed after claim is set.
	done  chan struct{}
	claim lagoonbarrow.Claim
}

func newClaimPoller(claims lagoonbarrow.Claims) *claimPoller {
	return &claimPoller{
		lookup: claims.Lookup,
		polls:  map[claimKey]*claimPoll{},
	}
}

// wait returns the row of a key when no attempt holds it, or an error if ctx ends
// first. The row may come from a lookup that was already running.
func (p *claimPoller) wait(ctx context.Context, key claimKey) (lagoonbarrow.Claim, error) {
	current := p.acquire(key)
	defer p.release(key, current)
	select {
	case <-ctx.Done():
		return lagoonbarrow.Claim{}, errors.Wrap(ctx.Err(), "call: wait for a claim")
	case <-current.done:
		return current.claim, nil
	}
}

// acquire returns the poll of a key, which it starts if there is none, and adds a
// waiter to it.
func (p *claimPoller) acquire(key claimKey) *claimPoll {
	p.mu.Lock()
	defer p.mu.Unlock()
	current, known := p.polls[key]
	if !known {
		ctx, cancel := context.WithCancel(context.Background())
		current = &claimPoll{
			cancel: cancel,
			done:   make(chan struct{}),
		}
		p.polls[key] = current
		go p.poll(ctx, key, current)
	}
	current.waiters++
	return current
}

// release removes a waiter from a poll and ends the poll if no waiter is left.
func (p *claimPoller) release(key claimKey, current *claimPoll) {
	p.mu.Lock()
	defer p.mu.Unlock()
	current.waiters--
	if current.waiters > 0 {
		return
	}
	current.cancel()
	p.remove(key, current)
}

// remove deletes a poll unless a later one has replaced it. The caller holds the lock.
func (p *claimPoller) remove(key claimKey, current *claimPoll) {
	if p.polls[key] == current {
		delete(p.polls, key)
	}
}

// poll reads the row until no attempt holds it or no waiter is left.
func (p *claimPoller) poll(ctx context.Context, key claimKey, current *claimPoll) {
	for delay := minLookupDelay; ; delay = min(2*delay, maxLookupDelay) {
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		found, err := p.lookup(ctx, key.customer, key.key)
		if err != nil || found.State == lagoonbarrow.ClaimHeld {
			continue
		}
		p.mu.Lock()
		p.remove(key, current)
		p.mu.Unlock()
		current.claim = found
		close(current.done)
		return
	}
}

package call

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

const (
	// silentAfter is how long an instance may give no answer at all before it is
	// probed out of turn. Most calls end sooner.
	silentAfter = 300 * time.Millisecond
	// silentSweep is the time between two looks at the attempts in flight.
	silentSweep = 100 * time.Millisecond
)

// errSilent is the cause of an attempt's end when its instance fails its probes.
var errSilent = errors.New("call: the instance answers neither calls nor probes")

// silentWatch ends attempts at instances that froze or were cut off while the
// attempt was waiting; without it the attempt would wait until the request's
// deadline. A slow instance still answers probes and keeps its attempts. Its
// lock is never held together with another.
type silentWatch struct {
	roster      lagoonbarrow.Roster
	unreachable func(id lagoonbarrow.InstanceID)

	mu       sync.Mutex
	attempts map[*watched]struct{}
	// heard is when each instance last answered; bounded by the roster's size.
	heard map[lagoonbarrow.InstanceID]time.Time

	stop  chan struct{}
	ended sync.WaitGroup
}

// watched is an attempt in flight that may be repeated elsewhere.
type watched struct {
	instance lagoonbarrow.InstanceID
	sent     time.Time
	cancel   context.CancelCauseFunc
}

func newSilentWatch(roster lagoonbarrow.Roster, unreachable func(id lagoonbarrow.InstanceID)) *silentWatch {
	return &silentWatch{
		roster:      roster,
		unreachable: unreachable,
		attempts:    map[*watched]struct{}{},
		heard:       map[lagoonbarrow.InstanceID]time.Time{},
		stop:        make(chan struct{}),
	}
}

// begin watches an attempt. The returned function ends the watch and notes
// whether the instance answered.
func (s *silentWatch) begin(ctx context.Context, instance lagoonbarrow.InstanceID) (context.Context, func(answered bool)) {
	ctx, cancel := context.WithCancelCause(ctx)
	current := &watched{
		instance: instance,
		sent:     time.Now(),
		cancel:   cancel,
	}
	s.mu.Lock()
	s.attempts[current] = struct{}{}
	s.mu.Unlock()
	return ctx, func(answered bool) {
		s.mu.Lock()
		delete(s.attempts, current)
		if answered {
			s.heard[instance] = time.Now()
		}
		s.mu.Unlock()
		cancel(nil)
	}
}

func (s *silentWatch) start() {
	s.ended.Add(1)
	go func() {
		defer s.ended.Done()
		ticker := time.NewTicker(silentSweep)
		defer ticker.Stop()
		for {
			select {
			case <-s.stop:
				return
			case now := <-ticker.C:
				s.sweep(now)
			}
		}
	}()
}

func (s *silentWatch) close() {
	close(s.stop)
	s.ended.Wait()
}

// sweep asks for probes of silent instances and ends the attempts at those that
// failed them.
func (s *silentWatch) sweep(now time.Time) {
	for instance, attempts := range s.silent(now) {
		known, found := s.roster.Lookup(instance)
		if found && known.State != lagoonbarrow.StateSuspect && known.State != lagoonbarrow.StateDead {
			s.unreachable(instance)
			continue
		}
		for _, current := range attempts {
			current.cancel(errSilent)
		}
	}
}

// lastSign is when the attempt was sent or its instance last answered any call,
// whichever was later. The caller holds the lock.
func (s *silentWatch) lastSign(current *watched) time.Time {
	heard := s.heard[current.instance]
	if heard.After(current.sent) {
		return heard
	}
	return current.sent
}

// silent returns the attempts at instances that gave no answer for silentAfter.
// Instances that have not answered for a minute are forgotten.
func (s *silentWatch) silent(now time.Time) map[lagoonbarrow.InstanceID][]*watched {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := map[lagoonbarrow.InstanceID][]*watched{}
	for current := range s.attempts {
		if now.Sub(s.lastSign(current)) > silentAfter {
			found[current.instance] = append(found[current.instance], current)
		}
	}
	for instance, at := range s.heard {
		if now.Sub(at) > time.Minute {
			delete(s.heard, instance)
		}
	}
	return found
}

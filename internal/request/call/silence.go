package call

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

const (
	// silenceTimeout is the time without any answer from an instance after which a
	// probe is requested out of turn. Most calls end sooner.
	silenceTimeout = 300 * time.Millisecond
	// silenceCheckInterval is the time between checks of the attempts in flight.
	silenceCheckInterval = 100 * time.Millisecond
)

// errInstanceSilent is the cancellation cause of an attempt whose instance failed its
// probes.
var errInstanceSilent = errors.New("call: the instance answers neither calls nor probes")

// silenceMonitor cancels attempts at instances that froze or were cut off during the
// attempt. Otherwise the attempt would wait until the request's deadline. A slow
// instance still answers probes and keeps its attempts. No other lock is held
// together with mu.
type silenceMonitor struct {
	roster        lagoonbarrow.Roster
	onUnreachable func(id lagoonbarrow.InstanceID)

	mu       sync.Mutex
	attempts map[*watchedAttempt]struct{}
	// lastAnswers holds the time of each instance's last answer. The size of the
	// roster bounds it.
	lastAnswers map[lagoonbarrow.InstanceID]time.Time

	stop chan struct{}
	wg   sync.WaitGroup
}

// watchedAttempt is an attempt in flight that may be repeated at another instance.
type watchedAttempt struct {
	instance lagoonbarrow.InstanceID
	sent     time.Time
	cancel   context.CancelCauseFunc
}

func newSilenceMonitor(roster lagoonbarrow.Roster, onUnreachable func(id lagoonbarrow.InstanceID)) *silenceMonitor {
	return &silenceMonitor{
		roster:        roster,
		onUnreachable: onUnreachable,
		attempts:      map[*watchedAttempt]struct{}{},
		lastAnswers:   map[lagoonbarrow.InstanceID]time.Time{},
		stop:          make(chan struct{}),
	}
}

// watch adds an attempt. The returned function removes it and records whether the
// instance answered.
func (m *silenceMonitor) watch(ctx context.Context, instance lagoonbarrow.InstanceID) (context.Context, func(answered bool)) {
	ctx, cancel := context.WithCancelCause(ctx)
	current := &watchedAttempt{
		instance: instance,
		sent:     time.Now(),
		cancel:   cancel,
	}
	m.mu.Lock()
	m.attempts[current] = struct{}{}
	m.mu.Unlock()
	return ctx, func(answered bool) {
		m.mu.Lock()
		delete(m.attempts, current)
		if answered {
			m.lastAnswers[instance] = time.Now()
		}
		m.mu.Unlock()
		cancel(nil)
	}
}

func (m *silenceMonitor) start() {
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		ticker := time.NewTicker(silenceCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-m.stop:
				return
			case now := <-ticker.C:
				m.check(now)
			}
		}
	}()
}

func (m *silenceMonitor) close() {
	close(m.stop)
	m.wg.Wait()
}

// check requests probes of silent instances and cancels the attempts at instances
// that failed them.
func (m *silenceMonitor) check(now time.Time) {
	for instance, attempts := range m.silentAttempts(now) {
		entry, found := m.roster.Lookup(instance)
		if found && entry.State != lagoonbarrow.StateSuspect && entry.State != lagoonbarrow.StateDead {
			m.onUnreachable(instance)
			continue
		}
		for _, current := range attempts {
			current.cancel(errInstanceSilent)
		}
	}
}

// lastActivity returns the later of the time when the attempt was sent and the time
// when its instance last answered any call. The caller holds the lock.
func (m *silenceMonitor) lastActivity(current *watchedAttempt) time.Time {
	lastAnswer := m.lastAnswers[current.instance]
	if lastAnswer.After(current.sent) {
		return lastAnswer
	}
	return current.sent
}

// silentAttempts returns the attempts at instances that gave no answer for
// silenceTimeout. It drops answer times that are older than a minute.
func (m *silenceMonitor) silentAttempts(now time.Time) map[lagoonbarrow.InstanceID][]*watchedAttempt {
	m.mu.Lock()
	defer m.mu.Unlock()
	found := map[lagoonbarrow.InstanceID][]*watchedAttempt{}
	for current := range m.attempts {
		if now.Sub(m.lastActivity(current)) > silenceTimeout {
			found[current.instance] = append(found[current.instance], current)
		}
	}
	for instance, at := range m.lastAnswers {
		if now.Sub(at) > time.Minute {
			delete(m.lastAnswers, instance)
		}
	}
	return found
}

package shutdown

import (
	"testing"
	"time"
)

// Guards against requests that are accepted without time to finish them, and against an
// end that leaves no time to close.
func TestScheduleLeavesTimeForEachStep(t *testing.T) {
	tests := []struct {
		timeout time.Duration
		// minWork is the least time for the request that was accepted last.
		minWork time.Duration
		// minClose is the least time between the abort and the kill.
		minClose time.Duration
		// minWait is how long work that is in progress has to be waited for. The users allow
		// an abort in the last sixth of the timeout.
		minWait time.Duration
	}{
		{
			timeout:  time.Second,
			minWork:  300 * time.Millisecond,
			minClose: 100 * time.Millisecond,
			minWait:  840 * time.Millisecond,
		},
		{
			timeout:  2 * time.Second,
			minWork:  600 * time.Millisecond,
			minClose: 250 * time.Millisecond,
			minWait:  1690 * time.Millisecond,
		},
		{
			timeout:  6 * time.Second,
			minWork:  2 * time.Second,
			minClose: 500 * time.Millisecond,
			minWait:  5 * time.Second,
		},
		{
			timeout:  10 * time.Second,
			minWork:  4 * time.Second,
			minClose: 500 * time.Millisecond,
			minWait:  8400 * time.Millisecond,
		},
		{
			timeout:  time.Minute,
			minWork:  25 * time.Second,
			minClose: 500 * time.Millisecond,
			minWait:  50 * time.Second,
		},
	}
	for _, test := range tests {
		t.Run(test.timeout.String(), func(t *testing.T) {
			started := time.Now()
			s := NewSchedule(Config{
				Started: started,
				Timeout: test.timeout,
			})
			if work := s.Deadline.Sub(s.AcceptUntil); work < test.minWork {
				t.Errorf("%s for the last request, want %s", work, test.minWork)
			}
			if !s.Deadline.Before(s.AbortAt) {
				t.Errorf("the deadline %s isn't before the abort %s", s.Deadline, s.AbortAt)
			}
			if closing := started.Add(test.timeout).Sub(s.AbortAt); closing < test.minClose {
				t.Errorf("%s for closing, want %s", closing, test.minClose)
			}
			if wait := s.AbortAt.Sub(started); wait < test.minWait {
				t.Errorf("work in progress is aborted after %s, want %s", wait, test.minWait)
			}
		})
	}
}

// Guards against deadlines after the end of the process, and against a change of those
// before it.
func TestDeadlineIsBoundedDuringAStop(t *testing.T) {
	var deadline Deadline
	now := time.Now()
	later := now.Add(time.Second)
	if deadline.IsSet() || !deadline.Bound(later).Equal(later) {
		t.Fatal("a deadline is bounded without a stop")
	}
	deadline.Set(now)
	if !deadline.IsSet() || !deadline.Bound(later).Equal(now) {
		t.Fatal("a deadline after the end is not bounded")
	}
	if earlier := now.Add(-time.Second); !deadline.Bound(earlier).Equal(earlier) {
		t.Fatal("a deadline before the end was changed")
	}
}

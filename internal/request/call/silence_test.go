package call

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// suspectRoster reports every instance as suspect.
type suspectRoster struct {
	lagoonbarrow.Roster
}

func (suspectRoster) Lookup(id lagoonbarrow.InstanceID) (lagoonbarrow.Instance, bool) {
	return lagoonbarrow.Instance{
		ID:    id,
		State: lagoonbarrow.StateSuspect,
	}, true
}

// Guards against an attempt that waits until its deadline because its instance answered
// another call after the attempt was sent and then froze. This happened to 1 of 7,176
// look-ups in TestPropertyFreezesCostNoLookups with seed 2.
func TestSilenceCountsFromTheLastAnswer(t *testing.T) {
	monitor := newSilenceMonitor(suspectRoster{}, func(lagoonbarrow.InstanceID) {})
	ctx, end := monitor.watch(context.Background(), "hop2-0")
	defer end(false)
	_, answered := monitor.watch(context.Background(), "hop2-0")
	answered(true)
	monitor.check(time.Now())
	if ctx.Err() != nil {
		t.Fatal("the attempt was cancelled although its instance had just answered")
	}
	monitor.check(time.Now().Add(2 * silenceTimeout))
	if !errors.Is(context.Cause(ctx), errInstanceSilent) {
		t.Fatalf("the attempt was not cancelled: %v", context.Cause(ctx))
	}
}

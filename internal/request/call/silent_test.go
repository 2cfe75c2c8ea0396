package call

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// suspectRoster holds every instance suspect.
type suspectRoster struct {
	lagoonbarrow.Roster
}

func (suspectRoster) Lookup(id lagoonbarrow.InstanceID) (lagoonbarrow.Instance, bool) {
	return lagoonbarrow.Instance{
		ID:    id,
		State: lagoonbarrow.StateSuspect,
	}, true
}

// Guards against an attempt that waits for its deadline because its instance
// answered another call after it was sent, and froze then. 1 of 7,176 look-ups
// did so in the proof of freezes, seed 2.
func TestSilenceCountsFromTheLastAnswer(t *testing.T) {
	watch := newSilentWatch(suspectRoster{}, func(lagoonbarrow.InstanceID) {})
	ctx, end := watch.begin(context.Background(), "hop2-0")
	defer end(false)
	_, answered := watch.begin(context.Background(), "hop2-0")
	answered(true)
	watch.sweep(time.Now())
	if ctx.Err() != nil {
		t.Fatal("the attempt ended although its instance had just answered")
	}
	watch.sweep(time.Now().Add(2 * silentAfter))
	if !errors.Is(context.Cause(ctx), errSilent) {
		t.Fatalf("the attempt goes on: %v", context.Cause(ctx))
	}
}

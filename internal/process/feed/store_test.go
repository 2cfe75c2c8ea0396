package feed

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"lagoonbarrow"
)

// Guards against a response of the store that is thrown away because another call of the
// same read has failed, and against a second call to a store that responds in time.
func TestCallTwiceReturnsTheUsefulResponse(t *testing.T) {
	const wait = 500 * time.Millisecond
	type outcome struct {
		// after is the time of the response beyond the call's wait.
		after time.Duration
		err   error
	}
	tests := []struct {
		name     string
		outcomes []outcome
		// want is the call whose response is returned, counted from 0.
		want  int
		calls int
	}{
		{
			name:     "in time",
			outcomes: []outcome{{after: 300 * time.Millisecond}},
			want:     0,
			calls:    1,
		},
		{
			name:     "refused",
			outcomes: []outcome{{err: lagoonbarrow.ErrUnavailable}},
			want:     0,
			calls:    1,
		},
		{
			name:     "first response lost",
			outcomes: []outcome{{after: 2500 * time.Millisecond, err: lagoonbarrow.ErrUnavailable}, {}},
			want:     1,
			calls:    2,
		},
		{
			name:     "first response lost, while a call may take 1 s",
			outcomes: []outcome{{after: time.Second, err: lagoonbarrow.ErrUnavailable}, {after: 100 * time.Millisecond}},
			want:     1,
			calls:    2,
		},
		{
			name:     "slow store that refuses the second call",
			outcomes: []outcome{{after: 1500 * time.Millisecond}, {err: lagoonbarrow.ErrUnavailable}},
			want:     0,
			calls:    2,
		},
		{
			name:     "history lost",
			outcomes: []outcome{{after: 1500 * time.Millisecond}, {err: lagoonbarrow.ErrHistoryLost}},
			want:     1,
			calls:    2,
		},
		{
			name:     "silent",
			outcomes: []outcome{{after: time.Second, err: lagoonbarrow.ErrUnavailable}, {after: time.Second, err: lagoonbarrow.ErrUnavailable}},
			want:     0,
			calls:    2,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				feed := New(Config{
					Logger: hclog.NewNullLogger(),
				})
				var begun atomic.Int64
				response := feed.callTwice(t.Context(), wait, func(ctx context.Context, wait time.Duration) storeResponse {
					call := begun.Add(1) - 1
					pause(ctx, wait+test.outcomes[call].after)
					return storeResponse{
						version: lagoonbarrow.RowVersion(call),
						err:     test.outcomes[call].err,
					}
				})
				calls := int(begun.Load())
				if response.version != lagoonbarrow.RowVersion(test.want) || calls != test.calls {
					t.Errorf("response of call %d of %d, want %d of %d", response.version, calls, test.want, test.calls)
				}
				if want := test.outcomes[test.want].err; !errors.Is(response.err, want) {
					t.Errorf("error %v, want %v", response.err, want)
				}
			})
		})
	}
}

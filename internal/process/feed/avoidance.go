package feed

import (
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

const (
	// avoidDuration is how long a node that gave no useful reply is not queried. It
	// doubles up to maxAvoidDuration while the node can't be reached: a machine that is
	// lost for good stays among the members for minutes.
	avoidDuration    = 3 * time.Second
	maxAvoidDuration = time.Minute
	// startAvoidDuration replaces avoidDuration for a node that has read nothing yet, or
	// has read all rows again at a version after the requested one. Both are usual at a
	// start and end quickly.
	startAvoidDuration = 300 * time.Millisecond
)

// avoidance is the time in which a node is not queried.
type avoidance struct {
	until time.Time
	// unreachable is the length of the last avoidance because the node couldn't be
	// reached, or 0.
	unreachable time.Duration
}

// next returns the avoidance after a query without a useful reply. It answers two loads:
// the reader of a zone that starts or restarts, which is useful again within a second or
// two, and one that is lost for good, which all nodes of its zone would query for
// minutes.
func (a avoidance) next(cause error, now time.Time) avoidance {
	if errors.Is(cause, lagoonbarrow.ErrHistoryLost) {
		return avoidance{
			until: now.Add(startAvoidDuration),
		}
	}
	if !errors.Is(cause, lagoonbarrow.ErrNotSent) {
		return avoidance{
			until: now.Add(avoidDuration),
		}
	}
	duration := max(a.unreachable, avoidDuration)
	// Queries for several tables fail together and count once.
	if a.unreachable > 0 && !now.Before(a.until) {
		duration = min(2*a.unreachable, maxAvoidDuration)
	}
	return avoidance{
		until:       now.Add(duration),
		unreachable: duration,
	}
}

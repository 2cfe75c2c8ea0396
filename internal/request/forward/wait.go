package forward

import (
	"math/rand/v2"
	"time"
)

const (
	// queueFraction is the fraction of the target latency for which a client request
	// may wait for a slot. A longer wait would leave too little time for the service,
	// while a refusal lets the client retry within the target latency.
	queueFraction = 0.25
	// earlyQueueFraction replaces queueFraction while other instances are left to try.
	earlyQueueFraction = 0.02
	// nestedQueueFraction is the fraction of the remaining time for which a nested
	// request may wait. Its failure would waste the work already spent on the client
	// request.
	nestedQueueFraction = 0.6
	// minRetryAfter and maxRetryAfter bound the time after which a client should
	// retry. minRetryAfter avoids retries within the duration of a single request.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// firstRetryFraction and lastRetryFraction are the fractions of the target latency
	// between which clients retry if their calls would be refused. The times are spread
	// because many are refused at once, and early enough to be served within the target
	// latency.
	firstRetryFraction = 0.25
	lastRetryFraction  = 0.6
	// firstWriteFraction and lastWriteFraction replace them for writes that are refused
	// because their calls fail. A later return finds the end of the failures more often.
	firstWriteFraction = 0.5
	lastWriteFraction  = 0.65
	// retrySpread is the relative spread of the retries of clients refused together.
	retrySpread = 0.5
)

// maxWait returns how long a request may wait for a slot at an instance. It bounds the
// waits when a service receives more requests than it has slots for.
func maxWait(request *Request, last bool) time.Duration {
	fraction := earlyQueueFraction
	if last {
		fraction = queueFraction
	}
	wait := time.Duration(fraction * float64(request.Route.TargetLatency))
	if request.Nested && last {
		wait = time.Duration(nestedQueueFraction * float64(time.Until(request.Deadline)))
	}
	return wait
}

// DownstreamRetryAfter returns the time after which a client should retry a request
// whose calls would be refused, because a downstream service has too few slots.
func DownstreamRetryAfter(targetLatency time.Duration) time.Duration {
	return retryAfterBetween(firstRetryFraction, lastRetryFraction, targetLatency)
}

// failingRetryAfter returns the time after which a client should retry a write whose
// calls fail.
func failingRetryAfter(targetLatency time.Duration) time.Duration {
	return retryAfterBetween(firstWriteFraction, lastWriteFraction, targetLatency)
}

// retryAfterBetween returns a random time between two fractions of the target latency.
func retryAfterBetween(first, last float64, targetLatency time.Duration) time.Duration {
	fraction := first + (last-first)*rand.Float64()
	return max(minRetryAfter, time.Duration(fraction*float64(targetLatency)))
}

// spreadRetryAfter returns the time after which a refused client should retry. It is
// the expected time until a slot is free, spread by a random number from 0 to 1.
func spreadRetryAfter(expected time.Duration, random float64) time.Duration {
	base := min(max(expected, minRetryAfter), maxRetryAfter)
	return base + time.Duration(retrySpread*random*float64(base))
}

// Package shutdown divides the time of a graceful stop.
//
// It answers the load of clients that send requests during a stop, because they have not
// noticed it yet or know no other node.
package shutdown

import "time"

const (
	// acceptFraction of the timeout is the time in which requests of clients are accepted.
	// The rest is for finishing them.
	acceptFraction = 0.5
	// closeFraction of the timeout, but maxCloseTime at most, is left for closing all parts.
	closeFraction = 0.15
	maxCloseTime  = 600 * time.Millisecond
	// answerFraction of the timeout, but maxAnswerTime at most, is left for an answer to
	// reach the client after its server has stopped work at the deadline.
	answerFraction = 0.02
	maxAnswerTime  = 100 * time.Millisecond
)

// Config configures a Schedule.
type Config struct {
	// Started is when the stop began.
	Started time.Time
	// Timeout is the time until the process is killed.
	Timeout time.Duration
}

// Schedule holds the times of one graceful stop, in their order.
type Schedule struct {
	// AcceptUntil is when the node begins to refuse the requests of clients.
	AcceptUntil time.Time
	// Deadline bounds the deadlines of all requests and calls that arrive during the stop.
	Deadline time.Time
	// AbortAt is when requests that are still in progress are aborted and answered.
	AbortAt time.Time
}

// NewSchedule returns the schedule of a stop.
func NewSchedule(config Config) Schedule {
	closeTime := min(fraction(closeFraction, config.Timeout), maxCloseTime)
	answerTime := min(fraction(answerFraction, config.Timeout), maxAnswerTime)
	abortAt := config.Started.Add(config.Timeout - closeTime)
	return Schedule{
		AcceptUntil: config.Started.Add(fraction(acceptFraction, config.Timeout)),
		Deadline:    abortAt.Add(-answerTime),
		AbortAt:     abortAt,
	}
}

func fraction(part float64, whole time.Duration) time.Duration {
	return time.Duration(part * float64(whole))
}

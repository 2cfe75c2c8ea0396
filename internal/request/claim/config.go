// Package claim makes requests that are not idempotent run at most once. A
// request's idempotency key is claimed by a compare-and-set on a row of the
// platform's table before a backend server runs anything.
package claim

import (
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"lagoonbarrow"
)

// Table is the name of the table that holds the claim rows.
const Table = "claims"

// HeaderAnswer marks the answer to a repeated request whose original answer is
// not stored.
const HeaderAnswer = lagoonbarrow.HeaderPrefix + "Answer"

// The values of HeaderAnswer.
const (
	// AnswerTooLarge means that the answer was larger than Config.AnswerBytes, or
	// the background queue had no room for it. The status is the original one
	// and the body is empty.
	AnswerTooLarge = "too-large"
	// AnswerSettled means that an operator declared that the request ran. The
	// status is 200 and the body is empty.
	AnswerSettled = "settled"
)

// Config configures Claims. Zero values are replaced by the defaults stated below.
type Config struct {
	// Table is required.
	Table lagoonbarrow.Table
	// Self is the id of this instance. It is written into the rows.
	Self lagoonbarrow.InstanceID
	// CompleteTimeout bounds the wait of Complete and Void for the table
	// before the write continues in the background; default 1 s.
	CompleteTimeout time.Duration
	// AnswerBytes bounds the header and body bytes of a stored answer; default 64 KiB.
	AnswerBytes int
	// SettleMargin is added to a claim's deadline before Settle accepts it, to
	// allow for clock differences between instances; default 5 s.
	SettleMargin time.Duration
	// QueueLength bounds the writes that continue in the background; default 4,096.
	QueueLength int
	// QueueBytes bounds the answers in these writes; beyond it only the status
	// is stored. Default 4 MiB, an eighth of a node's memory for control.
	QueueBytes int
	// Workers bounds the concurrent background writes; default 8.
	Workers int
	// RetryDelay is the first delay between tries in the background. It
	// doubles up to RetryDelayMax, and each wait is random between half the
	// delay and the whole delay. Defaults 100 ms and 2 s.
	RetryDelay    time.Duration
	RetryDelayMax time.Duration
	// StopTimeout bounds the wait of Stop for background writes; default 2 s.
	StopTimeout time.Duration
	// Now is the clock; default time.Now.
	Now func() time.Time
	// Recorder receives events; may be nil.
	Recorder lagoonbarrow.Recorder
	// Scope receives metrics; may be nil.
	Scope tally.Scope
	// Logger may be nil.
	Logger hclog.Logger
}

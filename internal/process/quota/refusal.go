package quota

import (
	"fmt"
	"time"
)

// refusalError says why a request of a limited customer was refused. Its text is built only
// when it is logged.
type refusalError struct {
	standing
	age   time.Duration
	rate  float64
	burst float64
	cause error
}

// Error implements error.
func (e *refusalError) Error() string {
	return fmt.Sprintf("%v: limit=%g/s burst=%g keeper=%s reply-age=%s usage=%.2f demand=%.2f",
		e.cause, e.rate, e.burst, e.keeper, e.age.Round(time.Millisecond), e.usage, e.pressure)
}

// Unwrap returns the sentinel error.
func (e *refusalError) Unwrap() error {
	return e.cause
}

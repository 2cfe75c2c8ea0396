package timeline

import "time"

// lineLimiter limits the log lines per second and counts the omitted ones.
type lineLimiter struct {
	perSecond int
	second    int64
	written   int
	omitted   int
}

// allow reports whether a line may be written now. For the first line of a second it
// also returns how many lines were omitted before.
func (l *lineLimiter) allow(now time.Time) (allowed bool, omitted int) {
	if second := now.Unix(); second != l.second {
		omitted = l.omitted
		l.second = second
		l.written = 0
		l.omitted = 0
	}
	if l.written >= l.perSecond {
		if l.perSecond > 0 {
			l.omitted++
		}
		return false, omitted
	}
	l.written++
	return true, omitted
}

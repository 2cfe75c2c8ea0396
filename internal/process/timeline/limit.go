package timeline

import "time"

// lineLimit bounds the log lines in a second and counts those left out.
type lineLimit struct {
	perSecond int
	second    int64
	written   int
	omitted   int
}

// take reports whether a line may be written now. With the first line of a second
// it returns how many were left out in the one before.
func (l *lineLimit) take(now time.Time) (allowed bool, omitted int) {
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

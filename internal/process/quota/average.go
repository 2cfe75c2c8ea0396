package quota

import (
	"math"
	"time"
)

// averageTime is the time constant of the averages of demand and usage.
const averageTime = time.Second

// average is an exponential moving average of events per second.
type average struct {
	sum float64
	at  time.Duration
}

func (a *average) add(now time.Duration, events float64) {
	a.decay(now)
	a.sum += events
}

// perSecond returns the average rate, which is not negative.
func (a *average) perSecond(now time.Duration) float64 {
	a.decay(now)
	return max(a.sum, 0) / averageTime.Seconds()
}

func (a *average) decay(now time.Duration) {
	if now > a.at {
		a.sum *= math.Exp(-(now - a.at).Seconds() / averageTime.Seconds())
		a.at = now
	}
}

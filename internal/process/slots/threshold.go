package slots

import (
	"time"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/threshold"
)

const (
	// thresholdWindow is the interval between changes of the threshold. Requests that
	// are admitted at their entry make their calls some hundred milliseconds later;
	// shorter windows change the threshold again before it shows an effect.
	thresholdWindow = 200 * time.Millisecond
	// sampleInterval is the time between two looks at the queues.
	sampleInterval = thresholdWindow / 10
	// targetWait is the standing wait for a slot above which the threshold rises.
	targetWait = 100 * time.Millisecond
	// idleTime without any call forgets the threshold.
	idleTime = time.Second
)

// pressure tells below which priority calls had better not come. The gate doesn't
// refuse by it, since a call that has come may find a slot; those who send requests
// whose calls come here do.
type pressure struct {
	control     threshold.Control
	windowStart time.Time
	sampledAt   time.Time
}

// Threshold returns the lowest priority for which slots are expected to be found.
// It never exceeds that of critical work.
func (g *Gate) Threshold() lagoonbarrow.Threshold {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.step()
	return g.pressure.control.Threshold()
}

// step looks at the queues and ends a window if it is time. There is no timer: a
// gate without calls has nobody to tell. The caller holds the mutex.
func (g *Gate) step() {
	now := g.config.Now()
	p := &g.pressure
	if now.Sub(p.sampledAt) >= sampleInterval {
		p.sampledAt = now
		p.control.Sample(g.longestWait(now), g.running < g.limit)
	}
	elapsed := now.Sub(p.windowStart)
	if elapsed < thresholdWindow {
		return
	}
	p.windowStart = now
	if elapsed > idleTime {
		p.control = threshold.New(0)
		return
	}
	p.control.Close(threshold.Window{
		Length:    thresholdWindow,
		Elapsed:   elapsed,
		Target:    targetWait,
		AddQueued: g.addQueued,
		Potential: g.potential(),
		Hold:      time.Duration(g.hold * float64(time.Second)),
		// Critical work is refused at the slots only.
		LowerBusy: true,
	})
}

// longestWait returns the time that the longest waiting call has waited.
func (g *Gate) longestWait(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, queue := range g.queues {
		for _, w := range queue {
			longest = max(longest, now.Sub(w.since))
		}
	}
	return longest
}

func (g *Gate) addQueued(counts *[threshold.Priorities]float64) {
	for _, queue := range g.queues {
		for _, w := range queue {
			counts[w.demanded]++
		}
	}
}

// potential is the number of calls that all slots would end in a window.
func (g *Gate) potential() float64 {
	if g.hold == 0 {
		return 0
	}
	return float64(g.limit) * thresholdWindow.Seconds() / g.hold
}

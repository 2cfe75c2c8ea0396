// Package heap measures the memory of a test that plays memory-hungry peers.
package heap

import (
	"runtime"
	"time"
)

// sampleInterval is the time between two samples of the heap.
const sampleInterval = 5 * time.Millisecond

// WatchPeak collects garbage and samples the heap until stop is called, which returns the
// largest size seen, in bytes.
func WatchPeak() (stop func() uint64) {
	runtime.GC()
	done := make(chan struct{})
	peak := make(chan uint64)
	go func() {
		highest := uint64(0)
		for {
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			highest = max(highest, stats.HeapInuse)
			select {
			case <-done:
				peak <- highest
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return func() uint64 {
		close(done)
		return <-peak
	}
}

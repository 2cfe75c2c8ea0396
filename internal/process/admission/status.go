package admission

import (
	"time"

	"lagoonbarrow"
)

// Status is a snapshot of the gate.
type Status struct {
	// Slots is the upper bound of Limit.
	Slots int `json:"slots"`
	// Limit is the current concurrency limit.
	Limit int `json:"limit"`
	// LimitReason explains the current value of Limit.
	LimitReason string `json:"limit-reason"`
	// Running is the number of calls that hold a slot, in both lanes.
	Running int `json:"running"`
	// Short and Long describe the lanes.
	Short LaneStatus `json:"short"`
	Long  LaneStatus `json:"long"`
	// LongOperations has the names of the operations that are measured as long.
	LongOperations []string `json:"long-operations,omitempty"`
	// Threshold is the lowest priority that the short lane admits.
	Threshold lagoonbarrow.Threshold `json:"threshold"`
	// Admitted, Shed, Expired and Preempted are numbers of calls by importance since the start.
	Admitted  map[string]uint64 `json:"admitted"`
	Shed      map[string]uint64 `json:"shed"`
	Expired   map[string]uint64 `json:"expired"`
	Preempted map[string]uint64 `json:"preempted"`
}

// LaneStatus is a snapshot of one lane.
type LaneStatus struct {
	// Limit is the highest number of calls that the lane may run.
	Limit     int                    `json:"limit"`
	Running   int                    `json:"running"`
	Queued    int                    `json:"queued"`
	Threshold lagoonbarrow.Threshold `json:"threshold"`
	// QueueDelay is the standing queueing delay of the last window.
	QueueDelay time.Duration `json:"queue-delay"`
}

// levelNames are the names of the importance levels in Status and in the metrics.
var levelNames = [levels]string{"none", "deferrable", "normal", "critical"}

// levels is the number of importance levels.
const levels = int(lagoonbarrow.ImportanceCritical) + 1

func countsByName(counts [levels]uint64) map[string]uint64 {
	named := make(map[string]uint64, levels)
	for level, count := range counts {
		named[levelNames[level]] = count
	}
	return named
}

package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"lagoonbarrow/internal/standin/fleet"
)

const (
	addedRequests = 4000
	// addedPause keeps the load low to avoid measuring queueing.
	addedPause = 500 * time.Microsecond
	// addedLimit is the users' limit for the time added to a call.
	addedLimit = 1600 * time.Microsecond
)

// addedTime compares calls through two nodes with direct HTTP requests to the
// backend server. The two alternate, and the service time is 1 ms.
func addedTime(r *runner) []Row {
	services := []fleet.Service{
		{
			Name:        "minutes",
			Instances:   2,
			Slots:       70,
			ServiceTime: time.Millisecond,
		},
	}
	var direct, through []sample
	r.measureFleet(false, services, func(f *fleet.Fleet) {
		client := &http.Client{}
		node := f.Nodes[0]
		for number := range addedRequests {
			start := time.Now()
			err := get(client, fmt.Sprintf("http://%s/lookup/%d", node.BackendAddress, number))
			direct = append(direct, sample{
				kind:    "direct",
				latency: time.Since(start),
				ok:      err == nil,
			})
			start = time.Now()
			answer := node.Do(context.Background(), fleet.Call{
				Method: "GET",
				Path:   fmt.Sprintf("/lookup/%d", number),
			})
			through = append(through, sample{
				kind:    "through",
				latency: time.Since(start),
				ok:      answer.Status == http.StatusOK,
			})
			time.Sleep(addedPause)
		}
	})
	r.writeSeries("direct", direct)
	r.writeSeries("through", through)
	added := percentile(through, 99) - percentile(direct, 99)
	r.Logf("direct p50 %s p99 %s; through p50 %s p99 %s", percentile(direct, 50), percentile(direct, 99), percentile(through, 50), percentile(through, 99))
	return []Row{
		{
			Measure:  "time added to a call, p99 against p99",
			Baseline: "direct HTTP " + milliseconds(percentile(direct, 99)),
			Result:   fmt.Sprintf("+%s", milliseconds(added)),
			Target:   "<= 1.6 ms for 99 in 100",
			Met:      added <= addedLimit && successRatio(through) == 1,
		},
	}
}

// get sends a request and reads the complete answer.
func get(client *http.Client, address string) error {
	response, err := client.Get(address)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// Package bench measures the policy under load and the cost of control. The
// baseline of the policy is plain forwarding with retries at each hop.
package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lagoonbarrow"
	"lagoonbarrow/internal/standin/fleet"
)

const (
	// maxLatency is the timeout of a request and the highest value of histograms.
	maxLatency = time.Minute
	// latencyDigits is the number of significant digits of histograms.
	latencyDigits = 3
	// resendDelay is the pause before a caller sends a failed request again.
	resendDelay = 50 * time.Millisecond
)

// phase is a part of a load with a constant mean rate.
type phase struct {
	duration time.Duration
	// perSecond is the rate of arrivals. It does not depend on the answers.
	perSecond float64
}

// requestKind is a kind of request with its weight among the kinds of a load.
type requestKind struct {
	name   string
	weight int
	method string
	// withKey gives each request an idempotency key.
	withKey bool
}

// load describes arrivals at a fleet's entry nodes.
type load struct {
	phases []phase
	kinds  []requestKind
	// resends is the number of times that a caller sends a failed request again.
	resends int
	// lateAfter is the latency above which an answer counts as failed. With 0 only
	// the deadline of the request's class applies.
	lateAfter time.Duration
	seed      uint64
}

// steady returns a load at one rate.
func (r *runner) steady(duration time.Duration, perSecond float64, kinds []requestKind) load {
	return load{
		phases: []phase{
			{
				duration:  duration,
				perSecond: perSecond,
			},
		},
		kinds: kinds,
		seed:  r.config.Seed,
	}
}

// sample is the result of one request.
type sample struct {
	kind string
	// arrival is the time of arrival since the start of the load.
	arrival time.Duration
	latency time.Duration
	ok      bool
	status  int
	reason  string
	// sends counts the first request and its resends.
	sends int
}

// run sends the requests of the load and returns a sample for each.
func (l load) run(f *fleet.Fleet) []sample {
	random := rand.New(rand.NewPCG(l.seed, l.seed))
	entries := f.NodesOf(f.Nodes[0].Service.Name)
	var samples []sample
	var mu sync.Mutex
	var pending sync.WaitGroup
	started := time.Now()
	due := time.Duration(0)
	number := 0
	for _, p := range l.phases {
		end := due + p.duration
		for due < end {
			time.Sleep(time.Until(started.Add(due)))
			kind := l.pickKind(random)
			order := random.Perm(len(entries))
			arrival := due
			number++
			id := number
			pending.Add(1)
			go func() {
				defer pending.Done()
				result := l.send(entries, order, kind, id)
				result.arrival = arrival
				mu.Lock()
				samples = append(samples, result)
				mu.Unlock()
			}()
			due += time.Duration(random.ExpFloat64() * float64(time.Second) / p.perSecond)
		}
		due = end
	}
	pending.Wait()
	return samples
}

// pickKind draws a kind of request according to the weights.
func (l load) pickKind(random *rand.Rand) requestKind {
	total := 0
	for _, candidate := range l.kinds {
		total += candidate.weight
	}
	drawn := random.IntN(total)
	for _, candidate := range l.kinds {
		drawn -= candidate.weight
		if drawn < 0 {
			return candidate
		}
	}
	return l.kinds[0]
}

// send sends one request and its resends, each through another entry node.
func (l load) send(entries []*fleet.Node, order []int, kind requestKind, id int) sample {
	request := fleet.Call{
		Method: kind.method,
		Path:   fmt.Sprintf("/%s/%d", kind.name, id),
	}
	if kind.withKey {
		request.Key = fmt.Sprintf("%s-%d", kind.name, id)
	}
	result := sample{
		kind: kind.name,
	}
	start := time.Now()
	for attempt := range l.resends + 1 {
		if attempt > 0 {
			time.Sleep(resendDelay)
		}
		ctx, cancel := context.WithTimeout(context.Background(), maxLatency)
		answer := entries[order[attempt%len(order)]].Do(ctx, request)
		cancel()
		result.sends++
		result.status = answer.Status
		result.reason = answer.Reason
		result.latency = time.Since(start)
		result.ok = answer.Err == nil && answer.Status == 200 && answer.Outcome == string(lagoonbarrow.OutcomeDone)
		if result.ok && l.lateAfter > 0 && result.latency > l.lateAfter {
			result.ok = false
		}
		if result.ok {
			break
		}
	}
	return result
}

// arrivedBetween returns the samples of requests of a kind that arrived between from
// and to. An empty name selects all kinds.
func arrivedBetween(samples []sample, name string, from, to time.Duration) []sample {
	var selected []sample
	for _, s := range samples {
		if (name == "" || s.kind == name) && s.arrival >= from && s.arrival < to {
			selected = append(selected, s)
		}
	}
	return selected
}

// goodput returns the rate of requests that arrived between from and to and
// succeeded in time.
func goodput(samples []sample, from, to time.Duration) float64 {
	count := 0
	for _, s := range arrivedBetween(samples, "", from, to) {
		if s.ok {
			count++
		}
	}
	return float64(count) / (to - from).Seconds()
}

// percentile returns a percentile of the latencies of successful samples.
func percentile(samples []sample, percent float64) time.Duration {
	histogram := hdrhistogram.New(1, int64(maxLatency/time.Microsecond), latencyDigits)
	for _, s := range samples {
		if s.ok {
			_ = histogram.RecordValue(int64(s.latency / time.Microsecond))
		}
	}
	return time.Duration(histogram.ValueAtQuantile(percent)) * time.Microsecond
}

// successRatio returns the share of samples that succeeded.
func successRatio(samples []sample) float64 {
	if len(samples) == 0 {
		return 0
	}
	count := 0
	for _, s := range samples {
		if s.ok {
			count++
		}
	}
	return float64(count) / float64(len(samples))
}

// Package bench measures the policy under load against a baseline of plain
// forwarding with retries at each hop.
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
	// maxLatency is the highest value that histograms hold.
	maxLatency = time.Minute
	// latencyDigits is the precision of histograms.
	latencyDigits = 3
	// resendDelay is the pause of callers that retry hard.
	resendDelay = 50 * time.Millisecond
)

// phase is a part of a load with a constant rate.
type phase struct {
	duration time.Duration
	// perSecond is the rate of arrivals, which doesn't depend on answers.
	perSecond float64
}

// kind is a kind of request and its weight in the mix.
type kind struct {
	name   string
	weight int
	method string
	// key gives each request an idempotency key.
	key bool
}

// load describes arrivals at a fleet's entry nodes.
type load struct {
	phases []phase
	kinds  []kind
	// resends is how often a caller sends a failed request again.
	resends int
	// late is the time after which an answer is of no use; 0 for the class's deadline.
	late time.Duration
	seed uint64
}

// steady returns a load at one rate.
func (r *runner) steady(duration time.Duration, perSecond float64, kinds []kind) load {
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

// sample is what became of one request.
type sample struct {
	kind string
	// at is the time of arrival since the load began.
	at     time.Duration
	took   time.Duration
	ok     bool
	status int
	reason string
	sends  int
}

// run sends the load and returns a sample for each request.
func (l load) run(f *fleet.Fleet) []sample {
	random := rand.New(rand.NewPCG(l.seed, l.seed))
	entries := f.Of(f.Nodes[0].Service.Name)
	var samples []sample
	var mu sync.Mutex
	var pending sync.WaitGroup
	started := time.Now()
	due := time.Duration(0)
	number := 0
	for _, current := range l.phases {
		end := due + current.duration
		for due < end {
			time.Sleep(time.Until(started.Add(due)))
			chosen := l.pick(random)
			order := random.Perm(len(entries))
			at := due
			number++
			id := number
			pending.Add(1)
			go func() {
				defer pending.Done()
				result := l.send(entries, order, chosen, id)
				result.at = at
				mu.Lock()
				samples = append(samples, result)
				mu.Unlock()
			}()
			due += time.Duration(random.ExpFloat64() * float64(time.Second) / current.perSecond)
		}
		due = end
	}
	pending.Wait()
	return samples
}

func (l load) pick(random *rand.Rand) kind {
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

// send makes one request and its re-sends through different entry nodes.
func (l load) send(entries []*fleet.Node, order []int, chosen kind, id int) sample {
	request := fleet.Call{
		Method: chosen.method,
		Path:   fmt.Sprintf("/%s/%d", chosen.name, id),
	}
	if chosen.key {
		request.Key = fmt.Sprintf("%s-%d", chosen.name, id)
	}
	result := sample{
		kind: chosen.name,
	}
	began := time.Now()
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
		result.took = time.Since(began)
		result.ok = answer.Err == nil && answer.Status == 200 && answer.Outcome == string(lagoonbarrow.OutcomeDone)
		if result.ok && l.late > 0 && result.took > l.late {
			result.ok = false
		}
		if result.ok {
			break
		}
	}
	return result
}

// of returns the samples of a kind that arrived within a span of the load.
func of(samples []sample, name string, from, to time.Duration) []sample {
	var chosen []sample
	for _, current := range samples {
		if (name == "" || current.kind == name) && current.at >= from && current.at < to {
			chosen = append(chosen, current)
		}
	}
	return chosen
}

// goodput is the rate of whole answers in time to requests that arrived.
func goodput(samples []sample, from, to time.Duration) float64 {
	count := 0
	for _, current := range of(samples, "", from, to) {
		if current.ok {
			count++
		}
	}
	return float64(count) / (to - from).Seconds()
}

// percentile returns a percentile of the latency of successful samples.
func percentile(samples []sample, percent float64) time.Duration {
	histogram := hdrhistogram.New(1, int64(maxLatency/time.Microsecond), latencyDigits)
	for _, current := range samples {
		if current.ok {
			_ = histogram.RecordValue(int64(current.took / time.Microsecond))
		}
	}
	return time.Duration(histogram.ValueAtQuantile(percent)) * time.Microsecond
}

// success is the part of samples that succeeded.
func success(samples []sample) float64 {
	if len(samples) == 0 {
		return 0
	}
	count := 0
	for _, current := range samples {
		if current.ok {
			count++
		}
	}
	return float64(count) / float64(len(samples))
}

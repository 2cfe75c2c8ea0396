package entry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/registration"
	"lagoonbarrow/internal/process/retry"
	"lagoonbarrow/internal/process/slots"
	"lagoonbarrow/internal/request/execute"
	"lagoonbarrow/internal/request/forward"
	"lagoonbarrow/pkg/event"
)

// The load of the test. Each request to the upper service makes calls to the lower
// service, which receives 1.7 times the load that it can serve.
const (
	upperServiceTime  = 100 * time.Millisecond
	lowerServiceTime  = 50 * time.Millisecond
	callsPerRequest   = 4
	upperSlots        = 200
	lowerSlots        = 30
	arrivalsPerSecond = 240
	entryNodes        = 20
	loadDuration      = 20 * time.Second
	targetLatency     = time.Second
	timeout           = 2 * time.Second
)

type noRecorder struct{}

func (noRecorder) Record(event.Kind, event.Fields) {}

// relayFunc is a relay that runs calls in place of a backend server.
type relayFunc func(ctx context.Context, call *lagoonbarrow.Call, deadline time.Time) *lagoonbarrow.Answer

func (f relayFunc) Relay(ctx context.Context, call *lagoonbarrow.Call, deadline time.Time) *lagoonbarrow.Answer {
	return f(ctx, call, deadline)
}

func newServiceHandler(slotCount int, relay relayFunc) *execute.Handler {
	gate := slots.New(slots.Config{})
	gate.SetSlots(slotCount)
	return execute.NewHandler(execute.Config{
		CurrentServer: func() (registration.Server, bool) {
			return registration.Server{
				ID: "server",
			}, true
		},
		Version:        func() lagoonbarrow.ConfigurationVersion { return 1 },
		ObserveVersion: func(lagoonbarrow.ConfigurationVersion) {},
		Gate:           gate,
		Budget: retry.New(retry.Config{
			Bounds: retry.Bounds{
				Window: time.Second,
			},
			Instances: func() int { return 1 },
		}),
		Relay:    relay,
		Recorder: noRecorder{},
	})
}

func doneAnswer(call *lagoonbarrow.Call, status int) *lagoonbarrow.Answer {
	return &lagoonbarrow.Answer{
		Call:         call.ID,
		Outcome:      lagoonbarrow.OutcomeDone,
		Status:       status,
		SentToServer: true,
	}
}

// lowerService is what limits the lower service: its slots, or the requests a second that it
// names in its answers if limit is set.
type lowerService struct {
	slots int
	limit lagoonbarrow.RequestsPerSecond
}

// throughput returns the requests a second that the service can run.
func (l lowerService) throughput() float64 {
	bySlots := float64(slots.Limit(l.slots)) / lowerServiceTime.Seconds()
	if l.limit == 0 {
		return bySlots
	}
	return min(bySlots, float64(l.limit))
}

// newChain returns the handler of an upper service whose calls go to a lower service.
func newChain(limits lowerService) *execute.Handler {
	lower := newServiceHandler(limits.slots, func(_ context.Context, call *lagoonbarrow.Call, _ time.Time) *lagoonbarrow.Answer {
		time.Sleep(lowerServiceTime)
		answer := doneAnswer(call, 200)
		answer.Announcement = &lagoonbarrow.Announcement{
			Limited: limits.limit > 0,
			Limit:   limits.limit,
		}
		return answer
	})
	var upper *execute.Handler
	upper = newServiceHandler(upperSlots, func(ctx context.Context, call *lagoonbarrow.Call, deadline time.Time) *lagoonbarrow.Answer {
		time.Sleep(upperServiceTime)
		for i := range callsPerRequest {
			id := lagoonbarrow.RequestID(fmt.Sprintf("%s.%d", call.Request, i))
			run, _ := upper.Parent(id)
			answer := lower.HandleCall(ctx, &lagoonbarrow.Call{
				Request:   id,
				Priority:  run.Priority,
				Nested:    true,
				Remaining: time.Until(deadline),
				MaxWait:   time.Until(deadline) / 2,
			})
			run.RaiseThreshold(answer.Threshold)
			if answer.Outcome != lagoonbarrow.OutcomeDone {
				run.MarkCallFailed()
				return doneAnswer(call, 500)
			}
		}
		return doneAnswer(call, 200)
	})
	return upper
}

// outcomes counts the results of the clients' requests.
type outcomes struct {
	mu     sync.Mutex
	inTime int
	late   int
	failed int
	// wastedRuns counts the runs of the upper service that failed.
	wastedRuns int
}

func (o *outcomes) add(answer *lagoonbarrow.Answer, took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case answer.Outcome != lagoonbarrow.OutcomeDone || answer.Failed():
		o.failed++
	case took > targetLatency:
		o.late++
	default:
		o.inTime++
	}
}

func (o *outcomes) addWastedRun() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.wastedRuns++
}

// entryNode is a node that receives requests of clients.
type entryNode struct {
	upper *execute.Handler
	// thresholds is nil for a node that refuses no requests itself.
	thresholds *thresholds
}

var readKey = classKey{
	class: "read",
}

// send sends one attempt of a client.
func (e *entryNode) send(id lagoonbarrow.RequestID) *lagoonbarrow.Answer {
	priority := lagoonbarrow.NewPriority(lagoonbarrow.ImportanceDeferrable, xxhash.Sum64String(string(id)))
	if e.thresholds != nil && !e.thresholds.admits(readKey, priority) {
		refusal := lagoonbarrow.NewRefusal("", lagoonbarrow.ReasonShed)
		refusal.RetryAfter = forward.DownstreamRetryAfter(targetLatency)
		return refusal
	}
	answer := e.upper.HandleCall(context.Background(), &lagoonbarrow.Call{
		Request:   id,
		Priority:  priority,
		Remaining: timeout,
		MaxWait:   targetLatency / 4,
	})
	if e.thresholds != nil && answer.SentToServer {
		e.thresholds.observe(readKey, min(answer.Threshold, refuseAllThreshold(lagoonbarrow.ImportanceDeferrable)))
	}
	return answer
}

// simulateOverload sends requests at the arrival rate, with or without thresholds at
// the entry nodes. Clients retry a failed request once.
func simulateOverload(t *testing.T, limits lowerService, useThresholds bool) *outcomes {
	t.Helper()
	result := &outcomes{}
	synctest.Test(t, func(*testing.T) {
		upper := newChain(limits)
		var nodes []*entryNode
		for range entryNodes {
			node := &entryNode{
				upper: upper,
			}
			if useThresholds {
				node.thresholds = newThresholds(routedDecay, time.Now)
			}
			nodes = append(nodes, node)
		}
		var clients sync.WaitGroup
		for i := range int(loadDuration.Seconds() * arrivalsPerSecond) {
			node := nodes[i%entryNodes]
			clients.Go(func() {
				began := time.Now()
				answer := node.send(lagoonbarrow.RequestID(fmt.Sprintf("%d-first", i)))
				if answer.Failed() {
					result.addWastedRun()
				}
				if answer.Outcome != lagoonbarrow.OutcomeDone || answer.Failed() {
					time.Sleep(answer.RetryAfter)
					answer = node.send(lagoonbarrow.RequestID(fmt.Sprintf("%d-second", i)))
				}
				if answer.Failed() {
					result.addWastedRun()
				}
				result.add(answer, time.Since(began))
			})
			time.Sleep(time.Second / arrivalsPerSecond)
		}
		clients.Wait()
	})
	t.Logf("thresholds at the entry %t: %d in time, %d late, %d failed, %d wasted runs", useThresholds, result.inTime, result.late, result.failed, result.wastedRuns)
	return result
}

// boundBySlots is a lower service with too few slots.
var boundBySlots = lowerService{
	slots: lowerSlots,
}

// boundByLimit has slots, but names a limit of what boundBySlots can run.
var boundByLimit = lowerService{
	slots: upperSlots,
	limit: lagoonbarrow.RequestsPerSecond(boundBySlots.throughput()),
}

// Guards against requests that run in an upper service and then fail in a lower service
// with too few slots, or above the limit that it names. They delay requests that could be
// served, and their clients retry them at once.
func TestEntryShedsRequestsThatFailDownstream(t *testing.T) {
	// With a limit, less is wasted without thresholds, so both have the same bound.
	maxWasted := simulateOverload(t, boundBySlots, false).wastedRuns / 4
	for _, limits := range []lowerService{boundBySlots, boundByLimit} {
		without := simulateOverload(t, limits, false)
		with := simulateOverload(t, limits, true)
		if with.wastedRuns > maxWasted {
			t.Errorf("%+v: %d wasted runs, %d without thresholds", limits, with.wastedRuns, without.wastedRuns)
		}
		if with.inTime < without.inTime {
			t.Errorf("%+v: %d requests were served in time, %d without thresholds", limits, with.inTime, without.inTime)
		}
		possible := int(loadDuration.Seconds()*limits.throughput()) / callsPerRequest
		if float64(with.inTime+with.late) < 0.9*float64(possible) {
			t.Errorf("%+v: %d requests were served, %d were possible", limits, with.inTime+with.late, possible)
		}
	}
}

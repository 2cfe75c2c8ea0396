package platform

import (
	"context"
	"testing"
	"time"

	"lagoonbarrow"
	standin "lagoonbarrow/internal/standin/platform"
)

func newTestGate() (*gate, *[]bool) {
	changes := &[]bool{}
	config := Config{
		Concurrency: 4,
		MaxWaiting:  2,
	}.withDefaults()
	return newGate(config, func(up bool) { *changes = append(*changes, up) }), changes
}

func mustAcquire(t *testing.T, g *gate) permit {
	t.Helper()
	acquired, err := g.acquire(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return acquired
}

// Guards against a breaker that opens too early, too late, or because of results from
// before it last opened, and against a burst after the recovery of the platform.
func TestGateOpensAndRampsUp(t *testing.T) {
	g, changes := newTestGate()
	stale := mustAcquire(t, g)
	for range 4 {
		g.release(mustAcquire(t, g), resultFailed)
	}
	g.release(mustAcquire(t, g), resultAnswered)
	for range 5 {
		if !g.available() {
			t.Fatal("the breaker opened before five failures in a row")
		}
		g.release(mustAcquire(t, g), resultFailed)
	}
	_, err := g.acquire(context.Background())
	wantError(t, "open breaker", err, lagoonbarrow.ErrUnavailable)
	g.closeBreaker()
	g.release(stale, resultFailed)
	if !g.available() {
		t.Fatal("a result from before the outage opened the breaker")
	}
	for limit := 1; limit < 4; limit++ {
		if g.limit != limit {
			t.Fatalf("the limit is %d, want %d", g.limit, limit)
		}
		g.release(mustAcquire(t, g), resultAnswered)
	}
	g.release(mustAcquire(t, g), resultLimited)
	if g.limit != 2 {
		t.Errorf("the limit is %d after 429, want 2", g.limit)
	}
	if len(*changes) != 2 || (*changes)[0] || !(*changes)[1] {
		t.Errorf("changes are %v", *changes)
	}
}

// Guards against a breaker that needs five more failures to open again when the
// platform fails after a successful probe.
func TestGateReopensOnFirstFailureAfterProbe(t *testing.T) {
	g, _ := newTestGate()
	for range 5 {
		g.release(mustAcquire(t, g), resultFailed)
	}
	g.closeBreaker()
	g.release(mustAcquire(t, g), resultFailed)
	if g.available() {
		t.Error("the breaker stayed closed")
	}
}

// Guards against requests that wait forever, an unlimited number of waiting requests,
// and permits that are lost when a waiting caller gives up.
func TestGateWaiting(t *testing.T) {
	g, _ := newTestGate()
	var permits []permit
	for range 4 {
		permits = append(permits, mustAcquire(t, g))
	}
	ctx, cancel := context.WithCancel(context.Background())
	results := make(chan error, 2)
	for _, waiter := range []context.Context{context.Background(), ctx} {
		before := waitingCount(g)
		go func() {
			_, err := g.acquire(waiter)
			results <- err
		}()
		eventually(t, "the request waits", func() bool { return waitingCount(g) > before })
	}
	_, err := g.acquire(context.Background())
	wantError(t, "third waiting request", err, lagoonbarrow.ErrUnavailable)
	cancel()
	wantError(t, "cancelled request", <-results, lagoonbarrow.ErrUnavailable)
	g.release(permits[0], resultAnswered)
	if err := <-results; err != nil {
		t.Fatal(err)
	}
	go func() {
		_, err := g.acquire(context.Background())
		results <- err
	}()
	eventually(t, "the request waits", func() bool { return waitingCount(g) == 1 })
	g.stop()
	wantError(t, "stopped", <-results, lagoonbarrow.ErrUnavailable)
	if g.inFlight != 4 {
		t.Errorf("%d requests run, want 4", g.inFlight)
	}
}

func waitingCount(g *gate) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.waiting)
}

// Guards against calls that are sent while the breaker is open, a breaker that does
// not close again, and missing events.
func TestBreakerWithPlatform(t *testing.T) {
	events := &recorder{}
	client, server := startPair(t, Config{
		ProbeInterval: 5 * time.Millisecond,
		Recorder:      events,
	})
	server.SetFaults(standin.Faults{
		Down: standin.DownRefuse,
	})
	for range 5 {
		wantError(t, "503", put(client, "key", 0), lagoonbarrow.ErrUnavailable)
	}
	if client.Available() {
		t.Fatal("the breaker is closed after five failures")
	}
	for range 100 {
		wantError(t, "open breaker", put(client, "key", 0), lagoonbarrow.ErrUnavailable)
	}
	if batches := server.Stats().Batches; batches != 0 {
		t.Errorf("%d batches were served", batches)
	}
	server.SetFaults(standin.Faults{})
	eventually(t, "the breaker closes", client.Available)
	if err := put(client, "key", 0); err != nil {
		t.Error(err)
	}
	if got := events.String(); got != "[platform-down platform-up]" {
		t.Errorf("events are %s", got)
	}
}

// Guards against a breaker that counts the expired deadline of a caller as a failure
// of the platform.
func TestCallerTimeoutsDoNotOpenBreaker(t *testing.T) {
	client, server := startPair(t, Config{
		Timeout: 10 * time.Second,
	})
	server.SetFaults(standin.Faults{
		Slow: lagoonbarrow.Duration(30 * time.Millisecond),
	})
	for range 8 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		_, err := client.Get(ctx, "claims", "key")
		cancel()
		wantError(t, "get", err, lagoonbarrow.ErrUnavailable)
	}
	if !client.Available() {
		t.Error("the breaker opened")
	}
}

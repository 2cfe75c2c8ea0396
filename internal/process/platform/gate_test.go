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
		Waiting:     2,
	}.withDefaults()
	return newGate(config, func(up bool) { *changes = append(*changes, up) }), changes
}

func mustAcquire(t *testing.T, g *gate) ticket {
	t.Helper()
	taken, err := g.acquire(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return taken
}

// Guards against a breaker that opens early, late, or because of results from
// before it last opened, and against a burst when the platform is back.
func TestGateOpensAndRamps(t *testing.T) {
	g, changes := newTestGate()
	stale := mustAcquire(t, g)
	for range 4 {
		g.release(mustAcquire(t, g), failed)
	}
	g.release(mustAcquire(t, g), answered)
	for range 5 {
		if !g.available() {
			t.Fatal("the breaker opened before five failures in a row")
		}
		g.release(mustAcquire(t, g), failed)
	}
	_, err := g.acquire(context.Background())
	wantError(t, "open breaker", err, lagoonbarrow.ErrUnavailable)
	g.recover()
	g.release(stale, failed)
	if !g.available() {
		t.Fatal("a result from before the outage opened the breaker")
	}
	for limit := 1; limit < 4; limit++ {
		if g.limit != limit {
			t.Fatalf("the limit is %d, want %d", g.limit, limit)
		}
		g.release(mustAcquire(t, g), answered)
	}
	g.release(mustAcquire(t, g), limited)
	if g.limit != 2 {
		t.Errorf("the limit is %d after 429, want 2", g.limit)
	}
	if len(*changes) != 2 || (*changes)[0] || !(*changes)[1] {
		t.Errorf("changes are %v", *changes)
	}
}

// Guards against five more slow failures when the probe was lucky.
func TestGateReopensOnFirstFailureAfterProbe(t *testing.T) {
	g, _ := newTestGate()
	for range 5 {
		g.release(mustAcquire(t, g), failed)
	}
	g.recover()
	g.release(mustAcquire(t, g), failed)
	if g.available() {
		t.Error("the breaker stayed closed")
	}
}

// Guards against requests that wait for ever or without bound while the
// platform is down, and against room that is lost when a waiting caller leaves.
func TestGateWaiting(t *testing.T) {
	g, _ := newTestGate()
	var taken []ticket
	for range 4 {
		taken = append(taken, mustAcquire(t, g))
	}
	ctx, cancel := context.WithCancel(context.Background())
	results := make(chan error, 2)
	for _, waiter := range []context.Context{context.Background(), ctx} {
		before := waitingIn(g)
		go func() {
			_, err := g.acquire(waiter)
			results <- err
		}()
		eventually(t, "the request waits", func() bool { return waitingIn(g) > before })
	}
	_, err := g.acquire(context.Background())
	wantError(t, "third waiting request", err, lagoonbarrow.ErrUnavailable)
	cancel()
	wantError(t, "cancelled request", <-results, lagoonbarrow.ErrUnavailable)
	g.release(taken[0], answered)
	if err := <-results; err != nil {
		t.Fatal(err)
	}
	go func() {
		_, err := g.acquire(context.Background())
		results <- err
	}()
	eventually(t, "the request waits", func() bool { return waitingIn(g) == 1 })
	g.stop()
	wantError(t, "stopped", <-results, lagoonbarrow.ErrUnavailable)
	if g.running != 4 {
		t.Errorf("%d requests run, want 4", g.running)
	}
}

func waitingIn(g *gate) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.waiting)
}

// Guards against calls that reach a platform that is down, against a breaker
// that does not close again, and against missing events.
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

// Guards against an impatient caller that counts as a failure of the platform.
func TestImpatientCallersDoNotOpenBreaker(t *testing.T) {
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

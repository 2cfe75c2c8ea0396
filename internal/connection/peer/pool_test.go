package peer

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// blocking is a call handler whose calls run until they are released.
type blocking struct {
	running atomic.Int64
	mutex   sync.Mutex
	started []lagoonbarrow.Priority
	release chan struct{}
}

func newBlocking() *blocking {
	return &blocking{
		release: make(chan struct{}),
	}
}

func (b *blocking) handle(ctx context.Context, call *lagoonbarrow.Call) *lagoonbarrow.Answer {
	b.mutex.Lock()
	b.started = append(b.started, call.Priority)
	b.mutex.Unlock()
	b.running.Add(1)
	defer b.running.Add(-1)
	select {
	case <-b.release:
	case <-ctx.Done():
	}
	return echo(ctx, call)
}

// inFlight starts calls and returns a function that waits for their errors.
func inFlight(client *Client, target lagoonbarrow.Instance, calls ...*lagoonbarrow.Call) func() []error {
	results := make(chan error, len(calls))
	for _, call := range calls {
		go func() {
			_, err := client.Call(context.Background(), target, call)
			results <- err
		}()
	}
	return func() []error {
		var failed []error
		for range calls {
			if err := <-results; err != nil {
				failed = append(failed, err)
			}
		}
		return failed
	}
}

func prioritized(priority lagoonbarrow.Priority, long bool) *lagoonbarrow.Call {
	call := newCall(nil)
	call.Priority = priority
	call.Long = long
	return call
}

func waiting(client *Client) int {
	return client.Usage().Waiting
}

// Guards against long calls that take all connections, so that short ones wait
// behind them, and against control messages that wait behind calls.
func TestLongCallsUseAQuarter(t *testing.T) {
	work := newBlocking()
	_, target := startServer(t, work.handle, serveProbes)
	client := newClient(t, func(config *ClientConfig) { config.ConnectionsPerPeer = 8 })
	var calls []*lagoonbarrow.Call
	for range 6 {
		calls = append(calls, prioritized(200, true))
	}
	wait := inFlight(client, target, calls...)
	eventually(t, "two long calls run", func() bool { return work.running.Load() == 2 && waiting(client) == 4 })
	waitShort := inFlight(client, target, prioritized(70, false), prioritized(70, false), prioritized(70, false), prioritized(70, false), prioritized(70, false), prioritized(70, false))
	eventually(t, "all but the critical reserve is in use", func() bool { return work.running.Load() == 7 && waiting(client) == 5 })
	waitCritical := inFlight(client, target, prioritized(200, false))
	eventually(t, "the critical reserve is in use", func() bool { return work.running.Load() == 8 })
	if _, err := client.Send(context.Background(), target.Peer, lagoonbarrow.Message{
		Kind: "probe",
	}); err != nil {
		t.Fatal(err)
	}
	close(work.release)
	if failed := append(append(wait(), waitShort()...), waitCritical()...); failed != nil {
		t.Fatal(failed)
	}
}

// Guards against calls that wait for a connection behind less important ones, and
// against a queue without bound.
func TestWaitersContinueByPriority(t *testing.T) {
	work := newBlocking()
	_, target := startServer(t, work.handle, nil)
	client := newClient(t, func(config *ClientConfig) { config.ConnectionsPerPeer = 1 })
	wait := inFlight(client, target, prioritized(1, false))
	eventually(t, "the first call runs", func() bool { return work.running.Load() == 1 })
	var waits []func() []error
	for i, priority := range []lagoonbarrow.Priority{70, 200, 130, 90} {
		waits = append(waits, inFlight(client, target, prioritized(priority, false)))
		eventually(t, "the call waits", func() bool { return waiting(client) == i+1 })
	}
	_, err := client.Call(context.Background(), target, prioritized(60, false))
	if !errors.Is(err, lagoonbarrow.ErrNotSent) || !errors.Is(err, lagoonbarrow.ErrShed) {
		t.Fatal(err)
	}
	waits = append(waits, inFlight(client, target, prioritized(201, false)))
	if failed := waits[0](); len(failed) != 1 || !errors.Is(failed[0], lagoonbarrow.ErrShed) {
		t.Fatalf("the least important call was not displaced: %v", failed)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if _, err := client.Call(ctx, target, prioritized(202, false)); !errors.Is(err, lagoonbarrow.ErrNotSent) || !errors.Is(err, context.DeadlineExceeded) {
		t.Fatal(err)
	}
	close(work.release)
	failed := wait()
	for _, other := range waits[1:] {
		failed = append(failed, other()...)
	}
	// 202 displaced 90 and then gave up.
	if len(failed) != 1 || fmt.Sprint(work.started) != "[1 201 200 130]" {
		t.Fatal(work.started, failed)
	}
}

// Guards against calls that wait for a connection to a peer that is gone.
func TestWaitersEndWithThePeer(t *testing.T) {
	work := newBlocking()
	server, target := startServer(t, work.handle, nil)
	client := newClient(t, func(config *ClientConfig) { config.ConnectionsPerPeer = 2 })
	wait := inFlight(client, target, newCall(nil), newCall(nil), newCall(nil), newCall(nil))
	eventually(t, "three calls wait", func() bool { return work.running.Load() == 1 && waiting(client) == 3 })
	_ = server.Stop(within(t, time.Millisecond))
	notSent := 0
	for _, err := range wait() {
		if errors.Is(err, lagoonbarrow.ErrNotSent) {
			notSent++
		}
	}
	if notSent != 3 || waiting(client) != 0 {
		t.Fatalf("%d calls were not sent, %d wait", notSent, waiting(client))
	}
}

// Guards against calls to a dead instance that hold on until their deadline, and
// against a disconnected instance that can't be called again.
func TestDisconnectCutsCallsOff(t *testing.T) {
	work := newBlocking()
	_, target := startServer(t, work.handle, nil)
	client := newClient(t, func(config *ClientConfig) { config.ConnectionsPerPeer = 2 })
	wait := inFlight(client, target, newCall(nil), newCall(nil))
	eventually(t, "one call waits", func() bool { return work.running.Load() == 1 && waiting(client) == 1 })
	client.Disconnect("other")
	client.Disconnect(target.ID)
	failed := wait()
	if len(failed) != 2 || errors.Is(failed[0], lagoonbarrow.ErrNotSent) == errors.Is(failed[1], lagoonbarrow.ErrNotSent) {
		t.Fatal(failed)
	}
	close(work.release)
	if _, err := client.Call(context.Background(), target, newCall(nil)); err != nil {
		t.Fatal(err)
	}
}

// Guards against a time line that is flooded by refused connections.
func TestEventsAreLimited(t *testing.T) {
	events := &recorder{}
	limited := newLimitedRecorder(events, noScope)
	c := &connection{
		peer: "caller",
	}
	for range 10 * eventBurst {
		limited.record(event.PeerRefused, c, errRefused)
	}
	if n := events.count(event.PeerRefused); n < eventBurst || n > 2*eventBurst {
		t.Fatalf("%d events", n)
	}
	if !limited.allow(time.Now().Add(time.Second)) {
		t.Fatal("no event is recorded any more")
	}
}

// Guards against connections and peers without bound: those in use are kept, and
// the oldest idle ones make room.
func TestPeersAndConnectionsAreBounded(t *testing.T) {
	work := newBlocking()
	_, busy := startServer(t, work.handle, nil)
	var idle []lagoonbarrow.Instance
	for range 4 {
		_, target := startServer(t, echo, nil)
		idle = append(idle, target)
	}
	client := newClient(t, func(config *ClientConfig) {
		config.MaxPeers = 3
		config.SweepInterval = time.Hour
		config.MaxConnections = 2
	})
	wait := inFlight(client, busy, newCall(nil))
	eventually(t, "the call runs", func() bool { return work.running.Load() == 1 })
	for range 3 {
		for _, target := range idle {
			if _, err := client.Call(context.Background(), target, newCall(nil)); err != nil {
				t.Fatal(err)
			}
		}
	}
	if usage := client.Usage(); usage.Peers > 3 || usage.Connections > 2 || usage.InUse != 1 {
		t.Fatalf("unexpected usage %+v", usage)
	}
	close(work.release)
	if failed := wait(); failed != nil {
		t.Fatal(failed)
	}
}

// Guards against a stopped callee whose idle connections turn calls into lost
// answers, and against a stop that cuts off calls in flight or their answers.
func TestStopLosesNoAnswer(t *testing.T) {
	for round := range 5 {
		server, target := startServer(t, func(ctx context.Context, call *lagoonbarrow.Call) *lagoonbarrow.Answer {
			time.Sleep(time.Millisecond)
			return echo(ctx, call)
		}, nil)
		client := newClient(t, nil)
		var callers sync.WaitGroup
		var answered, notSent atomic.Int64
		end := make(chan struct{})
		for range 8 {
			callers.Go(func() {
				for {
					select {
					case <-end:
						return
					default:
					}
					_, err := client.Call(context.Background(), target, newCall(make([]byte, 9000)))
					switch {
					case err == nil:
						answered.Add(1)
					case errors.Is(err, lagoonbarrow.ErrNotSent):
						notSent.Add(1)
					default:
						t.Errorf("round %d: %v", round, err)
					}
				}
			})
		}
		eventually(t, "calls are answered", func() bool { return answered.Load() > 50 })
		if err := server.Stop(within(t, 10*time.Second)); err != nil {
			t.Error(err)
		}
		eventually(t, "calls are refused", func() bool { return notSent.Load() > 0 })
		close(end)
		callers.Wait()
	}
}

// Guards against a stop that waits for ever for a call in flight, and one that
// does not cancel what it cuts off.
func TestStopIsBounded(t *testing.T) {
	work := newBlocking()
	server, target := startServer(t, work.handle, nil)
	wait := inFlight(newClient(t, nil), target, newCall(nil))
	eventually(t, "the call runs", func() bool { return work.running.Load() == 1 })
	if err := server.Stop(within(t, 20*time.Millisecond)); !errors.Is(err, lagoonbarrow.ErrStopping) {
		t.Fatal(err)
	}
	if failed := wait(); len(failed) != 1 || !errors.Is(failed[0], lagoonbarrow.ErrAnswerLost) {
		t.Fatal(failed)
	}
	eventually(t, "the handler was cancelled", func() bool { return work.running.Load() == 0 })
}

// Guards against a stop that a frozen client holds up, since it never closes its
// idle connection.
func TestStopDoesNotWaitForFrozenClients(t *testing.T) {
	server, target := startServer(t, echo, func(config *ServerConfig) { config.DrainTimeout = 20 * time.Millisecond })
	c := dialRaw(t, target, purposeCalls)
	c.flush(t)
	eventually(t, "the connection is known", func() bool {
		server.mutex.Lock()
		defer server.mutex.Unlock()
		return len(server.sessions) == 1
	})
	if err := server.Stop(within(t, 10*time.Second)); err != nil {
		t.Fatal(err)
	}
	if p, err := c.read(); err != nil || p.GoingAway == nil {
		t.Fatalf("unexpected packet %+v %v", p, err)
	}
}

// Guards against unused connections that are kept for ever.
func TestIdleConnectionsAreClosed(t *testing.T) {
	server, target := startServer(t, echo, nil)
	client := newClient(t, func(config *ClientConfig) { config.IdleTimeout = 30 * time.Millisecond })
	if _, err := client.Call(context.Background(), target, newCall(nil)); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the connection is closed", func() bool {
		server.mutex.Lock()
		defer server.mutex.Unlock()
		return len(server.sessions) == 0 && client.Usage() == Usage{}
	})
}

// Guards against a broadcast that misses a peer which this node called or which
// called this node, or that reaches one twice.
func TestBroadcastReachesConnectedPeers(t *testing.T) {
	var mutex sync.Mutex
	heard := map[string]int{}
	listen := func(name string) func(*ServerConfig) {
		return func(config *ServerConfig) {
			config.Self = lagoonbarrow.InstanceID(name)
			config.Messages = map[string]lagoonbarrow.MessageHandler{
				"leave": messageFunc(func(_ context.Context, _ lagoonbarrow.InstanceID, message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
					mutex.Lock()
					defer mutex.Unlock()
					heard[name]++
					return message, nil
				}),
			}
		}
	}
	own, self := startServer(t, echo, listen("self"))
	_, called := startServer(t, echo, listen("called"))
	_, caller := startServer(t, echo, listen("caller"))
	client := newClient(t, func(config *ClientConfig) {
		config.Advertise = self.Peer
		config.Inbound = own.Connected
	})
	callers := newClient(t, func(config *ClientConfig) { config.Advertise = caller.Peer })
	for range 2 {
		if _, err := client.Call(context.Background(), called, newCall(nil)); err != nil {
			t.Fatal(err)
		}
		if _, err := callers.Call(context.Background(), self, newCall(nil)); err != nil {
			t.Fatal(err)
		}
	}
	client.Broadcast(within(t, -time.Second), lagoonbarrow.Message{
		Kind: "leave",
	})
	eventually(t, "both peers hear it", func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return heard["called"] == 1 && heard["caller"] == 1 && heard["self"] == 0
	})
}

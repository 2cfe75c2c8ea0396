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

// blockingHandler is a call handler whose calls run until release is closed or they
// are cancelled.
type blockingHandler struct {
	running atomic.Int64
	mutex   sync.Mutex
	started []lagoonbarrow.Priority
	release chan struct{}
}

func newBlockingHandler() *blockingHandler {
	return &blockingHandler{
		release: make(chan struct{}),
	}
}

func (b *blockingHandler) handle(ctx context.Context, call *lagoonbarrow.Call) *lagoonbarrow.Answer {
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

// startCalls starts calls and returns a function that waits for them and returns their
// errors.
func startCalls(client *Client, target lagoonbarrow.Instance, calls ...*lagoonbarrow.Call) func() []error {
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

func callWithPriority(priority lagoonbarrow.Priority, long bool) *lagoonbarrow.Call {
	call := newCall(nil)
	call.Priority = priority
	call.Long = long
	return call
}

func waitingCalls(client *Client) int {
	return client.Usage().Waiting
}

// Guards against long calls that use all connections and make short calls wait, and
// against control messages that wait for calls.
func TestLongCallsUseAQuarter(t *testing.T) {
	handler := newBlockingHandler()
	_, target := startServer(t, handler.handle, echoProbes)
	client := newClient(t, func(config *ClientConfig) { config.ConnectionsPerPeer = 8 })
	var calls []*lagoonbarrow.Call
	for range 6 {
		calls = append(calls, callWithPriority(200, true))
	}
	wait := startCalls(client, target, calls...)
	eventually(t, "two long calls run", func() bool { return handler.running.Load() == 2 && waitingCalls(client) == 4 })
	waitShort := startCalls(client, target, callWithPriority(70, false), callWithPriority(70, false), callWithPriority(70, false), callWithPriority(70, false), callWithPriority(70, false), callWithPriority(70, false))
	eventually(t, "all but the critical reserve is in use", func() bool { return handler.running.Load() == 7 && waitingCalls(client) == 5 })
	waitCritical := startCalls(client, target, callWithPriority(200, false))
	eventually(t, "the critical reserve is in use", func() bool { return handler.running.Load() == 8 })
	if _, err := client.Send(context.Background(), target.Peer, lagoonbarrow.Message{
		Kind: "probe",
	}); err != nil {
		t.Fatal(err)
	}
	close(handler.release)
	if failed := append(append(wait(), waitShort()...), waitCritical()...); failed != nil {
		t.Fatal(failed)
	}
}

// Guards against calls that wait for a connection behind calls with a lower priority,
// and against an unbounded queue.
func TestWaitersContinueByPriority(t *testing.T) {
	handler := newBlockingHandler()
	_, target := startServer(t, handler.handle, nil)
	client := newClient(t, func(config *ClientConfig) { config.ConnectionsPerPeer = 1 })
	wait := startCalls(client, target, callWithPriority(1, false))
	eventually(t, "the first call runs", func() bool { return handler.running.Load() == 1 })
	var waits []func() []error
	for i, priority := range []lagoonbarrow.Priority{70, 200, 130, 90} {
		waits = append(waits, startCalls(client, target, callWithPriority(priority, false)))
		eventually(t, "the call waits", func() bool { return waitingCalls(client) == i+1 })
	}
	_, err := client.Call(context.Background(), target, callWithPriority(60, false))
	if !errors.Is(err, lagoonbarrow.ErrNotSent) || !errors.Is(err, lagoonbarrow.ErrShed) {
		t.Fatal(err)
	}
	waits = append(waits, startCalls(client, target, callWithPriority(201, false)))
	if failed := waits[0](); len(failed) != 1 || !errors.Is(failed[0], lagoonbarrow.ErrShed) {
		t.Fatalf("the least important call was not displaced: %v", failed)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if _, err := client.Call(ctx, target, callWithPriority(202, false)); !errors.Is(err, lagoonbarrow.ErrNotSent) || !errors.Is(err, context.DeadlineExceeded) {
		t.Fatal(err)
	}
	close(handler.release)
	failed := wait()
	for _, other := range waits[1:] {
		failed = append(failed, other()...)
	}
	// The call with priority 202 displaced the one with 90 and then timed out.
	if len(failed) != 1 || fmt.Sprint(handler.started) != "[1 201 200 130]" {
		t.Fatal(handler.started, failed)
	}
}

// Guards against calls that keep waiting for a connection to a peer that has stopped.
func TestWaitersFailWithTheirPeer(t *testing.T) {
	handler := newBlockingHandler()
	server, target := startServer(t, handler.handle, nil)
	client := newClient(t, func(config *ClientConfig) { config.ConnectionsPerPeer = 2 })
	wait := startCalls(client, target, newCall(nil), newCall(nil), newCall(nil), newCall(nil))
	eventually(t, "three calls wait", func() bool { return handler.running.Load() == 1 && waitingCalls(client) == 3 })
	_ = server.Stop(contextWithTimeout(t, time.Millisecond))
	notSent := 0
	for _, err := range wait() {
		if errors.Is(err, lagoonbarrow.ErrNotSent) {
			notSent++
		}
	}
	if notSent != 3 || waitingCalls(client) != 0 {
		t.Fatalf("%d calls were not sent, %d wait", notSent, waitingCalls(client))
	}
}

// Guards against calls to a dead instance that continue until their deadline, and
// against an instance that can't be called again after Disconnect.
func TestDisconnectCutsCallsOff(t *testing.T) {
	handler := newBlockingHandler()
	_, target := startServer(t, handler.handle, nil)
	client := newClient(t, func(config *ClientConfig) { config.ConnectionsPerPeer = 2 })
	wait := startCalls(client, target, newCall(nil), newCall(nil))
	eventually(t, "one call waits", func() bool { return handler.running.Load() == 1 && waitingCalls(client) == 1 })
	client.Disconnect("other")
	client.Disconnect(target.ID)
	failed := wait()
	if len(failed) != 2 || errors.Is(failed[0], lagoonbarrow.ErrNotSent) == errors.Is(failed[1], lagoonbarrow.ErrNotSent) {
		t.Fatal(failed)
	}
	close(handler.release)
	if _, err := client.Call(context.Background(), target, newCall(nil)); err != nil {
		t.Fatal(err)
	}
}

// Guards against refused connections that flood the timeline with events.
func TestEventsAreLimited(t *testing.T) {
	events := &recorder{}
	limited := newRateLimitedRecorder(events, noScope)
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

// Guards against an unbounded number of connections and peers. At the limit the client
// closes the oldest idle ones and keeps those in use.
func TestPeersAndConnectionsAreBounded(t *testing.T) {
	handler := newBlockingHandler()
	_, busy := startServer(t, handler.handle, nil)
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
	wait := startCalls(client, busy, newCall(nil))
	eventually(t, "the call runs", func() bool { return handler.running.Load() == 1 })
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
	close(handler.release)
	if failed := wait(); failed != nil {
		t.Fatal(failed)
	}
}

// Guards against a stop of the callee that cuts off calls in flight, and against calls
// that are lost because they use an idle connection to a stopped callee.
func TestStopLosesNoAnswer(t *testing.T) {
	for round := range 5 {
		server, target := startServer(t, func(ctx context.Context, call *lagoonbarrow.Call) *lagoonbarrow.Answer {
			time.Sleep(time.Millisecond)
			return echo(ctx, call)
		}, nil)
		client := newClient(t, nil)
		var callers sync.WaitGroup
		var answered, notSent atomic.Int64
		stop := make(chan struct{})
		for range 8 {
			callers.Go(func() {
				for {
					select {
					case <-stop:
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
		if err := server.Stop(contextWithTimeout(t, 10*time.Second)); err != nil {
			t.Error(err)
		}
		eventually(t, "calls are refused", func() bool { return notSent.Load() > 0 })
		close(stop)
		callers.Wait()
	}
}

// Guards against a stop that waits forever for a call in flight, and against a call
// that is not cancelled when its connection is closed.
func TestStopIsBounded(t *testing.T) {
	handler := newBlockingHandler()
	server, target := startServer(t, handler.handle, nil)
	wait := startCalls(newClient(t, nil), target, newCall(nil))
	eventually(t, "the call runs", func() bool { return handler.running.Load() == 1 })
	if err := server.Stop(contextWithTimeout(t, 20*time.Millisecond)); !errors.Is(err, lagoonbarrow.ErrStopping) {
		t.Fatal(err)
	}
	if failed := wait(); len(failed) != 1 || !errors.Is(failed[0], lagoonbarrow.ErrAnswerLost) {
		t.Fatal(failed)
	}
	eventually(t, "the handler was cancelled", func() bool { return handler.running.Load() == 0 })
}

// Guards against a stop that is delayed by a frozen client, which never closes its idle
// connection.
func TestStopDoesNotWaitForFrozenClients(t *testing.T) {
	server, target := startServer(t, echo, func(config *ServerConfig) { config.DrainTimeout = 20 * time.Millisecond })
	c := dialAuthenticated(t, target, purposeCalls)
	c.flush(t)
	eventually(t, "the connection is registered", func() bool {
		server.mutex.Lock()
		defer server.mutex.Unlock()
		return len(server.sessions) == 1
	})
	if err := server.Stop(contextWithTimeout(t, 10*time.Second)); err != nil {
		t.Fatal(err)
	}
	if p, err := c.read(); err != nil || p.GoingAway == nil {
		t.Fatalf("unexpected packet %+v %v", p, err)
	}
}

// Guards against unused connections that are kept forever.
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

// Guards against a broadcast that misses a peer that this node called or that called
// this node, or that reaches a peer twice.
func TestBroadcastReachesConnectedPeers(t *testing.T) {
	var mutex sync.Mutex
	received := map[string]int{}
	countLeaves := func(name string) func(*ServerConfig) {
		return func(config *ServerConfig) {
			config.Self = lagoonbarrow.InstanceID(name)
			config.Messages = map[string]lagoonbarrow.MessageHandler{
				"leave": messageFunc(func(_ context.Context, _ lagoonbarrow.InstanceID, message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
					mutex.Lock()
					defer mutex.Unlock()
					received[name]++
					return message, nil
				}),
			}
		}
	}
	ownServer, self := startServer(t, echo, countLeaves("self"))
	_, called := startServer(t, echo, countLeaves("called"))
	_, caller := startServer(t, echo, countLeaves("caller"))
	client := newClient(t, func(config *ClientConfig) {
		config.Advertise = self.Peer
		config.Inbound = ownServer.Connected
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
	client.Broadcast(contextWithTimeout(t, -time.Second), lagoonbarrow.Message{
		Kind: "leave",
	})
	eventually(t, "both peers receive the message", func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return received["called"] == 1 && received["caller"] == 1 && received["self"] == 0
	})
}

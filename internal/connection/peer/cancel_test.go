package peer

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// Guards against a callee that goes on with a call whose caller gave up.
func TestCancelReachesTheHandler(t *testing.T) {
	started := make(chan struct{})
	ended := make(chan struct{})
	_, target := startServer(t, func(ctx context.Context, call *lagoonbarrow.Call) *lagoonbarrow.Answer {
		close(started)
		<-ctx.Done()
		close(ended)
		return echo(ctx, call)
	}, nil)
	client := newClient(t, nil)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	_, err := client.Call(ctx, target, newCall(nil))
	if !errors.Is(err, lagoonbarrow.ErrAnswerLost) || !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	<-ended
}

// Guards against a call that is started before it was received whole, when its
// caller goes away in between.
func TestIncompleteCallsAreNotStarted(t *testing.T) {
	var started atomic.Int64
	_, target := startServer(t, func(ctx context.Context, call *lagoonbarrow.Call) *lagoonbarrow.Answer {
		started.Add(1)
		return echo(ctx, call)
	}, func(config *ServerConfig) { config.TransferTimeout = 50 * time.Millisecond })
	call := newCall([]byte("12345"))
	head := &callHead{
		Call:      *call,
		BodyBytes: 5,
	}
	head.Body = nil
	id := string(call.ID)
	data := &chunk{
		ID:   id,
		Data: call.Body,
	}
	wrong := endOf(id, call.Body)
	wrong.Checksum++
	rows := [][]*packet{
		{{
			Call: head,
		}},
		{{
			Call: head,
		}, {
			Body: data,
		}},
		{{
			Call: head,
		}, {
			Body: data,
		}, {
			End: wrong,
		}},
		{{
			Call: head,
		}, {
			End: endOf(id, call.Body),
		}},
		{{
			Body: data,
		}, {
			End: endOf(id, call.Body),
		}},
		{{
			Message: &message{
				Kind: "probe",
			},
		}},
	}
	for i, packets := range rows {
		c := dialRaw(t, target, purposeCalls)
		c.append(t, packets...)
		c.flush(t)
		_ = c.raw.(*net.TCPConn).CloseWrite()
		if _, err := io.Copy(io.Discard, c.raw); err != nil && !isReset(err) {
			t.Fatalf("row %d: %v", i, err)
		}
	}
	// The rest of this call never comes.
	stalled := dialRaw(t, target, purposeCalls)
	stalled.append(t, &packet{
		Call: head,
	}, &packet{
		Body: data,
	})
	stalled.flush(t)
	if _, err := stalled.read(); err == nil || isTimeout(err) {
		t.Fatalf("the connection stays open: %v", err)
	}
	if started.Load() != 0 {
		t.Fatalf("%d incomplete calls were started", started.Load())
	}
}

func isReset(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && !failed.Timeout()
}

func isTimeout(err error) bool {
	var failed net.Error
	return errors.As(err, &failed) && failed.Timeout()
}

// Guards against a second call on a connection whose first is still running, which
// would have to wait behind it.
func TestPipelinedCallClosesTheConnection(t *testing.T) {
	ended := make(chan struct{})
	_, target := startServer(t, func(ctx context.Context, call *lagoonbarrow.Call) *lagoonbarrow.Answer {
		<-ctx.Done()
		ended <- struct{}{}
		return echo(ctx, call)
	}, nil)
	c := dialRaw(t, target, purposeCalls)
	for range 2 {
		call := newCall(nil)
		c.append(t, &packet{
			Call: &callHead{
				Call: *call,
			},
		}, &packet{
			End: endOf(string(call.ID), nil),
		})
	}
	c.flush(t)
	<-ended
}

// Guards against a call that hangs on a peer that accepts connections and never
// reads, and against its outcome: nothing was sent before the handshake.
func TestFrozenPeerDuringHandshake(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	target := listenWith(t, func(net.Conn) { <-release })
	client := newClient(t, func(config *ClientConfig) { config.HandshakeTimeout = 50 * time.Millisecond })
	_, err := client.Call(context.Background(), target, newCall(nil))
	if !errors.Is(err, lagoonbarrow.ErrNotSent) || errors.Is(err, lagoonbarrow.ErrAnswerLost) {
		t.Fatal(err)
	}
}

// Guards against a call that hangs on a peer that froze after the handshake. A small
// call was accepted by the kernel and may be run later; one that
// doesn't fit into the socket buffers can't be.
func TestFrozenPeerDuringCall(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	target := scriptedCallee(t, func(*connection) { <-release })
	client := newClient(t, func(config *ClientConfig) { config.MaxBodyBytes = 64 << 20 })
	_, err := client.Call(within(t, 50*time.Millisecond), target, newCall(nil))
	if !errors.Is(err, lagoonbarrow.ErrAnswerLost) || !errors.Is(err, context.DeadlineExceeded) {
		t.Fatal(err)
	}
	_, err = client.Call(within(t, 50*time.Millisecond), target, newCall(make([]byte, 64<<20)))
	if !errors.Is(err, lagoonbarrow.ErrNotSent) || !errors.Is(err, context.DeadlineExceeded) {
		t.Fatal(err)
	}
}

// Guards against a caller that doesn't read and holds an answer in memory for ever.
func TestSlowReaderIsCutOff(t *testing.T) {
	server, target := startServer(t, func(ctx context.Context, call *lagoonbarrow.Call) *lagoonbarrow.Answer {
		result := echo(ctx, call)
		result.Body = make([]byte, 64<<20)
		return result
	}, func(config *ServerConfig) { config.TransferTimeout = 100 * time.Millisecond })
	c := dialRaw(t, target, purposeCalls)
	call := newCall(nil)
	c.append(t, &packet{
		Call: &callHead{
			Call: *call,
		},
	}, &packet{
		End: endOf(string(call.ID), nil),
	})
	c.flush(t)
	eventually(t, "the answer is being sent", func() bool { return server.buffered.Load() > 0 })
	eventually(t, "the answer is dropped", func() bool { return server.buffered.Load() == 0 })
	_, refused := startServer(t, echo, func(config *ServerConfig) { config.MaxBufferedBytes = 1000 })
	for range 2 {
		answer, err := newClient(t, nil).Call(context.Background(), refused, newCall(make([]byte, 200<<10)))
		if err != nil || answer.Outcome != lagoonbarrow.OutcomeNotRun || answer.TokensLeft != 3 {
			t.Fatalf("unexpected result %+v %v", answer, err)
		}
	}
}

// Guards against calls that are sent although they are too large or late, or
// nobody or another instance listens.
func TestCallsThatAreNotSent(t *testing.T) {
	_, target := startServer(t, echo, nil)
	client := newClient(t, nil)
	replaced, gone := target, target
	replaced.ID = "replaced"
	gone.Peer = "127.0.0.1:1"
	long := newCall(nil)
	long.Path = string(make([]byte, 300<<10))
	rows := []struct {
		timeout time.Duration
		target  lagoonbarrow.Instance
		call    *lagoonbarrow.Call
		cause   error
	}{
		{
			timeout: time.Minute,
			target:  target,
			call:    newCall(make([]byte, 5<<20)),
			cause:   lagoonbarrow.ErrTooLarge,
		},
		{
			timeout: time.Minute,
			target:  target,
			call:    long,
			cause:   lagoonbarrow.ErrTooLarge,
		},
		{
			timeout: -time.Second,
			target:  target,
			call:    newCall(nil),
			cause:   context.DeadlineExceeded,
		},
		{
			timeout: time.Minute,
			target:  replaced,
			call:    newCall(nil),
			cause:   lagoonbarrow.ErrNoInstance,
		},
		{
			timeout: time.Minute,
			target:  gone,
			call:    newCall(nil),
			cause:   lagoonbarrow.ErrNotSent,
		},
	}
	for i, row := range rows {
		_, err := client.Call(within(t, row.timeout), row.target, row.call)
		if !errors.Is(err, lagoonbarrow.ErrNotSent) || errors.Is(err, lagoonbarrow.ErrAnswerLost) || !errors.Is(err, row.cause) {
			t.Fatalf("row %d: %v", i, err)
		}
	}
}

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

// Guards against a callee that continues a call after its caller cancelled it.
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

// Guards against starting a call that was not received whole, because its caller
// disconnected or stopped sending, or sent wrong packets.
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
	bodyFrame := &chunk{
		ID:   id,
		Data: call.Body,
	}
	wrongEnd := newEnd(id, call.Body)
	wrongEnd.Checksum++
	cases := [][]*packet{
		{{
			Call: head,
		}},
		{{
			Call: head,
		}, {
			Body: bodyFrame,
		}},
		{{
			Call: head,
		}, {
			Body: bodyFrame,
		}, {
			End: wrongEnd,
		}},
		{{
			Call: head,
		}, {
			End: newEnd(id, call.Body),
		}},
		{{
			Body: bodyFrame,
		}, {
			End: newEnd(id, call.Body),
		}},
		{{
			Message: &message{
				Kind: "probe",
			},
		}},
	}
	for i, packets := range cases {
		c := dialAuthenticated(t, target, purposeCalls)
		c.appendPackets(t, packets...)
		c.flush(t)
		_ = c.netConn.(*net.TCPConn).CloseWrite()
		if _, err := io.Copy(io.Discard, c.netConn); err != nil && !isReset(err) {
			t.Fatalf("case %d: %v", i, err)
		}
	}
	// The end of this call is never sent.
	stalled := dialAuthenticated(t, target, purposeCalls)
	stalled.appendPackets(t, &packet{
		Call: head,
	}, &packet{
		Body: bodyFrame,
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
	var opErr *net.OpError
	return errors.As(err, &opErr) && !opErr.Timeout()
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// Guards against a second call on a connection while the first call is running. The
// second call would have to wait for the first.
func TestPipelinedCallClosesTheConnection(t *testing.T) {
	ended := make(chan struct{})
	_, target := startServer(t, func(ctx context.Context, call *lagoonbarrow.Call) *lagoonbarrow.Answer {
		<-ctx.Done()
		ended <- struct{}{}
		return echo(ctx, call)
	}, nil)
	c := dialAuthenticated(t, target, purposeCalls)
	for range 2 {
		call := newCall(nil)
		c.appendPackets(t, &packet{
			Call: &callHead{
				Call: *call,
			},
		}, &packet{
			End: newEnd(string(call.ID), nil),
		})
	}
	c.flush(t)
	<-ended
}

// Guards against a call that hangs on a peer that accepts connections but never reads.
// It must fail with ErrNotSent, since no call is sent before the handshake.
func TestFrozenPeerDuringHandshake(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	target := startListener(t, func(net.Conn) { <-release })
	client := newClient(t, func(config *ClientConfig) { config.HandshakeTimeout = 50 * time.Millisecond })
	_, err := client.Call(context.Background(), target, newCall(nil))
	if !errors.Is(err, lagoonbarrow.ErrNotSent) || errors.Is(err, lagoonbarrow.ErrAnswerLost) {
		t.Fatal(err)
	}
}

// Guards against a call that hangs on a peer that froze after the handshake. A small
// call was accepted by the kernel and may run later. A call that doesn't fit into the
// socket buffers can't run.
func TestFrozenPeerDuringCall(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	target := scriptedCallee(t, func(*connection) { <-release })
	client := newClient(t, func(config *ClientConfig) { config.MaxBodyBytes = 64 << 20 })
	_, err := client.Call(contextWithTimeout(t, 50*time.Millisecond), target, newCall(nil))
	if !errors.Is(err, lagoonbarrow.ErrAnswerLost) || !errors.Is(err, context.DeadlineExceeded) {
		t.Fatal(err)
	}
	_, err = client.Call(contextWithTimeout(t, 50*time.Millisecond), target, newCall(make([]byte, 64<<20)))
	if !errors.Is(err, lagoonbarrow.ErrNotSent) || !errors.Is(err, context.DeadlineExceeded) {
		t.Fatal(err)
	}
}

// Guards against a caller that doesn't read and so keeps an answer in memory forever,
// and against a call over the buffer limit that is run.
func TestSlowReaderIsCutOff(t *testing.T) {
	server, target := startServer(t, func(ctx context.Context, call *lagoonbarrow.Call) *lagoonbarrow.Answer {
		result := echo(ctx, call)
		result.Body = make([]byte, 64<<20)
		return result
	}, func(config *ServerConfig) { config.TransferTimeout = 100 * time.Millisecond })
	c := dialAuthenticated(t, target, purposeCalls)
	call := newCall(nil)
	c.appendPackets(t, &packet{
		Call: &callHead{
			Call: *call,
		},
	}, &packet{
		End: newEnd(string(call.ID), nil),
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

// Guards against sending calls that are too large or past their deadline, or whose
// address has no listener or another instance.
func TestCallsThatAreNotSent(t *testing.T) {
	_, target := startServer(t, echo, nil)
	client := newClient(t, nil)
	replaced, unreachable := target, target
	replaced.ID = "replaced"
	unreachable.Peer = "127.0.0.1:1"
	longPath := newCall(nil)
	longPath.Path = string(make([]byte, 300<<10))
	cases := []struct {
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
			call:    longPath,
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
			target:  unreachable,
			call:    newCall(nil),
			cause:   lagoonbarrow.ErrNotSent,
		},
	}
	for i, tc := range cases {
		_, err := client.Call(contextWithTimeout(t, tc.timeout), tc.target, tc.call)
		if !errors.Is(err, lagoonbarrow.ErrNotSent) || errors.Is(err, lagoonbarrow.ErrAnswerLost) || !errors.Is(err, tc.cause) {
			t.Fatalf("case %d: %v", i, err)
		}
	}
}

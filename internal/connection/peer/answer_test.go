package peer

import (
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// answerPackets returns the packets of a correct answer with a body frame.
func answerPackets(call *lagoonbarrow.Call, body []byte) []*packet {
	id := string(call.ID)
	head := &answer{
		BodyBytes: len(body),
	}
	head.Call = call.ID
	head.Outcome = lagoonbarrow.OutcomeDone
	head.Status = 200
	bodyFrame := &chunk{
		ID:   id,
		Data: body,
	}
	return []*packet{{
		Answer: head,
	}, {
		Body: bodyFrame,
	}, {
		End: newEnd(id, body),
	}}
}

// withField adds a header field with the name to an answer.
func withField(packets []*packet, name string) []*packet {
	packets[0].Answer.Header = append(packets[0].Answer.Header, lagoonbarrow.HeaderField{
		Name:  name,
		Value: "y",
	})
	return packets
}

// Guards against delivering anything but the whole answer to the call. Each change to
// a correct answer must cause ErrAnswerLost and an event.
func TestWrongAnswersAreLost(t *testing.T) {
	other := newCall(nil)
	cases := []struct {
		name   string
		change func(packets []*packet) []*packet
	}{
		{
			name:   "other call's answer",
			change: func([]*packet) []*packet { return answerPackets(other, []byte("other")) },
		},
		{
			name:   "other call's head",
			change: func(p []*packet) []*packet { p[0].Answer.Call = other.ID; return p },
		},
		{
			name:   "other call's body",
			change: func(p []*packet) []*packet { p[1].Body.ID = string(other.ID); return p },
		},
		{
			name:   "other call's end",
			change: func(p []*packet) []*packet { p[2].End.ID = string(other.ID); return p },
		},
		{
			name:   "head of one, rest of another",
			change: func(p []*packet) []*packet { return append(p[:1], answerPackets(other, []byte("12345"))[1:]...) },
		},
		{
			name:   "no status",
			change: func(p []*packet) []*packet { p[0].Answer.Status = 0; return p },
		},
		{
			name:   "interim status",
			change: func(p []*packet) []*packet { p[0].Answer.Status = 199; return p },
		},
		{
			name:   "status too high",
			change: func(p []*packet) []*packet { p[0].Answer.Status = 600; return p },
		},
		{
			name:   "negative status",
			change: func(p []*packet) []*packet { p[0].Answer.Status = -200; return p },
		},
		{
			name: "refusal with an invalid status",
			change: func(p []*packet) []*packet {
				p[0].Answer.Status = 999
				p[0].Answer.Outcome = lagoonbarrow.OutcomeNotRun
				return p
			},
		},
		{
			name:   "field name with a blank",
			change: func(p []*packet) []*packet { return withField(p, "X Name") },
		},
		{
			name:   "field name with a blank at its end",
			change: func(p []*packet) []*packet { return withField(p, "Content-Length ") },
		},
		{
			name:   "field name with a control byte",
			change: func(p []*packet) []*packet { return withField(p, "\nX-Name") },
		},
		{
			name:   "empty field name",
			change: func(p []*packet) []*packet { return withField(p, "") },
		},
		{
			name:   "changed body",
			change: func(p []*packet) []*packet { p[1].Body.Data = []byte("54321"); return p },
		},
		{
			name:   "short body",
			change: func(p []*packet) []*packet { p[1].Body.Data = []byte("1234"); return p },
		},
		{
			name:   "long body",
			change: func(p []*packet) []*packet { p[1].Body.Data = []byte("123456"); return p },
		},
		{
			name:   "empty body frame",
			change: func(p []*packet) []*packet { p[1].Body.Data = nil; return p },
		},
		{
			name:   "wrong total",
			change: func(p []*packet) []*packet { p[2].End.Total++; return p },
		},
		{
			name:   "wrong checksum",
			change: func(p []*packet) []*packet { p[2].End.Checksum++; return p },
		},
		{
			name:   "missing body",
			change: func(p []*packet) []*packet { return []*packet{p[0], p[2]} },
		},
		{
			name:   "missing end",
			change: func(p []*packet) []*packet { return []*packet{p[0], p[1], p[0]} },
		},
		{
			name:   "end first",
			change: func(p []*packet) []*packet { return []*packet{p[2], p[0], p[1]} },
		},
		{
			name:   "body before head",
			change: func(p []*packet) []*packet { return []*packet{p[1], p[0], p[2]} },
		},
		{
			name:   "repeated body",
			change: func(p []*packet) []*packet { return []*packet{p[0], p[1], p[1], p[2]} },
		},
		{
			name:   "negative length",
			change: func(p []*packet) []*packet { p[0].Answer.BodyBytes = -1; return p },
		},
		{
			name:   "huge length",
			change: func(p []*packet) []*packet { p[0].Answer.BodyBytes = 1 << 40; return p },
		},
		{
			name:   "partly inline",
			change: func(p []*packet) []*packet { p[0].Answer.Body = []byte("1"); return p },
		},
		{
			name:   "empty packet",
			change: func([]*packet) []*packet { return []*packet{{}} },
		},
		{
			name:   "two kinds in one",
			change: func(p []*packet) []*packet { p[0].End = p[2].End; return p },
		},
		{
			name: "reply instead",
			change: func([]*packet) []*packet {
				return []*packet{{
					Reply: &reply{},
				}}
			},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			target := scriptedCallee(t, func(c *connection) {
				call, err := receiveCall(c)
				if err != nil {
					return
				}
				c.appendPackets(t, tc.change(answerPackets(call, []byte("12345")))...)
				c.flush(t)
				_ = c.reader.Wait()
			})
			events := &recorder{}
			client := newClient(t, func(config *ClientConfig) { config.Recorder = events })
			answer, err := client.Call(context.Background(), target, newCall(nil))
			if answer != nil || !errors.Is(err, lagoonbarrow.ErrAnswerLost) || errors.Is(err, lagoonbarrow.ErrNotSent) {
				t.Fatalf("unexpected result %+v %v", answer, err)
			}
			if events.count(event.PeerConnectionClosed) != 1 {
				t.Fatal("no event was recorded")
			}
		})
	}
}

// Guards against delivering an answer that is truncated, damaged or oversized on the
// wire.
func TestDamagedAnswersAreLost(t *testing.T) {
	changes := []func(raw []byte) []byte{
		func(raw []byte) []byte { return raw[:len(raw)-1] },
		func([]byte) []byte { return nil },
		func(raw []byte) []byte { raw[len(raw)/2] ^= 1; return raw },
		func([]byte) []byte { return []byte{0x7f, 0, 0, 0, 0, 0, 0, 0} },
	}
	for i, change := range changes {
		target := scriptedCallee(t, func(c *connection) {
			call, err := receiveCall(c)
			if err != nil {
				return
			}
			memory := &memoryConn{}
			encoder := newConnection(memory, 0)
			encoder.appendPackets(t, answerPackets(call, []byte("12345"))...)
			encoder.flush(t)
			_, _ = c.netConn.Write(change(memory.output.Bytes()))
		})
		answer, err := newClient(t, nil).Call(context.Background(), target, newCall(nil))
		if answer != nil || !errors.Is(err, lagoonbarrow.ErrAnswerLost) {
			t.Fatalf("change %d: unexpected result %+v %v", i, answer, err)
		}
	}
}

// memoryConn is a net.Conn that reads from and writes to memory.
type memoryConn struct {
	net.Conn
	input  bytes.Reader
	output bytes.Buffer
}

func (c *memoryConn) Read(data []byte) (int, error)    { return c.input.Read(data) }
func (c *memoryConn) Write(data []byte) (int, error)   { return c.output.Write(data) }
func (c *memoryConn) Close() error                     { return nil }
func (c *memoryConn) SetReadDeadline(time.Time) error  { return nil }
func (c *memoryConn) SetWriteDeadline(time.Time) error { return nil }

// Guards against a late frame that is read as part of the next call's answer, and
// against reusing a connection that has received one.
func TestLateFramesCloseTheConnection(t *testing.T) {
	var connections atomic.Int64
	target := scriptedCallee(t, func(c *connection) {
		connections.Add(1)
		for {
			call, err := receiveCall(c)
			if err != nil {
				return
			}
			c.appendPackets(t, answerPackets(call, []byte("12345"))...)
			c.flush(t)
			time.Sleep(time.Millisecond)
			c.appendPackets(t, answerPackets(call, []byte("12345"))...)
			_ = c.writer.Flush()
		}
	})
	client := newClient(t, nil)
	for range 50 {
		call := newCall(nil)
		answer, err := client.Call(context.Background(), target, call)
		if err == nil && answer.Call != call.ID {
			t.Fatal("another call's answer was delivered")
		}
		if err != nil && !errors.Is(err, lagoonbarrow.ErrAnswerLost) {
			t.Fatal(err)
		}
	}
	if connections.Load() < 2 {
		t.Fatal("the connection was reused despite late frames")
	}
}

// Guards against reusing an idle connection that the callee has closed. The outcome of
// a call on it would be unknown, although the callee never received the call.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	target := scriptedCallee(t, func(c *connection) {
		call, err := receiveCall(c)
		if err != nil {
			return
		}
		c.appendPackets(t, answerPackets(call, []byte("12345"))...)
		_ = c.writer.Flush()
	})
	client := newClient(t, func(config *ClientConfig) { config.SweepInterval = time.Hour })
	for range 20 {
		if _, err := client.Call(context.Background(), target, newCall(nil)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against answers that reach the wrong caller while many calls share few
// connections and some exceed their deadline, and against a deadline that fails other
// calls.
func TestConcurrentCallersGetTheirOwnAnswers(t *testing.T) {
	_, target := startServer(t, func(ctx context.Context, call *lagoonbarrow.Call) *lagoonbarrow.Answer {
		if call.Path == "/slow" {
			time.Sleep(2 * time.Millisecond)
		}
		return echo(ctx, call)
	}, nil)
	client := newClient(t, func(config *ClientConfig) { config.ConnectionsPerPeer = 8 })
	var callers sync.WaitGroup
	for i := range 32 {
		callers.Go(func() {
			for n := range 50 {
				body := bytes.Repeat([]byte{byte(i), byte(n)}, 1+n*400)
				call := newCall(body)
				timeout := 10 * time.Second
				if n%5 == 0 {
					call.Path = "/slow"
					timeout = time.Duration(n) * 50 * time.Microsecond
				}
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				answer, err := client.Call(ctx, target, call)
				cancel()
				if err == nil && (answer.Call != call.ID || !bytes.Equal(answer.Body, body)) {
					t.Error("another call's answer was delivered")
				}
				if err != nil && n%5 != 0 {
					t.Errorf("call %d of caller %d: %v", n, i, err)
				}
			}
		})
	}
	callers.Wait()
}

// Guards against delivering a handler's answer to another call, and against an answer
// that is too large to encode and loses the caller's tokens or the connection.
func TestUndeliverableAnswersAreUnknown(t *testing.T) {
	_, target := startServer(t, func(ctx context.Context, call *lagoonbarrow.Call) *lagoonbarrow.Answer {
		if call.Path == "/mix-up" {
			return echo(ctx, newCall([]byte("other")))
		}
		result := echo(ctx, call)
		result.Header[0].Value = string(make([]byte, 300<<10))
		result.TokensLeft = 2
		return result
	}, nil)
	client := newClient(t, nil)
	for _, path := range []string{"/mix-up", "/large", "/large"} {
		call := newCall(nil)
		call.Path = path
		answer, err := client.Call(context.Background(), target, call)
		if err != nil || answer.Outcome != lagoonbarrow.OutcomeUnknown || len(answer.Body) != 0 || (answer.TokensLeft == 2) != (path == "/large") {
			t.Fatalf("%s: unexpected result %+v %v", path, answer, err)
		}
	}
}

package peer

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// Guards against goroutines that outlive their connection, server or client.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

var noScope = tally.NoopScope

var testKey = []byte("0123456789abcdef0123456789abcdef")

// callFunc is a function that implements lagoonbarrow.CallHandler.
type callFunc func(ctx context.Context, call *lagoonbarrow.Call) *lagoonbarrow.Answer

func (f callFunc) HandleCall(ctx context.Context, call *lagoonbarrow.Call) *lagoonbarrow.Answer {
	return f(ctx, call)
}

// messageFunc is a function that implements lagoonbarrow.MessageHandler.
type messageFunc func(ctx context.Context, from lagoonbarrow.InstanceID, message lagoonbarrow.Message) (lagoonbarrow.Message, error)

func (f messageFunc) HandleMessage(ctx context.Context, from lagoonbarrow.InstanceID, message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	return f(ctx, from, message)
}

// recorder stores the kinds of the recorded events.
type recorder struct {
	mutex sync.Mutex
	kinds []event.Kind
}

func (r *recorder) Record(kind event.Kind, _ event.Fields) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.kinds = append(r.kinds, kind)
}

func (r *recorder) count(kind event.Kind) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	n := 0
	for _, other := range r.kinds {
		if other.Number == kind.Number {
			n++
		}
	}
	return n
}

// echo answers a call with its own path and body.
func echo(_ context.Context, call *lagoonbarrow.Call) *lagoonbarrow.Answer {
	return &lagoonbarrow.Answer{
		Call:    call.ID,
		Outcome: lagoonbarrow.OutcomeDone,
		Status:  200,
		Header: []lagoonbarrow.HeaderField{
			{
				Name:  "Path",
				Value: call.Path,
			},
		},
		Body: call.Body,
	}
}

// echoMessage answers a control message with itself.
func echoMessage(_ context.Context, _ lagoonbarrow.InstanceID, message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	return message, nil
}

// echoProbes configures a server to echo messages of the kind "probe".
func echoProbes(config *ServerConfig) {
	config.Messages = map[string]lagoonbarrow.MessageHandler{
		"probe": messageFunc(echoMessage),
	}
}

// startServer starts a server that is stopped at the end of the test.
func startServer(t testing.TB, calls callFunc, change func(*ServerConfig)) (*Server, lagoonbarrow.Instance) {
	t.Helper()
	config := ServerConfig{
		Address: "127.0.0.1:0",
		PeerKey: testKey,
		Self:    "callee",
		Calls:   calls,
	}
	if change != nil {
		change(&config)
	}
	server, err := NewServer(config)
	if err != nil {
		t.Fatal(err)
	}
	address, err := server.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = server.Stop(ctx)
	})
	target := lagoonbarrow.Instance{
		ID:   config.Self,
		Peer: address,
	}
	return server, target
}

// newClient returns a client that is closed at the end of the test.
func newClient(t testing.TB, change func(*ClientConfig)) *Client {
	t.Helper()
	config := ClientConfig{
		PeerKey:       testKey,
		Self:          "caller",
		SweepInterval: 10 * time.Millisecond,
	}
	if change != nil {
		change(&config)
	}
	client, err := NewClient(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

func newCall(body []byte) *lagoonbarrow.Call {
	return &lagoonbarrow.Call{
		ID:        lagoonbarrow.NewCallID(),
		Request:   lagoonbarrow.NewRequestID(),
		Priority:  130,
		Remaining: 10 * time.Second,
		Tokens:    3,
		Service:   "minutes",
		Method:    "POST",
		Path:      "/minutes/7",
		Body:      body,
	}
}

// Guards against truncated, padded or swapped bodies at the size limits of inline
// bodies and body frames.
func TestCallReturnsItsOwnBodyWhole(t *testing.T) {
	_, target := startServer(t, echo, nil)
	client := newClient(t, nil)
	for _, size := range []int{0, 1, inlineBytes, inlineBytes + 1, chunkBytes, chunkBytes + 1, 3*chunkBytes + 5, 4 << 20} {
		body := bytes.Repeat([]byte{byte(size), 7}, size/2+1)[:size]
		call := newCall(body)
		answer, err := client.Call(context.Background(), target, call)
		if err != nil {
			t.Fatalf("size %d: %v", size, err)
		}
		if answer.Call != call.ID || !bytes.Equal(answer.Body, body) || answer.Header[0].Value != call.Path {
			t.Fatalf("size %d: the answer differs", size)
		}
	}
}

// Guards against a control message that loses its body or sender.
func TestSendReturnsTheReply(t *testing.T) {
	handler := messageFunc(func(_ context.Context, from lagoonbarrow.InstanceID, message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
		message.Body = append([]byte(from), message.Body...)
		return message, nil
	})
	_, target := startServer(t, echo, func(config *ServerConfig) {
		config.Messages = map[string]lagoonbarrow.MessageHandler{
			"probe": handler,
		}
	})
	client := newClient(t, nil)
	sent := lagoonbarrow.Message{
		Kind: "probe",
		Body: bytes.Repeat([]byte("x"), 1<<20),
	}
	reply, err := client.Send(context.Background(), target.Peer, sent)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(reply.Body, append([]byte("caller"), sent.Body...)) {
		t.Fatal("the reply differs")
	}
	sent.Kind = "other"
	if _, err := client.Send(context.Background(), target.Peer, sent); err == nil {
		t.Fatal("a message of unknown kind was answered")
	}
}

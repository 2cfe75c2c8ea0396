package caller_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"lagoonbarrow"
	"lagoonbarrow/internal/request/entry"
	"lagoonbarrow/pkg/caller"
	"lagoonbarrow/pkg/event"
)

// The fakes replace the components that the listeners use. Methods that the
// listeners don't call are left to the embedded nil interfaces.
type fakeContracts struct {
	lagoonbarrow.Contracts
}

func (fakeContracts) Ready() bool { return true }

func (fakeContracts) ByKey(apiKey string) (lagoonbarrow.ContractRecord, error) {
	if apiKey != "key" {
		return lagoonbarrow.ContractRecord{}, lagoonbarrow.ErrUnauthenticated
	}
	return lagoonbarrow.ContractRecord{
		Customer: "residents",
	}, nil
}

func (fakeContracts) Match(_ lagoonbarrow.ContractRecord, method, path string) (lagoonbarrow.Class, error) {
	if path == "/other" {
		return lagoonbarrow.Class{}, lagoonbarrow.ErrNotFound
	}
	return lagoonbarrow.Class{
		Name:       "class",
		Deadline:   lagoonbarrow.Duration(10 * time.Second),
		AtMostOnce: method == http.MethodPost,
	}, nil
}

type fakeTable struct {
	lagoonbarrow.Table
}

func (fakeTable) Available() bool { return true }

type fakeLedger struct {
	lagoonbarrow.Ledger
}

func (fakeLedger) Open(call *lagoonbarrow.Call, _ time.Time) lagoonbarrow.Account {
	return fakeAccount{
		call: call,
	}
}

func (fakeLedger) Lookup(id lagoonbarrow.CallID) (lagoonbarrow.Account, error) {
	if id != "c-1" {
		return nil, lagoonbarrow.ErrNotFound
	}
	return fakeAccount{
		call: &lagoonbarrow.Call{
			ID: id,
		},
	}, nil
}

type fakeAccount struct {
	lagoonbarrow.Account
	call *lagoonbarrow.Call
}

func (a fakeAccount) Call() *lagoonbarrow.Call { return a.call }

func (fakeAccount) Deadline() time.Time { return time.Now().Add(10 * time.Second) }

func (fakeAccount) Close() lagoonbarrow.Tokens { return 0 }

// testNode has real listeners, returns one answer to all calls and records the calls.
type testNode struct {
	answer lagoonbarrow.Answer
	calls  []*lagoonbarrow.Call
	entry  string
	local  string
}

func (n *testNode) Do(_ context.Context, _ lagoonbarrow.Account, call *lagoonbarrow.Call) *lagoonbarrow.Answer {
	n.calls = append(n.calls, call)
	answer := n.answer
	return &answer
}

func (n *testNode) Allow(lagoonbarrow.ContractRecord, lagoonbarrow.WorkUnits, lagoonbarrow.Importance) (bool, time.Duration) {
	return n.answer.Reason != lagoonbarrow.ReasonQuota, 1500 * time.Millisecond
}

func (*testNode) Record(event.Kind, event.Fields) {}

func startNode(t *testing.T) *testNode {
	t.Helper()
	node := &testNode{}
	limits := entry.Limits{
		MaxBodyBytes:   1024,
		MaxHeaderBytes: 4096,
		MaxConnections: 100,
	}
	customers := entry.NewCustomerListener(entry.CustomerConfig{
		Address:   "127.0.0.1:0",
		Limits:    limits,
		Contracts: fakeContracts{},
		Quota:     node,
		Table:     fakeTable{},
		Ledger:    fakeLedger{},
		Caller:    node,
		Recorder:  node,
		Scope:     tally.NoopScope,
	})
	local := entry.NewLocalListener(entry.LocalConfig{
		Address: "127.0.0.1:0",
		Limits:  limits,
		Ledger:  fakeLedger{},
		Caller:  node,
	})
	node.entry = startListener(t, customers)
	node.local = startListener(t, local)
	return node
}

// listener is implemented by both listeners of a node.
type listener interface {
	Start() (lagoonbarrow.Address, error)
	Stop(ctx context.Context) error
}

// startListener starts a listener and returns its address.
func startListener(t *testing.T, listener listener) string {
	t.Helper()
	address, err := listener.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Stop(context.Background()) })
	return string(address)
}

func (n *testNode) client(t *testing.T, apiKey string) *caller.Client {
	t.Helper()
	client, err := caller.New(caller.Config{
		Entries: []string{n.entry},
		APIKey:  apiKey,
		Resends: -1,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

// Guards against an entry listener and a client that interpret an outcome, a reason
// or a status differently.
func TestClientAndEntryAgree(t *testing.T) {
	node := startNode(t)
	client := node.client(t, "key")
	refusals := []struct {
		reason  lagoonbarrow.Reason
		outcome lagoonbarrow.Outcome
		status  int
		want    error
	}{
		{
			reason:  lagoonbarrow.ReasonShed,
			outcome: lagoonbarrow.OutcomeNotRun,
			status:  503,
			want:    caller.ErrNotRun,
		},
		{
			reason:  lagoonbarrow.ReasonShed,
			outcome: lagoonbarrow.OutcomeUnknown,
			status:  502,
			want:    caller.ErrUnknown,
		},
		{
			reason:  lagoonbarrow.ReasonLeaving,
			outcome: lagoonbarrow.OutcomeNotRun,
			status:  503,
			want:    caller.ErrNotRun,
		},
		{
			reason:  lagoonbarrow.ReasonNotReady,
			outcome: lagoonbarrow.OutcomeNotRun,
			status:  503,
			want:    caller.ErrNotRun,
		},
		{
			reason:  lagoonbarrow.ReasonExhausted,
			outcome: lagoonbarrow.OutcomeNotRun,
			status:  503,
			want:    caller.ErrNotRun,
		},
		{
			reason:  lagoonbarrow.ReasonExhausted,
			outcome: lagoonbarrow.OutcomeUnknown,
			status:  502,
			want:    caller.ErrUnknown,
		},
		{
			reason:  lagoonbarrow.ReasonDeadline,
			outcome: lagoonbarrow.OutcomeNotRun,
			status:  504,
			want:    caller.ErrNotRun,
		},
		{
			reason:  lagoonbarrow.ReasonDeadline,
			outcome: lagoonbarrow.OutcomeUnknown,
			status:  504,
			want:    caller.ErrUnknown,
		},
		{
			reason:  lagoonbarrow.ReasonCancelled,
			outcome: lagoonbarrow.OutcomeUnknown,
			status:  499,
			want:    caller.ErrUnknown,
		},
		{
			reason:  lagoonbarrow.ReasonBackend,
			outcome: lagoonbarrow.OutcomeNotRun,
			status:  503,
			want:    caller.ErrNotRun,
		},
		{
			reason:  lagoonbarrow.ReasonBackend,
			outcome: lagoonbarrow.OutcomeUnknown,
			status:  502,
			want:    caller.ErrUnknown,
		},
		{
			reason:  lagoonbarrow.ReasonUnreachable,
			outcome: lagoonbarrow.OutcomeNotRun,
			status:  503,
			want:    caller.ErrNotRun,
		},
		{
			reason:  lagoonbarrow.ReasonUnreachable,
			outcome: lagoonbarrow.OutcomeUnknown,
			status:  502,
			want:    caller.ErrUnknown,
		},
		{
			reason:  lagoonbarrow.ReasonDepth,
			outcome: lagoonbarrow.OutcomeNotRun,
			status:  508,
			want:    caller.ErrRejected,
		},
		{
			reason:  lagoonbarrow.ReasonClaimed,
			outcome: lagoonbarrow.OutcomeUnknown,
			status:  409,
			want:    caller.ErrUnknown,
		},
		{
			reason:  lagoonbarrow.ReasonVoided,
			outcome: lagoonbarrow.OutcomeNotRun,
			status:  503,
			want:    caller.ErrNotRun,
		},
		{
			reason:  lagoonbarrow.ReasonKeyMismatch,
			outcome: lagoonbarrow.OutcomeNotRun,
			status:  422,
			want:    caller.ErrRejected,
		},
		{
			reason:  lagoonbarrow.ReasonPlatform,
			outcome: lagoonbarrow.OutcomeNotRun,
			status:  503,
			want:    caller.ErrNotRun,
		},
		{
			reason:  lagoonbarrow.ReasonPlatform,
			outcome: lagoonbarrow.OutcomeUnknown,
			status:  502,
			want:    caller.ErrUnknown,
		},
		{
			reason:  lagoonbarrow.ReasonQuota,
			outcome: lagoonbarrow.OutcomeNotRun,
			status:  429,
			want:    caller.ErrOverContract,
		},
	}
	for _, test := range refusals {
		node.answer = lagoonbarrow.Answer{
			Outcome: test.outcome,
			Reason:  test.reason,
		}
		_, err := client.Do(context.Background(), caller.Request{
			Method: http.MethodGet,
			Path:   "/minutes",
		})
		var refused *caller.Refusal
		if !errors.As(err, &refused) || !errors.Is(err, test.want) {
			t.Errorf("%s %s: %v, want %v", test.reason, test.outcome, err, test.want)
			continue
		}
		if refused.Status != test.status || refused.Reason != test.reason || refused.Outcome != test.outcome || refused.Request == "" || refused.Text == "" {
			t.Errorf("%s %s: %+v", test.reason, test.outcome, refused)
		}
		wantRetryAfter := test.status == 503 || test.status == 429
		if (refused.RetryAfter > 0) != wantRetryAfter {
			t.Errorf("%s %s: Retry-After %s", test.reason, test.outcome, refused.RetryAfter)
		}
	}
}

// Guards against errors that report requests refused at entry as run or as worth
// re-sending.
func TestClientAndEntryAgreeOnRejections(t *testing.T) {
	node := startNode(t)
	requests := []struct {
		apiKey  string
		request caller.Request
		status  int
	}{
		{
			apiKey: "other",
			request: caller.Request{
				Method: http.MethodGet,
				Path:   "/minutes",
			},
			status: 401,
		},
		{
			apiKey: "key",
			request: caller.Request{
				Method: http.MethodGet,
				Path:   "/other",
			},
			status: 403,
		},
		{
			apiKey: "key",
			request: caller.Request{
				Method: http.MethodPost,
				Path:   "/resolutions",
			},
			status: 400,
		},
		{
			apiKey: "key",
			request: caller.Request{
				Method:         http.MethodPost,
				Path:           "/resolutions",
				IdempotencyKey: "a/b",
			},
			status: 400,
		},
		{
			apiKey: "key",
			request: caller.Request{
				Method:         http.MethodPost,
				Path:           "/resolutions",
				IdempotencyKey: "a",
				Body:           make([]byte, 1025),
			},
			status: 413,
		},
		{
			apiKey: "key",
			request: caller.Request{
				Method: http.MethodGet,
				Path:   "/minutes",
				Header: http.Header{"X": {strings.Repeat("x", 5000)}},
			},
			status: 431,
		},
	}
	for _, test := range requests {
		_, err := node.client(t, test.apiKey).Do(context.Background(), test.request)
		var refused *caller.Refusal
		if !errors.As(err, &refused) || refused.Status != test.status || !errors.Is(err, caller.ErrRejected) || !errors.Is(err, caller.ErrNotRun) {
			t.Errorf("want status %d: %v", test.status, err)
		}
	}
	if len(node.calls) != 0 {
		t.Errorf("%d calls were made", len(node.calls))
	}
}

// Guards against requests that are changed on the way to the entry listener, with
// and without a body.
func TestEntryReceivesTheRequest(t *testing.T) {
	node := startNode(t)
	node.answer = lagoonbarrow.Answer{
		Outcome: lagoonbarrow.OutcomeDone,
		Status:  201,
		Body:    []byte("filed"),
	}
	for _, body := range []string{"", "signed"} {
		response, err := node.client(t, "key").Do(context.Background(), caller.Request{
			Method:         http.MethodPost,
			Path:           "/resolutions?draft=0",
			Body:           []byte(body),
			IdempotencyKey: "resolution-1",
		})
		if err != nil || response.Status != 201 || string(response.Body) != "filed" || response.Request == "" {
			t.Fatalf("response %+v, error %v", response, err)
		}
		call := node.calls[len(node.calls)-1]
		if call.Path != "/resolutions?draft=0" || string(call.Body) != body || call.Key != "resolution-1" || call.Attempt == "" {
			t.Errorf("got call %+v", call)
		}
	}
}

// Guards against a local listener and a downstream client that use the path, the
// id of the running call or the key of intended repeats differently.
func TestDownstreamAndLocalListenerAgree(t *testing.T) {
	node := startNode(t)
	node.answer = lagoonbarrow.Answer{
		Outcome: lagoonbarrow.OutcomeDone,
		Status:  200,
	}
	downstream, err := caller.NewDownstream(caller.DownstreamConfig{
		Node: node.local,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer downstream.Close()
	served := httptest.NewRequest(http.MethodGet, "/minutes", nil)
	served.Header.Set(lagoonbarrow.HeaderCall, "c-1")
	call := caller.Call{
		Service: "members",
		Method:  http.MethodGet,
		Path:    "/member/17?full=1",
		Key:     "second",
	}
	if _, err := downstream.Do(served, call); err != nil {
		t.Fatal(err)
	}
	got := node.calls[0]
	if got.Service != "members" || got.Path != "/member/17?full=1" || !hasHeader(got, lagoonbarrow.HeaderCallKey, "second") {
		t.Errorf("got call %+v", got)
	}
	served.Header.Set(lagoonbarrow.HeaderCall, "ended")
	_, err = downstream.Do(served, call)
	var refused *caller.Refusal
	if !errors.Is(err, caller.ErrRejected) || !errors.As(err, &refused) || refused.Reason != lagoonbarrow.ReasonUnknownCall {
		t.Errorf("ended call: %v", err)
	}
}

func hasHeader(call *lagoonbarrow.Call, name, value string) bool {
	for _, field := range call.Header {
		if field.Name == name && field.Value == value {
			return true
		}
	}
	return false
}

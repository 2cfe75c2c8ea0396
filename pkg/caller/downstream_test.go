package caller

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

func newDownstream(t *testing.T, node string) *Downstream {
	t.Helper()
	downstream, err := NewDownstream(DownstreamConfig{
		Node: node,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(downstream.Close)
	return downstream
}

// newServedRequest returns a request as a node sends it to the backend server.
func newServedRequest(ctx context.Context, call string) *http.Request {
	request := httptest.NewRequest(http.MethodGet, "/minutes", nil).WithContext(ctx)
	if call != "" {
		request.Header.Set("Lagoonbarrow-Call", call)
	}
	request.Header.Set("Lagoonbarrow-Deadline-Ms", "1500")
	return request
}

// Guards against downstream calls that the node can't assign to the running call.
func TestDownstreamPassesOnTheCall(t *testing.T) {
	node := newFakeNode(t, doneAnswer)
	response, err := newDownstream(t, node.address()).Do(newServedRequest(context.Background(), "c-1"), Call{
		Service: "members",
		Method:  http.MethodPut,
		Path:    "/member/1?full=1",
		Body:    []byte("name"),
		Key:     "second",
	})
	if err != nil || response.Status != 200 {
		t.Fatalf("response %+v, error %v", response, err)
	}
	sent := node.requests[0]
	if sent.RequestURI != "/members/member/1?full=1" || node.bodies[0] != "name" ||
		sent.Header.Get("Lagoonbarrow-Call") != "c-1" || sent.Header.Get("Lagoonbarrow-Call-Key") != "second" {
		t.Errorf("sent %s %v", sent.RequestURI, sent.Header)
	}
}

// Guards against retries that multiply with the depth of the chain. The node
// retries, so the backend server's client must not.
func TestDownstreamSendsOnce(t *testing.T) {
	for _, current := range []fakeAnswer{shedAnswer, noAnswer} {
		node := newFakeNode(t, current)
		_, err := newDownstream(t, node.address()).Do(newServedRequest(context.Background(), "c-1"), Call{
			Service: "members",
			Method:  http.MethodGet,
			Path:    "/",
		})
		if err == nil || node.requestCount() != 1 {
			t.Errorf("%d sends, error %v", node.requestCount(), err)
		}
	}
}

// Guards against downstream calls that continue after the served request was
// cancelled.
func TestDownstreamEndsWithTheServedRequest(t *testing.T) {
	arrived := make(chan struct{})
	ended := make(chan struct{})
	node := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		close(ended)
	}))
	defer node.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := newDownstream(t, node.Listener.Addr().String()).Do(newServedRequest(ctx, "c-1"), Call{
		Service: "members",
		Method:  http.MethodGet,
		Path:    "/",
	})
	if !errors.Is(err, context.Canceled) || !errors.Is(err, ErrUnknown) {
		t.Errorf("error %v", err)
	}
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Error("the call was not cancelled at the node")
	}
}

// Guards against sending calls that nodes refuse, because they have no call id or a
// malformed path.
func TestDownstreamNeedsACallAndAPath(t *testing.T) {
	node := newFakeNode(t, doneAnswer)
	downstream := newDownstream(t, node.address())
	cases := []struct {
		call string
		path string
	}{
		{
			path: "/member",
		},
		{
			call: "c-1",
			path: "member",
		},
	}
	for _, test := range cases {
		_, err := downstream.Do(newServedRequest(context.Background(), test.call), Call{
			Service: "members",
			Method:  http.MethodGet,
			Path:    test.path,
		})
		if !errors.Is(err, ErrRejected) || !errors.Is(err, ErrNotRun) || node.requestCount() != 0 {
			t.Errorf("call %q, path %q: error %v", test.call, test.path, err)
		}
	}
	if _, err := NewDownstream(DownstreamConfig{}); err == nil {
		t.Error("accepted a configuration without a node")
	}
}

// Guards against a refusal that the node would treat as an unknown outcome.
func TestNotRunCarriesTheOutcome(t *testing.T) {
	recorder := httptest.NewRecorder()
	NotRun(recorder, 1200*time.Millisecond)
	header := recorder.Header()
	if recorder.Code != 503 || header.Get("Lagoonbarrow-Outcome") != "not-run" || header.Get("Retry-After") != "2" {
		t.Errorf("status %d, header %v", recorder.Code, header)
	}
}

// Guards against returning a wrong time for a valid or malformed deadline header.
func TestRemaining(t *testing.T) {
	request := newServedRequest(context.Background(), "c-1")
	if remaining, known := Remaining(request); !known || remaining != 1500*time.Millisecond {
		t.Errorf("remaining %s, %v", remaining, known)
	}
	request.Header.Set("Lagoonbarrow-Deadline-Ms", "soon")
	if _, known := Remaining(request); known {
		t.Error("read a malformed header")
	}
}

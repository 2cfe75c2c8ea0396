package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lagoonbarrow"
)

// Guards against goroutine leaks, since other tests run many servers in one process.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// startServer starts a server, stops it at the end of the test and returns its base
// URL.
func startServer(t *testing.T, config Config) (*Server, string) {
	t.Helper()
	config.Address = "127.0.0.1:0"
	if config.ServiceTime == 0 {
		config.ServiceTime = time.Millisecond
	}
	server, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	address, err := server.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := server.Stop(ctx); err != nil {
			t.Error(err)
		}
	})
	return server, "http://" + string(address)
}

// get sends a GET request and returns the status, headers and body of the answer.
func get(ctx context.Context, t *testing.T, target string, header map[string]string) (int, http.Header, []byte, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, body, err
}

// eventually polls a condition for at least five seconds and fails the test if it
// stays false.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("condition not met: " + description)
}

// Guards against answers that don't identify their request, and against runs that
// aren't recorded.
func TestAnswerRepeatsTheRequest(t *testing.T) {
	server, base := startServer(t, Config{
		Service: "minutes",
	})
	header := map[string]string{
		lagoonbarrow.HeaderRequest:        "r1",
		lagoonbarrow.HeaderCall:           "c1",
		lagoonbarrow.HeaderIdempotencyKey: "k1",
	}
	status, _, raw, err := get(context.Background(), t, base+"/minutes/7?mark=42&size=1000", header)
	if err != nil || status != http.StatusOK {
		t.Fatal(status, err)
	}
	var body Body
	if err := json.Unmarshal(raw, &body); err != nil {
		t.Fatal(err)
	}
	if body.Path != "/minutes/7" || body.Request != "r1" || body.Query != "mark=42&size=1000" || len(body.Padding) != 1000 {
		t.Fatalf("unexpected body %+v", body)
	}
	runs := server.Runs()
	if len(runs) != 1 || runs[0].Key != "k1" || runs[0].Call != "c1" || !runs[0].Completed || runs[0].End.IsZero() {
		t.Fatalf("unexpected runs %+v", runs)
	}
}

// Guards against work that continues after the client has cancelled the request.
func TestCancelledRequestsStop(t *testing.T) {
	server, base := startServer(t, Config{
		ServiceTime: time.Hour,
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		eventually(t, "the request runs", func() bool { return server.Counts().Running == 1 })
		cancel()
	}()
	if _, _, _, err := get(ctx, t, base+"/x", nil); err == nil {
		t.Fatal("the request was answered")
	}
	eventually(t, "the slot is free", func() bool { return server.Counts().Running == 0 })
	if runs := server.Runs(); runs[0].Completed {
		t.Fatal("the cancelled run counts as completed")
	}
}

// Guards against work that continues after the deadline of the request.
func TestDeadlineEndsTheRun(t *testing.T) {
	_, base := startServer(t, Config{
		ServiceTime: time.Hour,
	})
	header := map[string]string{
		lagoonbarrow.HeaderDeadline: "20",
	}
	status, _, _, err := get(context.Background(), t, base+"/x", header)
	if err != nil || status != http.StatusGatewayTimeout {
		t.Fatal(status, err)
	}
}

// Guards against a full server that runs a refused request, or refuses it without
// the outcome not-run.
func TestFullServerSheds(t *testing.T) {
	server, base := startServer(t, Config{
		Slots:       1,
		QueueLength: -1,
		ServiceTime: time.Hour,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _, _, _ = get(ctx, t, base+"/first", nil)
	}()
	eventually(t, "the slot is taken", func() bool { return server.Counts().Running == 1 })
	status, header, _, err := get(context.Background(), t, base+"/second", nil)
	if err != nil || status != http.StatusServiceUnavailable || header.Get(lagoonbarrow.HeaderOutcome) != "not-run" {
		t.Fatal(status, header, err)
	}
	cancel()
	<-ended
	if len(server.Runs()) != 1 {
		t.Fatal("the refused request was run")
	}
}

// Guards against downstream calls without the call ID, and against a number of
// application retries that differs from the configured one.
func TestDownstreamCallsAndRetries(t *testing.T) {
	received := make(chan string, 10)
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received <- r.Method + " " + r.URL.String() + " " + r.Header.Get(lagoonbarrow.HeaderCall) + r.Header.Get(lagoonbarrow.HeaderCallKey)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer node.Close()
	server, base := startServer(t, Config{
		Downstream: []lagoonbarrow.ServiceName{"registry", "registry"},
		Retries:    1,
	})
	server.SetNode(lagoonbarrow.Address(strings.TrimPrefix(node.URL, "http://")))
	header := map[string]string{
		lagoonbarrow.HeaderCall: "c1",
	}
	status, _, _, err := get(context.Background(), t, base+"/x?size=9&mark=1", header)
	if err != nil || status != http.StatusBadGateway {
		t.Fatal(status, err)
	}
	close(received)
	var keys []string
	for call := range received {
		keys = append(keys, strings.TrimPrefix(call, "GET /registry/x?mark=1 "))
	}
	if strings.Join(keys, " ") != "c1 c1 c11 c11" {
		t.Fatalf("unexpected downstream calls %q", keys)
	}
}

// Guards against a /control request that changes omitted switches or has no effect.
func TestControlSwitches(t *testing.T) {
	server, base := startServer(t, Config{})
	post := func(body string) int {
		response, err := http.Post(base+"/control", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		return response.StatusCode
	}
	if post(`{"fail": 1}`) != http.StatusOK || post(`{"cut": 0.5}`) != http.StatusOK {
		t.Fatal("a switch was refused")
	}
	if post(`{"fail": "x"}`) != http.StatusBadRequest {
		t.Fatal("an invalid switch was accepted")
	}
	if switches := server.switches.Load(); switches.Fail != 1 || switches.Cut != 0.5 {
		t.Fatalf("unexpected switches %+v", switches)
	}
	post(`{"cut": 0}`)
	status, _, _, err := get(context.Background(), t, base+"/x", nil)
	if err != nil || status != http.StatusInternalServerError {
		t.Fatal(status, err)
	}
	post(`{"drain": true}`)
	status, _, _, err = get(context.Background(), t, base+"/health", nil)
	if err != nil || status != http.StatusServiceUnavailable {
		t.Fatal(status, err)
	}
}

package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"

	"go.uber.org/goleak"

	"lagoonbarrow"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(
		m,
		// The cleaner of fasthttp's worker pool sleeps up to 10 s before it exits, and
		// fasthttp's date updater runs until the process exits.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
	)
}

func startTestServer(t *testing.T, config Config) (*Server, string) {
	t.Helper()
	config.Address = "127.0.0.1:0"
	server := New(config)
	address, err := server.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := server.Stop(); err != nil {
			t.Error(err)
		}
	})
	return server, "http://" + string(address)
}

// post sends a JSON body and returns the status and the body of the response.
func post(t *testing.T, url string, body any) (int, []byte) {
	t.Helper()
	encoded, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	client := http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	response, err := client.Post(url, "application/json", bytes.NewReader(encoded))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	received, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, received
}

func write(key string, expected lagoonbarrow.RowVersion) lagoonbarrow.Write {
	return lagoonbarrow.Write{
		Table:    "t",
		Key:      key,
		Expected: expected,
		Value:    []byte("x"),
	}
}

// Guards against a server that never exits because it was stopped before it started
// to serve.
func TestStopRightAfterStart(t *testing.T) {
	for range 200 {
		server := New(Config{
			Address: "127.0.0.1:0",
		})
		if _, err := server.Start(); err != nil {
			t.Fatal(err)
		}
		if err := server.Stop(); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a stand-in that handles versions or batches differently from the
// platform, which would invalidate every test that uses it.
func TestBatchRules(t *testing.T) {
	_, base := startTestServer(t, Config{})
	remove := write("a", 2)
	remove.Delete = true
	cases := []struct {
		request batchRequest
		status  int
		want    string
	}{
		{
			request: batchRequest{
				Writes: []lagoonbarrow.Write{write("a", 0), write("a", 0), write("a", 1), write("b", 3)},
			},
			status: 200,
			want:   "[{written 1} {conflict 1} {written 2} {conflict 0}]",
		},
		{
			request: batchRequest{
				Atomic: true,
				Writes: []lagoonbarrow.Write{write("a", 2), write("b", 3)},
			},
			status: 409,
			want:   "[{not-written 2} {conflict 0}]",
		},
		{
			request: batchRequest{
				Atomic: true,
				Writes: []lagoonbarrow.Write{remove, write("b", 0)},
			},
			status: 200,
			want:   "[{written 0} {written 1}]",
		},
		{
			request: batchRequest{
				Writes: []lagoonbarrow.Write{write("a", 2), write("a", 0)},
			},
			status: 200,
			want:   "[{conflict 0} {written 1}]",
		},
		{
			request: batchRequest{
				Atomic: true,
				Writes: []lagoonbarrow.Write{write("c", 0), write("c", 0)},
			},
			status: 400,
			want:   "[]",
		},
	}
	for i, c := range cases {
		status, body := post(t, base+"/v1/batch", c.request)
		var response batchResponse
		if err := json.Unmarshal(body, &response); err != nil {
			t.Fatal(err)
		}
		if got := fmt.Sprint(response.Results); status != c.status || got != c.want {
			t.Errorf("batch %d: status %d, results %s; want %d, %s", i, status, got, c.status, c.want)
		}
	}
}

// Guards against faults that can't be changed while the platform is down, and
// against limits that are not enforced.
func TestFaultsAndLimits(t *testing.T) {
	server, base := startTestServer(t, Config{
		WritesPerSecond: 1,
	})
	one := batchRequest{
		Writes: []lagoonbarrow.Write{write("a", 0)},
	}
	two := batchRequest{
		Writes: []lagoonbarrow.Write{write("a", 0), write("b", 0)},
	}
	type step struct {
		path   string
		body   any
		status int
	}
	faults := func(name, value string, status int) step {
		return step{
			path:   "/v1/faults",
			body:   map[string]any{name: value},
			status: status,
		}
	}
	batch := func(body batchRequest, status int) step {
		return step{
			path:   "/v1/batch",
			body:   body,
			status: status,
		}
	}
	steps := []step{
		faults("down", "refuse", 200),
		batch(one, 503),
		faults("down", "wrong", 400),
		faults("slow", "1ms", 200),
		batch(two, 429),
		batch(one, 200),
	}
	for i, step := range steps {
		if status, body := post(t, base+step.path, step.body); status != step.status {
			t.Errorf("step %d: status %d, want %d: %s", i, status, step.status, body)
		}
	}
	if stats := server.Stats(); stats.Writes != 1 || stats.Refused != 2 {
		t.Errorf("counters are %+v", stats)
	}
}

package platform

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"lagoonbarrow"
	standin "lagoonbarrow/internal/standin/platform"
	"lagoonbarrow/pkg/event"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(
		m,
		// fasthttp's cleaners sleep up to 10 s before they end, and its clock runs
		// as long as the process.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
	)
}

// recorder stores the names of recorded events.
type recorder struct {
	mutex sync.Mutex
	names []string
}

func (r *recorder) Record(kind event.Kind, _ event.Fields) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.names = append(r.names, kind.Name)
}

func (r *recorder) String() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return fmt.Sprint(r.names)
}

// startPair starts a stand-in for the platform and a client of it. Both are stopped at
// the end of the test.
func startPair(t testing.TB, config Config) (*Client, *standin.Server) {
	t.Helper()
	server := standin.New(standin.Config{
		Address: "127.0.0.1:0",
	})
	address, err := server.Start()
	if err != nil {
		t.Fatal(err)
	}
	config.Address = address
	client := New(config)
	if err := client.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := client.Stop(); err != nil {
			t.Error(err)
		}
		if err := server.Stop(); err != nil {
			t.Error(err)
		}
	})
	return client, server
}

func newWrite(key string, expected lagoonbarrow.RowVersion) lagoonbarrow.Write {
	return lagoonbarrow.Write{
		Table:    "claims",
		Key:      key,
		Expected: expected,
		Value:    []byte(key),
	}
}

func wantError(t testing.TB, what string, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Fatalf("%s: got error %v, want %v", what, got, want)
	}
}

// eventually waits at least 5 s for a condition before it fails the test.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 5000 {
		if condition() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("not reached: %s", what)
}

func put(client *Client, key string, expected lagoonbarrow.RowVersion) error {
	_, err := client.Put(context.Background(), newWrite(key, expected))
	return err
}

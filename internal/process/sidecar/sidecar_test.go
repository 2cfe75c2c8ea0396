package sidecar

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow/internal/process/directory"
	"lagoonbarrow/platform/standin"
)

// Guards against requests and answers that are lost, changed or added on the way
// through the nodes.
func TestRequestsReachTheServersOfTheirRoute(t *testing.T) {
	f := newFleet(t, 0, nil)
	for i, m := range f.members {
		id := fmt.Sprintf("read-%d", i)
		got := m.send("GET", "/read/x?y=%2F&z", id)
		want := string(standin.Echo("GET", "/read/x?y=%2F&z", id, []byte("content")))
		if got.status != 200 || got.body != want || got.header.Get("Response-Signature") == "" || f.runs(id) != 1 {
			t.Fatalf("result %+v, want the body %s, %d runs", got, want, f.runs(id))
		}
	}
	if got := f.members[0].send("GET", "/none/", "none"); got.status != 404 {
		t.Fatalf("without a route: %+v", got)
	}
	if got := f.members[0].send("POST", "/file/x", "file"); got.status != 200 || f.members[2].server.Runs("file") != 1 {
		t.Fatalf("result %+v", got)
	}
}

// Guards against a newer configuration that is not put in force, and against a return
// to an older one.
func TestConfigurationsComeInForceEverywhere(t *testing.T) {
	f := newFleet(t, 0, nil)
	f.configure("beta")
	for i, m := range f.members {
		f.waitFor("the new version is in force", func() bool { return m.sidecar.routes.Version() == 2 })
		id := fmt.Sprintf("read-%d", i)
		m.send("GET", "/read/x", id)
		if f.members[2].server.Runs(id) != 1 {
			t.Fatalf("request %s went to the old service", id)
		}
	}
	f.store.Put("op", "config", []byte("{"))
	f.store.Put("op", "config", []byte(`{"version":1}`))
	f.configure("alpha")
	for _, m := range f.members {
		f.waitFor("the version after an invalid one is in force", func() bool { return m.sidecar.routes.Version() == 3 })
	}
}

// Guards against a write that runs twice, or is refused although it has run, when
// backend servers send faulty answers.
func TestWritesRunOnceAndRefusedWritesDoNotRun(t *testing.T) {
	faults := []standin.ResponseFault{
		"", standin.FaultTruncated, standin.FaultExtra, standin.FaultReset, standin.FaultNotRun,
		standin.FaultFailed, standin.FaultUnframed, standin.FaultUnmarked503, standin.FaultStray,
		standin.FaultCutHead, standin.FaultRepeatedRefusal,
	}
	f := newFleet(t, time.Millisecond, func(id string) standin.ResponseFault {
		var number int
		_, _ = fmt.Sscanf(id, "file-%d", &number)
		return faults[number%len(faults)]
	})
	var wg sync.WaitGroup
	for i := range 90 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("file-%d", i)
			got := f.members[i%len(f.members)].send("POST", "/file/x", id)
			runs := f.runs(id)
			if runs > 1 {
				t.Errorf("%s ran %d times", id, runs)
			}
			if got.status == 503 && runs != 0 {
				t.Errorf("%s was refused although it has run", id)
			}
			if got.status == 503 && got.header.Get("Retry-After") == "" {
				t.Errorf("%s was refused without Retry-After", id)
			}
			if got.status == 200 && got.body != string(standin.Echo("POST", "/file/x", id, []byte("content"))) {
				t.Errorf("%s got %s", id, got.body)
			}
		}()
	}
	wg.Wait()
}

// Guards against any node that sends new requests to a leaving server after the
// server's heartbeat was acknowledged, while the store is down.
func TestLeavingServerGetsNothingNew(t *testing.T) {
	f := newFleet(t, 0, nil)
	f.store.SetFaults(standin.Faults{
		Failure: standin.FailSilent,
	})
	leaving := f.members[0].server
	leaving.SetState("draining")
	if err := leaving.SendHeartbeat(f.members[0].sidecar.settings.HeartbeatAddress); err != nil {
		t.Fatal(err)
	}
	before := leaving.Stats().Arrivals
	for i := range 30 {
		id := fmt.Sprintf("read-%d", i)
		if got := f.members[i%len(f.members)].send("GET", "/read/x", id); got.status != 200 {
			t.Fatalf("result %+v", got)
		}
	}
	if after := leaving.Stats().Arrivals; after != before {
		t.Fatalf("%d requests arrived at the leaving server", after-before)
	}
}

// Guards against a server that is in use again after the process beside it, which has
// acknowledged its leaving, was replaced.
func TestDepartedServerStaysOutAfterARestart(t *testing.T) {
	f := newFleet(t, 0, nil)
	old := f.members[0]
	old.server.SetState("draining")
	if err := old.server.SendHeartbeat(old.sidecar.settings.HeartbeatAddress); err != nil {
		t.Fatal(err)
	}
	f.waitFor("the row has the departure", func() bool {
		return strings.Contains(string(f.store.Value(directory.Table, "node-0")), "server-left")
	})
	old.sidecar.close()
	restarted := f.start(0, "alpha", old.server.Address())
	f.waitFor("the rows are read", restarted.directory.Ready)
	old.server.SetState("ready")
	if err := old.server.SendHeartbeat(restarted.settings.HeartbeatAddress); err != nil {
		t.Fatal(err)
	}
	if server, ready := restarted.registration.Current(); ready {
		t.Fatalf("server %s is in use again", server.ID)
	}
}

// Guards against requests that are cut off or lost by a planned stop, and against
// a stopping node that still reports that it is ready.
func TestStopLosesNothing(t *testing.T) {
	f := newFleet(t, 300*time.Millisecond, nil)
	stopping := f.members[0]
	stopped := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("file-%d", i)
			// The requests are spread over the first second of the stop.
			time.Sleep(time.Duration(i) * 25 * time.Millisecond)
			got := f.members[i%len(f.members)].send("POST", "/file/x", id)
			if got.err != nil || got.status != 200 && got.status != 503 {
				t.Errorf("%s: %+v", id, got)
			}
			if got.status == 200 && f.runs(id) != 1 {
				t.Errorf("%s ran %d times", id, f.runs(id))
			}
		}()
	}
	go func() {
		stopping.sidecar.Stop()
		close(stopped)
	}()
	f.waitFor("the stopping node is not ready", func() bool { return !stopping.ready() })
	wg.Wait()
	<-stopped
}

// Guards against a node that doesn't detect the loss of its row, or doesn't write it
// again after an outage of the store.
func TestNodeRewritesItsRowAfterAStoreOutage(t *testing.T) {
	f := newFleet(t, 0, nil)
	f.store.SetFaults(standin.Faults{
		Failure: standin.FailReset,
	})
	f.store.Remove("lagoonbarrow-instances", "node-2")
	f.store.DropHistory()
	time.Sleep(100 * time.Millisecond)
	f.store.SetFaults(standin.Faults{})
	f.waitFor("the row is back", func() bool { return f.store.Value("lagoonbarrow-instances", "node-2") != nil })
	f.waitFor("all nodes have the instance", func() bool {
		return len(f.members[0].sidecar.directory.Instances("beta")) == 1 && len(f.members[1].sidecar.directory.Instances("beta")) == 1
	})
}

// Guards against requests that are cut off because they arrive while a stopping node
// has nothing in progress and still waits for other nodes to close their connections.
func TestRequestsLateInAStopAreAnswered(t *testing.T) {
	f := newFleet(t, 1500*time.Millisecond, nil)
	stopping := f.members[0]
	remaining := make(chan int)
	go func() {
		stopping.sidecar.Stop()
		// The process ends here and cuts off what is still in progress.
		remaining <- stopping.sidecar.requests.InFlight()
	}()
	time.Sleep(readinessDelay - 100*time.Millisecond)
	// A connection without a handshake delays the stop of the peer server.
	conn, err := net.Dial("tcp", string(stopping.sidecar.settings.PeerAddress))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	time.Sleep(300 * time.Millisecond)
	var refused *net.OpError
	sent := make(chan result)
	go func() { sent <- stopping.send("POST", "/file/x", "late") }()
	if count := <-remaining; count != 0 {
		t.Fatalf("%d requests were in progress at the end of the stop", count)
	}
	got := <-sent
	// A failed dial means that the node has read nothing.
	unread := errors.As(got.err, &refused) && refused.Op == "dial"
	if !unread && (got.err != nil || got.status != 200 && got.status != 503) {
		t.Fatalf("result %+v", got)
	}
}

// Guards against requests that a stopping node takes and then cuts off without an answer.
func TestRequestsTakenInAStopAreAnsweredBeforeItsEnd(t *testing.T) {
	tests := []struct {
		id string
		// sentAfter is the time from the begin of the stop.
		sentAfter time.Duration
	}{
		{
			id:        "before",
			sentAfter: -200 * time.Millisecond,
		},
		{
			id:        "begin",
			sentAfter: 100 * time.Millisecond,
		},
		{
			id:        "late",
			sentAfter: readinessDelay - 300*time.Millisecond,
		},
		{
			id:        "silent-before",
			sentAfter: -200 * time.Millisecond,
		},
		{
			id:        "silent-late",
			sentAfter: readinessDelay - 300*time.Millisecond,
		},
	}
	f := newFleet(t, lateWorkDuration, func(id string) standin.ResponseFault {
		if strings.HasPrefix(id, "silent") {
			return standin.FaultSilent
		}
		return ""
	})
	stopping := f.members[0]
	begin := time.Now().Add(time.Second)
	var wg sync.WaitGroup
	for _, test := range tests {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Until(begin.Add(test.sentAfter)))
			got := stopping.send("POST", "/file/x", test.id)
			if got.err != nil || got.status == 503 && f.runs(test.id) > 0 || f.runs(test.id) > 1 {
				t.Errorf("%s: status %d, error %v, %d runs", test.id, got.status, got.err, f.runs(test.id))
			}
		}()
	}
	time.Sleep(time.Until(begin))
	stopping.sidecar.Stop()
	stopTime := time.Since(begin)
	// The process ends here and cuts off what is still in progress.
	if count := stopping.sidecar.requests.InFlight(); count != 0 {
		t.Errorf("%d requests were in progress at the end of the stop", count)
	}
	wg.Wait()
	for _, m := range f.members {
		if count := m.server.Stats().BrokenOff; count != 0 {
			t.Errorf("%d runs were broken off before their deadline", count)
		}
	}
	if stopTime > stopping.sidecar.settings.StopTimeout {
		t.Errorf("the stop took %s", stopTime)
	}
}

// lateWorkDuration is longer than the time that a request which comes late in a stop has
// left.
const lateWorkDuration = 4 * time.Second

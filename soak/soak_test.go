package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lagoonbarrow/platform/standin"
)

const (
	// faultTime is how long faults are injected in one run.
	faultTime = 6 * time.Second
	// faultPause is the longest pause between two faults; they overlap.
	faultPause = 500 * time.Millisecond
	// clientsPerNode send requests at the same time.
	clientsPerNode = 2
	// clientNodes is the number of nodes that a client uses by turns, keeping a
	// connection to each.
	clientNodes = 6
	// drainTime is how long requests may arrive at a server after its leaving was
	// acknowledged, the site files' bound "drain".
	drainTime = 2500 * time.Millisecond
	// linkDraws tells the random draws of links from the others of a seed.
	linkDraws = 7
)

// failedSeeds are seeds that failed once, with their cause.
var failedSeeds = []struct {
	seed  uint64
	cause string
}{
	{
		seed:  3,
		cause: "the run left a damaged configuration in the store, which the platform's store refuses; restarted nodes had none",
	},
	{
		seed:  9,
		cause: "as seed 3; later the run took the acknowledgement of a heartbeat that still said ready for one of the leaving",
	},
	{
		seed:  36,
		cause: "a node that wakes from a freeze takes the requests in its sockets before the heartbeat that says draining; the run allowed two",
	},
}

// Guards the promises of the pages: writes run once, refusals are true, answers are
// whole and one's own, leaving servers get nothing new, and the fleet serves
// again after the faults. LAGOONBARROW_SEEDS and LAGOONBARROW_SEED choose the seeds,
// LAGOONBARROW_NODES the size.
func TestSoak(t *testing.T) {
	binary := build(t)
	for _, seed := range seeds() {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { run(t, binary, seed) })
	}
}

func seeds() []uint64 {
	if one, err := strconv.ParseUint(os.Getenv("LAGOONBARROW_SEED"), 10, 64); err == nil {
		return []uint64{one}
	}
	count, err := strconv.Atoi(os.Getenv("LAGOONBARROW_SEEDS"))
	if err != nil {
		count = 2
	}
	var chosen []uint64
	for seed := range count {
		chosen = append(chosen, uint64(seed+1))
	}
	for _, failed := range failedSeeds {
		chosen = append(chosen, failed.seed)
	}
	return chosen
}

func run(t *testing.T, binary string, seed uint64) {
	f := newFleet(t, binary, seed)
	t.Cleanup(func() { f.keepLogs(seed) })
	stop := make(chan struct{})
	var ended sync.WaitGroup
	for number := range clientsPerNode * len(f.nodes) {
		ended.Add(1)
		go func() {
			defer ended.Done()
			f.client(number, stop)
		}()
	}
	f.injectFaults()
	close(stop)
	ended.Wait()
	f.checkServes()
	f.checkDrained()
}

// client sends requests one after the other over connections that it keeps, and
// checks each answer.
func (f *fleet) client(number int, stop <-chan struct{}) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		n := f.nodes[(number+i%clientNodes)%len(f.nodes)]
		path := "/read/x"
		if i%2 == 0 {
			path = "/file/x"
		}
		f.check(transport, n, path, fmt.Sprintf("c%d-%d", number, i))
	}
}

// check sends a request and compares what its client gets with what was run.
func (f *fleet) check(transport *http.Transport, n *node, path, id string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+string(n.process.Requests())+path, strings.NewReader(id))
	if err != nil {
		f.t.Error(err)
		return 0
	}
	request.Host = "one.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "2000")
	// The transport must not repeat a request on its own.
	request.GetBody = nil
	client := http.Client{
		Transport: transport,
		Timeout:   5 * time.Second,
	}
	f.begin(id)
	response, err := client.Do(request)
	if err != nil {
		// A closed connection promises nothing; the node may be dead or frozen.
		time.Sleep(20 * time.Millisecond)
		return 0
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	runs := f.runs(id)
	write := strings.HasPrefix(path, "/file/")
	switch {
	case write && runs > 1:
		f.t.Errorf("%s ran %d times", id, runs)
	case write && response.StatusCode == http.StatusServiceUnavailable && runs > 0:
		f.t.Errorf("%s was refused and has run", id)
	case response.StatusCode == http.StatusOK && string(body) != string(standin.Echo(http.MethodPost, path, id, []byte(id))):
		f.t.Errorf("%s got the answer %q", id, body)
	case response.StatusCode == http.StatusNotFound:
		f.t.Errorf("%s got 404", id)
	}
	return response.StatusCode
}

// begin notes when a client sends a request.
func (f *fleet) begin(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begun[id] = time.Now()
}

func (f *fleet) begunAt(id string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.begun[id]
}

// injectFaults injects random faults, in series and overlapping, and ends them all.
func (f *fleet) injectFaults() {
	end := time.Now().Add(faultTime)
	var ended sync.WaitGroup
	ended.Go(func() { f.disturbLinks(end) })
	for time.Now().Before(end) {
		fault := f.draw()
		ended.Add(1)
		go func() {
			defer ended.Done()
			fault()
		}()
		time.Sleep(time.Duration(f.random.Int64N(int64(faultPause))))
	}
	ended.Wait()
	f.store.SetFaults(standin.Faults{})
	// The platform's store keeps valid configurations only; a process that starts while
	// a damaged one is there refuses requests until the next valid one.
	f.configure()
}

// disturbLinks disturbs the links of the processes, beside the other faults. Its draws
// are its own, so that a seed repeats the other faults as before there were links.
func (f *fleet) disturbLinks(end time.Time) {
	random := rand.New(rand.NewPCG(f.seed, linkDraws))
	var ended sync.WaitGroup
	for time.Now().Before(end) {
		n := f.nodes[random.IntN(len(f.nodes))]
		length := time.Duration(random.Int64N(int64(2 * time.Second)))
		broken := []disturbance{mutedUp, mutedDown, refusing}[random.IntN(3)]
		// A link to a server that only delays would let requests arrive there after its
		// leaving was acknowledged.
		disturb := []func(){
			func() { n.toServer.disturb(broken, length) },
			func() { n.toStore.disturb(broken, length) },
			func() { n.toStore.disturb(delaying, length) },
		}[random.IntN(3)]
		ended.Go(disturb)
		other := f.nodes[random.IntN(len(f.nodes))]
		state := []disturbance{mutedUp, mutedDown, refusing, delaying}[random.IntN(4)]
		ended.Go(func() { other.fromNodes.disturb(state, length) })
		time.Sleep(time.Duration(random.Int64N(int64(2 * faultPause))))
	}
	ended.Wait()
}

// draw chooses a fault and all that it needs, so that a seed repeats its faults.
func (f *fleet) draw() func() {
	n := f.nodes[f.random.IntN(len(f.nodes))]
	length := time.Duration(f.random.Int64N(int64(2 * time.Second)))
	failure := []standin.Failure{standin.FailBusy, standin.FailMany, standin.FailReset, standin.FailSilent}[f.random.IntN(4)]
	faults := []func(){
		func() { n.restart(f, syscall.SIGKILL) },
		func() { n.restart(f, syscall.SIGTERM) },
		func() {
			n.process.Signal(syscall.SIGSTOP)
			time.Sleep(length)
			n.process.Signal(syscall.SIGCONT)
		},
		func() { n.process.Signal(syscall.SIGHUP) },
		func() { f.disturbStore(standin.Faults{Failure: failure}, length) },
		func() { f.disturbStore(standin.Faults{LoseAnswers: 0.5, LateBy: length / 2}, length) },
		func() { f.disturbStore(standin.Faults{SilentFeeds: true}, length) },
		func() { f.disturbStore(standin.Faults{Delay: 200 * time.Millisecond}, length) },
		f.store.DropHistory,
		f.configure,
		func() { f.store.Put("op", "config", []byte(`{"version":`)) },
		func() { f.store.Remove("lagoonbarrow-instances", fmt.Sprintf("node-%d", n.index)) },
		func() { f.drain(n) },
	}
	return faults[f.random.IntN(len(faults))]
}

func (f *fleet) disturbStore(faults standin.Faults, length time.Duration) {
	f.store.SetFaults(faults)
	time.Sleep(length)
	f.store.SetFaults(standin.Faults{})
}

// drain makes a server leave, unless it would be the last of its service.
func (f *fleet) drain(n *node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	left := 0
	for _, other := range f.nodes {
		other.mu.Lock()
		if other.service == n.service && !other.draining {
			left++
		}
		other.mu.Unlock()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if left < 2 || n.draining {
		return
	}
	n.draining = true
	n.server.SetState("draining")
}

// restart ends the process with a signal and starts it again.
func (n *node) restart(f *fleet, signal syscall.Signal) {
	if n.process.End(signal) {
		f.start(n)
	}
}

// checkServes checks that every node serves again once the faults have ended.
func (f *fleet) checkServes() {
	for _, n := range f.nodes {
		f.await("node is ready again", n.process.Ready)
		attempt := 0
		f.await(fmt.Sprintf("node %d serves again", n.index), func() bool {
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			attempt++
			return f.check(transport, n, "/read/x", fmt.Sprintf("after-%d-%d", n.index, attempt)) == http.StatusOK
		})
	}
}

// checkDrained checks that no request of a client that began after a server's leaving
// was acknowledged arrived there, and nothing later than the pages allow. What a node
// has taken before may still be on its way: one that was frozen takes all that waits
// in its sockets before the heartbeat.
func (f *fleet) checkDrained() {
	for _, n := range f.nodes {
		n.mu.Lock()
		acknowledged := n.acknowledged
		n.mu.Unlock()
		if acknowledged.IsZero() {
			continue
		}
		for _, arrival := range n.server.ArrivalsAfter(acknowledged) {
			begun := f.begunAt(arrival.Request).Sub(acknowledged)
			late := arrival.At.Sub(acknowledged)
			if begun > 0 || late > drainTime {
				f.t.Errorf("%s, begun %s after the leaving of server %d was acknowledged, arrived there %s after that", arrival.Request, begun, n.index, late)
			}
		}
	}
}

// keepLogs keeps the logs of a failed run.
func (f *fleet) keepLogs(seed uint64) {
	if !f.t.Failed() {
		return
	}
	for _, n := range f.nodes {
		text, err := os.ReadFile(n.process.LogPath())
		if err != nil {
			f.t.Log(err)
			continue
		}
		path := filepath.Join(os.TempDir(), fmt.Sprintf("lagoonbarrow-soak-%d-node-%d.log", seed, n.index))
		if err := os.WriteFile(path, text, 0o600); err != nil {
			f.t.Log(err)
		}
		f.t.Log("log kept in " + path)
	}
}

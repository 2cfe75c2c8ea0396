package bench

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"lagoonbarrow/platform/standin"
)

const (
	// sidecarNodes is the number of sidecars: half beside servers of the service that
	// runs the requests, half where the requests begin.
	sidecarNodes = 8
	// sidecarHeartbeat is the interval of the users' machines.
	sidecarHeartbeat = 1500 * time.Millisecond
	// sidecarSettle passes before an idle fleet is measured.
	sidecarSettle = 5 * time.Second
	// readyLimit bounds the wait for a node to be ready.
	readyLimit = 10 * time.Second
	// readyPoll is the time between two looks whether a node is ready.
	readyPoll = 5 * time.Millisecond
	// sidecarSpan is how long one rate is measured.
	sidecarSpan = 5 * time.Second
	// sidecarConnections bounds the client's idle connections to one node.
	sidecarConnections = 64
	// idleTarget is the part of a core that an idle sidecar may use.
	idleTarget = 0.006
	// readyTarget bounds the time from a process's start until it is ready.
	readyTarget = time.Second
)

// sidecarFleet is a store and sidecar processes, each beside a backend server.
type sidecarFleet struct {
	r         *runner
	store     *standin.Store
	processes []*standin.Process
	// slowest is the longest time from a start until ready.
	slowest time.Duration
	client  http.Client
}

// sidecarConfiguration routes all reads to one service.
const sidecarConfiguration = `{"version":1,"services":[{"name":"minutes"},{"name":"filing"}],"hosts":[{"host":"one.example","paths":[` +
	`{"name":"read","prefix":"/read/","kind":"idempotent","timeout":"2s","target-latency":"1s","priority":2,"service":"minutes","max-attempts":2}]}]}`

// sidecarCost measures what sidecars cost: idle, and for each call that begins at
// one and runs beside another. Each process has one processor, as the users'
// machines show one.
func sidecarCost(r *runner) []Row {
	f := newSidecarFleet(r)
	time.Sleep(sidecarSettle)
	idle := f.share(func() { time.Sleep(costSpan) }) / sidecarNodes
	var rates, shares []float64
	for _, rate := range callRates {
		failed := 0
		shares = append(shares, f.share(func() { failed = f.load(rate) }))
		rates = append(rates, rate)
		r.Logf("%.0f calls/s: %.1f %% of a core for all %d nodes, %d failed", rate, 100*shares[len(shares)-1], sidecarNodes, failed)
	}
	perCall := slope(rates, shares)
	return []Row{
		{
			Measure:  "processor time of the sidecars for one call through two of them (slope over 100 to 800 calls/s)",
			Baseline: "445 us of the nodes",
			Ours:     fmt.Sprintf("%.0f us", 1e6*perCall),
			Target:   "<= 222 us",
			Met:      perCall <= 222e-6,
		},
		{
			Measure:  "processor time of an idle sidecar",
			Baseline: "-",
			Ours:     fmt.Sprintf("%.4f of a core", idle),
			Target:   fmt.Sprintf("<= %.3f", idleTarget),
			Met:      idle <= idleTarget,
		},
		{
			Measure:  "time from a sidecar's start until it is ready, slowest",
			Baseline: "-",
			Ours:     milliseconds(f.slowest),
			Target:   "<= 1 s",
			Met:      f.slowest <= readyTarget,
		},
	}
}

func newSidecarFleet(r *runner) *sidecarFleet {
	store, err := standin.NewStore(r.config.Seed)
	if err != nil {
		r.Fatal(err)
	}
	r.Cleanup(store.Close)
	store.Put("op", "config", []byte(sidecarConfiguration))
	f := &sidecarFleet{
		r:     r,
		store: store,
		client: http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: sidecarConnections,
			},
		},
	}
	for index := range sidecarNodes {
		f.add(index)
	}
	return f
}

// add starts a node and waits until it is ready.
func (f *sidecarFleet) add(index int) {
	service := "minutes"
	if index%2 == 1 {
		service = "filing"
	}
	server, err := standin.NewServer(standin.ServerConfig{
		ID:      fmt.Sprintf("i-%d", index),
		Service: service,
		Slots:   70,
		Work:    5 * time.Millisecond,
	})
	if err != nil {
		f.r.Fatal(err)
	}
	f.r.Cleanup(server.Close)
	process := standin.NewProcess(standin.ProcessConfig{
		Binary:            f.r.config.Binary,
		Folder:            f.r.TempDir(),
		Name:              fmt.Sprintf("node-%d", index),
		IP:                fmt.Sprintf("127.%d.77.%d", 1+os.Getpid()%250, 1+index),
		Service:           service,
		Server:            string(server.Address()),
		Store:             string(f.store.Address()),
		HeartbeatInterval: sidecarHeartbeat,
		Environment:       []string{"GOMAXPROCS=1"},
	})
	began := time.Now()
	if err := process.Start(); err != nil {
		f.r.Fatal(err)
	}
	f.r.Cleanup(func() { process.End(syscall.SIGKILL) })
	f.beat(process, server)
	for !process.Ready() {
		if time.Since(began) > readyLimit {
			f.r.Fatalf("node %d is not ready after %s", index, readyLimit)
		}
		time.Sleep(readyPoll)
	}
	f.slowest = max(f.slowest, time.Since(began))
	f.processes = append(f.processes, process)
}

// beat sends the server's heartbeats until the measure ends.
func (f *sidecarFleet) beat(process *standin.Process, server *standin.Server) {
	stop := make(chan struct{})
	f.r.Cleanup(func() { close(stop) })
	go func() {
		for {
			pause := sidecarHeartbeat
			if server.Beat(process.Heartbeats()) != nil {
				// The process has only just started.
				pause = readyPoll
			}
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
		}
	}()
}

// share returns the part of a core that all sidecars together use meanwhile.
func (f *sidecarFleet) share(during func()) float64 {
	began := time.Now()
	before := f.used()
	during()
	return (f.used() - before).Seconds() / time.Since(began).Seconds()
}

func (f *sidecarFleet) used() time.Duration {
	sum := time.Duration(0)
	for _, process := range f.processes {
		used, _ := processUse(f.r, process.PID())
		sum += used
	}
	return sum
}

// load sends reads at a rate, with random pauses, to the nodes of the other service.
// It returns how many failed.
func (f *sidecarFleet) load(rate float64) int {
	random := rand.New(rand.NewPCG(f.r.config.Seed, uint64(rate)))
	var running sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	next := time.Now()
	end := next.Add(sidecarSpan)
	for number := 0; next.Before(end); number++ {
		time.Sleep(time.Until(next))
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		process := f.processes[1+2*(number%(sidecarNodes/2))]
		running.Go(func() {
			if f.read(process, fmt.Sprintf("r%d-%d", int(rate), number)) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			failed++
		})
	}
	running.Wait()
	return failed
}

// read sends one request and reports whether it was answered whole.
func (f *sidecarFleet) read(process *standin.Process, id string) bool {
	request, err := http.NewRequest(http.MethodGet, "http://"+string(process.Requests())+"/read/x", nil)
	if err != nil {
		return false
	}
	request.Host = "one.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "2000")
	response, err := f.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

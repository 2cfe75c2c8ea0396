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
	// sidecarNodes is the number of sidecars. Half run beside servers of the service
	// that runs the requests, half receive the requests and forward them.
	sidecarNodes = 8
	// sidecarHeartbeat is the heartbeat interval on the users' machines.
	sidecarHeartbeat = 1500 * time.Millisecond
	// sidecarSettle is the wait before an idle fleet is measured.
	sidecarSettle = 5 * time.Second
	// readyLimit bounds the wait until a sidecar is ready.
	readyLimit = 10 * time.Second
	// readyPoll is the interval between two readiness checks.
	readyPoll = 5 * time.Millisecond
	// sidecarSpan is the time for which each rate is measured.
	sidecarSpan = 5 * time.Second
	// sidecarConnections bounds the client's idle connections to one sidecar.
	sidecarConnections = 64
	// idleTarget is the share of a core that an idle sidecar may use.
	idleTarget = 0.006
	// readyTarget bounds the time from the start of a sidecar until it is ready.
	readyTarget = time.Second
)

// sidecarFleet is a store and several sidecar processes, each beside a backend
// server.
type sidecarFleet struct {
	r         *runner
	store     *standin.Store
	processes []*standin.Process
	// slowest is the longest time from the start of a sidecar until it is ready.
	slowest time.Duration
	client  http.Client
}

// sidecarConfiguration routes all reads to one service.
const sidecarConfiguration = `{"version":1,"services":[{"name":"minutes"},{"name":"filing"}],"hosts":[{"host":"one.example","paths":[` +
	`{"name":"read","prefix":"/read/","kind":"idempotent","timeout":"2s","target-latency":"1s","priority":2,"service":"minutes","max-attempts":2}]}]}`

// sidecarCost measures the CPU time of idle sidecars and of calls that pass through
// two sidecars. Each process uses one CPU because the users' machines report one.
func sidecarCost(r *runner) []Row {
	f := newSidecarFleet(r)
	time.Sleep(sidecarSettle)
	idle := f.cpuShare(func() { time.Sleep(costSpan) }) / sidecarNodes
	var rates, shares []float64
	for _, rate := range callRates {
		failed := 0
		shares = append(shares, f.cpuShare(func() { failed = f.sendReads(rate) }))
		rates = append(rates, rate)
		r.Logf("%.0f calls/s: %.1f %% of a core for all %d nodes, %d failed", rate, 100*shares[len(shares)-1], sidecarNodes, failed)
	}
	perCall := slope(rates, shares)
	return []Row{
		{
			Measure:  "processor time of the sidecars for one call through two of them (slope over 100 to 800 calls/s)",
			Baseline: "445 us of the nodes",
			Result:   fmt.Sprintf("%.0f us", 1e6*perCall),
			Target:   "<= 222 us",
			Met:      perCall <= 222e-6,
		},
		{
			Measure:  "processor time of an idle sidecar",
			Baseline: "-",
			Result:   fmt.Sprintf("%.4f of a core", idle),
			Target:   fmt.Sprintf("<= %.3f", idleTarget),
			Met:      idle <= idleTarget,
		},
		{
			Measure:  "time from a sidecar's start until it is ready, slowest",
			Baseline: "-",
			Result:   milliseconds(f.slowest),
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

// add starts a server with its sidecar and waits until the sidecar is ready.
func (f *sidecarFleet) add(index int) {
	service := "minutes"
	if index%2 == 1 {
		service = "filing"
	}
	server, err := standin.NewServer(standin.ServerConfig{
		ID:           fmt.Sprintf("i-%d", index),
		Service:      service,
		Slots:        70,
		WorkDuration: 5 * time.Millisecond,
	})
	if err != nil {
		f.r.Fatal(err)
	}
	f.r.Cleanup(server.Close)
	process := standin.NewProcess(standin.ProcessConfig{
		Binary:            f.r.config.Binary,
		Dir:               f.r.TempDir(),
		Name:              fmt.Sprintf("node-%d", index),
		IP:                fmt.Sprintf("127.%d.77.%d", 1+os.Getpid()%250, 1+index),
		Service:           service,
		Server:            string(server.Address()),
		Store:             string(f.store.Address()),
		HeartbeatInterval: sidecarHeartbeat,
		Environment:       []string{"GOMAXPROCS=1"},
	})
	start := time.Now()
	if err := process.Start(); err != nil {
		f.r.Fatal(err)
	}
	f.r.Cleanup(func() { process.Terminate(syscall.SIGKILL) })
	f.sendHeartbeats(process, server)
	for !process.Ready() {
		if time.Since(start) > readyLimit {
			f.r.Fatalf("sidecar %d is not ready after %s", index, readyLimit)
		}
		time.Sleep(readyPoll)
	}
	f.slowest = max(f.slowest, time.Since(start))
	f.processes = append(f.processes, process)
}

// sendHeartbeats sends the heartbeats of a server until the measure ends.
func (f *sidecarFleet) sendHeartbeats(process *standin.Process, server *standin.Server) {
	stop := make(chan struct{})
	f.r.Cleanup(func() { close(stop) })
	go func() {
		for {
			pause := sidecarHeartbeat
			if server.SendHeartbeat(process.HeartbeatAddress()) != nil {
				// The process has just started and does not accept heartbeats yet.
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

// cpuShare returns the share of a core that all sidecars together use while
// during runs.
func (f *sidecarFleet) cpuShare(during func()) float64 {
	start := time.Now()
	before := f.cpuTime()
	during()
	return (f.cpuTime() - before).Seconds() / time.Since(start).Seconds()
}

// cpuTime returns the CPU time of all sidecars since their start.
func (f *sidecarFleet) cpuTime() time.Duration {
	sum := time.Duration(0)
	for _, process := range f.processes {
		used, _ := processUsage(f.r, process.PID())
		sum += used
	}
	return sum
}

// sendReads sends reads with random pauses to the sidecars of the service filing,
// which forward them to the service minutes. It returns the number of failed reads.
func (f *sidecarFleet) sendReads(rate float64) int {
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
			if f.sendRead(process, fmt.Sprintf("r%d-%d", int(rate), number)) {
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

// sendRead sends one request and reports whether it succeeded with a complete answer.
func (f *sidecarFleet) sendRead(process *standin.Process, id string) bool {
	request, err := http.NewRequest(http.MethodGet, "http://"+string(process.RequestAddress())+"/read/x", nil)
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

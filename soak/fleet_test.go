// Package soak runs real sidecar processes against stand-ins of the platform, injects
// faults from outside, and checks what clients and backend servers see.
package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/platform/standin"
)

// services of the nodes, one after the other.
var services = []string{"alpha", "beta", "alpha", "beta", "alpha", "beta"}

// fleet is a store, backend servers and a sidecar process beside each.
type fleet struct {
	t      *testing.T
	binary string
	store  *standin.Store
	nodes  []*node
	seed   uint64
	random *rand.Rand

	mu      sync.Mutex
	version int
}

type node struct {
	index   int
	service string
	ip      string
	dir     string
	server  *standin.Server
	// toServer and toStore are the links of the process to its server and the store.
	toServer *link
	toStore  *link
	// stopped ends the heartbeats.
	stopped chan struct{}

	mu      sync.Mutex
	process *exec.Cmd
	// draining is when the server's leaving was acknowledged; zero before.
	draining time.Time
	// arrivals is what had arrived a moment after that.
	arrivals int
}

// build compiles the command once for all seeds.
func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "lagoonbarrow")
	output, err := exec.Command("go", "build", "-o", binary, "../cmd/lagoonbarrow").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	return binary
}

func newFleet(t *testing.T, binary string, seed uint64) *fleet {
	t.Helper()
	store, err := standin.NewStore(seed)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	f := &fleet{
		t:      t,
		binary: binary,
		store:  store,
		seed:   seed,
		random: rand.New(rand.NewPCG(seed, seed)),
	}
	f.configure()
	// Each seed has loopback addresses of its own, so that no run meets another's sockets.
	network := fmt.Sprintf("127.%d.%d", 1+os.Getpid()%250, 1+seed%250)
	for i, service := range services {
		f.add(i, service, fmt.Sprintf("%s.%d", network, i+1), seed)
	}
	for _, n := range f.nodes {
		f.await("node is ready", n.ready)
	}
	return f
}

func (f *fleet) add(index int, service, ip string, seed uint64) {
	spoil := rand.New(rand.NewPCG(seed, uint64(index)))
	var mu sync.Mutex
	kinds := []standin.Spoiling{standin.SpoilCut, standin.SpoilExtra, standin.SpoilLost, standin.SpoilRefused, standin.SpoilUnframed, standin.SpoilStray}
	server, err := standin.NewServer(standin.ServerConfig{
		ID:         fmt.Sprintf("i-%d", index),
		Service:    service,
		Address:    ip + ":8311",
		Advertised: ip + ":8301",
		Slots:      30,
		Work:       20 * time.Millisecond,
		Spoil: func(string) standin.Spoiling {
			mu.Lock()
			defer mu.Unlock()
			if spoil.IntN(20) > 0 {
				return ""
			}
			return kinds[spoil.IntN(len(kinds))]
		},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	n := &node{
		index:    index,
		service:  service,
		ip:       ip,
		dir:      f.t.TempDir(),
		server:   server,
		toServer: newLink(f.t, ip+":8301", string(server.Address())),
		toStore:  newLink(f.t, ip+":8309", string(f.store.Address())),
		stopped:  make(chan struct{}),
	}
	f.nodes = append(f.nodes, n)
	f.start(n)
	var ended sync.WaitGroup
	ended.Add(1)
	go func() {
		defer ended.Done()
		n.beat()
	}()
	f.t.Cleanup(func() {
		close(n.stopped)
		ended.Wait()
		n.kill(syscall.SIGCONT)
		n.kill(syscall.SIGKILL)
		server.Close()
	})
}

// start runs the sidecar process of a node.
func (f *fleet) start(n *node) {
	path := filepath.Join(n.dir, "settings")
	text := strings.NewReplacer("IP", n.ip, "INDEX", fmt.Sprint(n.index), "SERVICE", n.service, "STORE", n.ip+":8309").Replace(settings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	log, err := os.OpenFile(filepath.Join(n.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	defer log.Close()
	process := exec.Command(f.binary, "sidecar", "--settings", path)
	process.Stdout = log
	process.Stderr = log
	if err := process.Start(); err != nil {
		f.t.Fatal(err)
	}
	n.mu.Lock()
	n.process = process
	n.mu.Unlock()
}

const settings = `node-name=node-INDEX
ip=IP
zone=zone
region=region
listen.outbound=IP:8304
listen.ready=IP:8302
listen.control=IP:8306
internal-ports=7620,7635
limits.memory-mb=284
limits.max-fds=4100
heartbeat=300ms
bounds=grace=6s,config-apply=2000ms,retry-budget-ratio=0.2,budget-window=10s,retry-budget-slack=47
app-addr=IP:8301
service=SERVICE
platform.address=STORE
`

// kill sends a signal to the node's process, which this test has started.
func (n *node) kill(signal syscall.Signal) {
	n.mu.Lock()
	process := n.process
	n.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Signal(signal)
	if signal == syscall.SIGKILL {
		_ = process.Wait()
	}
}

// beat sends the server's heartbeats until the test ends.
func (n *node) beat() {
	for {
		// Asked before the heartbeat, whose state is set together with it: only a heartbeat
		// that says draining acknowledges the leaving.
		n.mu.Lock()
		draining := !n.draining.IsZero()
		n.mu.Unlock()
		err := n.server.Beat(lagoonbarrow.Address(n.ip + ":8306"))
		if err == nil && draining {
			n.noteDrained()
		}
		select {
		case <-n.stopped:
			return
		case <-time.After(300 * time.Millisecond):
		}
	}
}

// noteDrained remembers the arrivals at the acknowledgement of the leaving.
func (n *node) noteDrained() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.arrivals == 0 {
		n.arrivals = n.server.Count().Arrivals
	}
}

func (n *node) ready() bool {
	client := http.Client{
		Timeout: time.Second,
	}
	response, err := client.Get("http://" + n.ip + ":8302/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// configure makes the operator change the configuration. Reads go to alpha in odd
// versions and to beta in even ones, writes the other way.
func (f *fleet) configure() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	read, write := "alpha", "beta"
	if f.version%2 == 0 {
		read, write = write, read
	}
	text := fmt.Sprintf(`{"version":%d,"services":[{"name":"alpha"},{"name":"beta"}],"hosts":[{"host":"one.example","paths":[`+
		`{"name":"read","prefix":"/read/","kind":"idempotent","timeout":"2s","target-latency":"1s","priority":2,"service":%q,"max-attempts":2},`+
		`{"name":"file","prefix":"/file/","kind":"non_idempotent","timeout":"2s","target-latency":"1s","priority":0,"service":%q,"max-attempts":2}]}]}`, f.version, read, write)
	f.store.Put("op", "config", []byte(text))
}

func (f *fleet) await(what string, met func() bool) {
	f.t.Helper()
	for range 1500 {
		if met() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatalf("not met: %s", what)
}

func (f *fleet) runs(id string) int {
	sum := 0
	for _, n := range f.nodes {
		sum += n.server.Runs(id)
	}
	return sum
}

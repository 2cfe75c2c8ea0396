// Package soak runs real sidecar processes against stand-ins of the platform, injects
// faults from outside, and checks what clients and backend servers see.
package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"lagoonbarrow/platform/standin"
)

// services of the nodes, by turns.
var services = []string{"alpha", "beta"}

const (
	// defaultNodes is the number of nodes without LAGOONBARROW_NODES.
	defaultNodes = 6
	// heartbeatInterval is the time between two heartbeats of a server.
	heartbeatInterval = 300 * time.Millisecond
)

// The ports of the links: to the server, to the store and from other nodes, which
// reach the node itself at nodePort.
const (
	serverLinkPort = ":8301"
	storeLinkPort  = ":8309"
	nodeLinkPort   = ":7640"
	nodePort       = ":7620"
)

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
	// begun holds when clients sent their requests, by the requests' ids.
	begun map[string]time.Time
}

type node struct {
	index   int
	service string
	process *standin.Process
	server  *standin.Server
	// toServer and toStore are the links of the process to its server and the store,
	// fromNodes that of the other nodes to it.
	toServer  *link
	toStore   *link
	fromNodes *link
	// stopped ends the heartbeats.
	stopped chan struct{}

	mu sync.Mutex
	// draining is set once the server says that it leaves, and acknowledged when that
	// was acknowledged.
	draining     bool
	acknowledged time.Time
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
		begun:  map[string]time.Time{},
		seed:   seed,
		random: rand.New(rand.NewPCG(seed, seed)),
	}
	store.Rewrite(func(value []byte) []byte {
		return bytes.ReplaceAll(value, []byte(nodePort), []byte(nodeLinkPort))
	})
	f.configure()
	// Each seed has loopback addresses of its own, so that no run meets another's sockets.
	network := fmt.Sprintf("127.%d.%d", 1+os.Getpid()%250, 1+seed%250)
	for i := range nodes() {
		f.add(i, services[i%len(services)], fmt.Sprintf("%s.%d", network, i+1), seed)
	}
	for _, n := range f.nodes {
		f.await("node is ready", n.process.Ready)
	}
	return f
}

// nodes returns the number of nodes of a fleet.
func nodes() int {
	count, err := strconv.Atoi(os.Getenv("LAGOONBARROW_NODES"))
	if err != nil || count < 2 || count > 250 {
		return defaultNodes
	}
	return count
}

func (f *fleet) add(index int, service, ip string, seed uint64) {
	spoil := rand.New(rand.NewPCG(seed, uint64(index)))
	var mu sync.Mutex
	kinds := []standin.Spoiling{standin.SpoilCut, standin.SpoilExtra, standin.SpoilLost, standin.SpoilRefused, standin.SpoilUnframed, standin.SpoilStray}
	server, err := standin.NewServer(standin.ServerConfig{
		ID:         fmt.Sprintf("i-%d", index),
		Service:    service,
		Address:    ip + ":8311",
		Advertised: ip + serverLinkPort,
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
		index:   index,
		service: service,
		process: standin.NewProcess(standin.ProcessConfig{
			Binary:            f.binary,
			Folder:            f.t.TempDir(),
			Name:              fmt.Sprintf("node-%d", index),
			IP:                ip,
			Service:           service,
			Server:            ip + serverLinkPort,
			Store:             ip + storeLinkPort,
			HeartbeatInterval: heartbeatInterval,
		}),
		server:    server,
		toServer:  newLink(f.t, ip+serverLinkPort, string(server.Address())),
		toStore:   newLink(f.t, ip+storeLinkPort, string(f.store.Address())),
		fromNodes: newLink(f.t, ip+nodeLinkPort, ip+nodePort),
		stopped:   make(chan struct{}),
	}
	f.nodes = append(f.nodes, n)
	f.start(n)
	var ended sync.WaitGroup
	ended.Go(n.beat)
	f.t.Cleanup(func() {
		close(n.stopped)
		ended.Wait()
		n.process.End(syscall.SIGKILL)
		server.Close()
	})
}

func (f *fleet) start(n *node) {
	if err := n.process.Start(); err != nil {
		f.t.Error(err)
	}
}

// beat sends the server's heartbeats until the test ends.
func (n *node) beat() {
	for {
		// Asked before the heartbeat, whose state is set together with it: only a heartbeat
		// that says draining acknowledges the leaving.
		n.mu.Lock()
		draining := n.draining
		n.mu.Unlock()
		err := n.server.Beat(n.process.Heartbeats())
		if err == nil && draining {
			n.noteDrained()
		}
		select {
		case <-n.stopped:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// noteDrained remembers when the leaving was acknowledged.
func (n *node) noteDrained() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.acknowledged.IsZero() {
		n.acknowledged = time.Now()
	}
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

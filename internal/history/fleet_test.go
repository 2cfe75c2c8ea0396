// Package history proves the promises to users: real node processes run with
// stand-ins, faults are injected, and the recorded history is checked.
package history

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/internal/standin/backend"
	"lagoonbarrow/internal/standin/platform"
)

const (
	peerKey     = "history-peer-key-0001"
	readToken   = "history-read-token-01"
	changeToken = "history-change-token-1"
	apiKey      = "history-api-key"
	// startTimeout bounds the start of a fleet on a loaded machine.
	startTimeout = 60 * time.Second
)

// binary is the node binary that TestMain builds.
var binary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "history")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer os.RemoveAll(folder)
	binary = filepath.Join(folder, "lagoonbarrow")
	if output, err := exec.Command("go", "build", "-o", binary, "lagoonbarrow/cmd/lagoonbarrow").CombinedOutput(); err != nil {
		fmt.Printf("build node: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// seeds returns the seeds of this run: LAGOONBARROW_SEED alone if set, else
// LAGOONBARROW_SEEDS many, else the given number.
func seeds(t *testing.T, count int) []uint64 {
	t.Helper()
	if text := os.Getenv("LAGOONBARROW_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		return []uint64{seed}
	}
	if text := os.Getenv("LAGOONBARROW_SEEDS"); text != "" {
		wanted, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		count = wanted
	}
	list := make([]uint64, count)
	for position := range list {
		list[position] = uint64(position + 1)
	}
	return list
}

// forSeeds runs the test once for each seed.
func forSeeds(t *testing.T, count int, test func(t *testing.T, random *rand.Rand)) {
	t.Helper()
	for _, seed := range seeds(t, count) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Logf("repeat with LAGOONBARROW_SEED=%d go test -count=1 -run '%s' ./internal/history", seed, t.Name())
			test(t, rand.New(rand.NewPCG(seed, seed)))
		})
	}
}

// serviceSpec describes one service of a fleet. The first service is the entry.
type serviceSpec struct {
	name        string
	instances   int
	slots       int
	serviceTime time.Duration
	longTime    time.Duration
	downstream  []lagoonbarrow.ServiceName
	parallel    bool
	retries     int
}

// fleet is a platform, backend servers and nodes on loopback.
type fleet struct {
	t        *testing.T
	folder   string
	platform *platform.Server
	address  lagoonbarrow.Address
	nodes    []*nodeProcess
	extra    string
	http     *http.Client
}

// startFleet starts everything and waits until all nodes know each other.
// extra is added to every node's settings.
func startFleet(t *testing.T, extra string, services ...serviceSpec) *fleet {
	t.Helper()
	f := &fleet{
		t:      t,
		folder: t.TempDir(),
		platform: platform.New(platform.Config{
			Address: "127.0.0.1:0",
		}),
		extra: extra,
		http: &http.Client{
			Timeout: 30 * time.Second,
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 64,
			},
		},
	}
	address, err := f.platform.Start()
	if err != nil {
		t.Fatal(err)
	}
	f.address = address
	t.Cleanup(f.close)
	for _, service := range services {
		for position := range service.instances {
			f.addNode(service, position)
		}
	}
	started := time.Now()
	f.awaitMembers(len(f.nodes))
	t.Logf("%d nodes know each other after %s", len(f.nodes), time.Since(started).Round(time.Millisecond))
	return f
}

func (f *fleet) close() {
	f.http.CloseIdleConnections()
	var ending sync.WaitGroup
	for _, node := range f.nodes {
		ending.Add(1)
		go func() {
			defer ending.Done()
			node.kill()
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			_ = node.backend.Stop(ctx)
		}()
	}
	ending.Wait()
	_ = f.platform.Stop()
}

func (f *fleet) addNode(service serviceSpec, position int) *nodeProcess {
	f.t.Helper()
	ports := freePorts(f.t, 4)
	server, err := backend.New(backend.Config{
		Service:         lagoonbarrow.ServiceName(service.name),
		Address:         "127.0.0.1:0",
		Node:            ports[1],
		Slots:           service.slots,
		ServiceTime:     service.serviceTime,
		LongServiceTime: service.longTime,
		Distribution:    backend.DistributionUniform,
		Seed:            uint64(position + 1),
		Downstream:      service.downstream,
		Parallel:        service.parallel,
		Retries:         service.retries,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	backendAddress, err := server.Start()
	if err != nil {
		f.t.Fatal(err)
	}
	node := &nodeProcess{
		fleet:   f,
		name:    fmt.Sprintf("%s-%d", service.name, position),
		service: service,
		backend: server,
		entry:   ports[0],
		local:   ports[1],
		peer:    ports[2],
		admin:   ports[3],
		address: backendAddress,
		zone:    fmt.Sprintf("zone-%c", 'a'+position%4),
	}
	f.nodes = append(f.nodes, node)
	node.start()
	return node
}

// The ports that nodes listen on lie below the range from which systems take
// the ports of outgoing connections, so that none is taken while a node restarts.
const (
	firstPort = 10000
	lastPort  = 30000
)

// usedPorts are the ports given out by this test process.
var usedPorts sync.Map

// freePorts returns loopback addresses that are free.
func freePorts(t *testing.T, count int) []lagoonbarrow.Address {
	t.Helper()
	var addresses []lagoonbarrow.Address
	for len(addresses) < count {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if _, used := usedPorts.LoadOrStore(port, true); used {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		addresses = append(addresses, lagoonbarrow.Address(address))
	}
	return addresses
}

// of returns the nodes of a service.
func (f *fleet) of(service string) []*nodeProcess {
	var nodes []*nodeProcess
	for _, node := range f.nodes {
		if node.service.name == service {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// contractFor returns a contract with all kinds of classes. A path's first
// segment selects the class.
func contractFor(customer lagoonbarrow.CustomerID, key string) lagoonbarrow.Contract {
	sum := sha256.Sum256([]byte(key))
	class := func(name, method, importance string, tokens lagoonbarrow.Tokens) lagoonbarrow.Class {
		return lagoonbarrow.Class{
			Name:           lagoonbarrow.ClassName(name),
			Method:         method,
			PathPrefix:     "/" + name,
			ImportanceName: importance,
			WorkUnits:      1,
			Deadline:       lagoonbarrow.Duration(3 * time.Second),
			RetryTokens:    tokens,
		}
	}
	filing := class("filing", "POST", "critical", 3)
	filing.AtMostOnce = true
	archive := class("archive", "GET", "deferrable", 1)
	archive.Long = true
	archive.Deadline = lagoonbarrow.Duration(10 * time.Second)
	return lagoonbarrow.Contract{
		Customer:           customer,
		KeyHashes:          []string{hex.EncodeToString(sum[:])},
		WorkUnitsPerSecond: 100000,
		BurstWorkUnits:     100000,
		Classes: []lagoonbarrow.Class{
			filing,
			archive,
			class("lookup", "GET", "normal", 3),
			class("browse", "GET", "deferrable", 1),
		},
	}
}

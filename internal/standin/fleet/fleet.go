// Package fleet starts node processes with stand-ins around them and injects
// faults, for the proofs and the measurements.
package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/internal/standin/backend"
	"lagoonbarrow/internal/standin/platform"
)

const (
	// PeerKey is the key shared by the fleet's nodes.
	PeerKey     = "history-peer-key-0001"
	readToken   = "history-read-token-01"
	changeToken = "history-change-token-1"
	// APIKey is the key of the customer that ContractFor is made for.
	APIKey = "history-api-key"
	// StartTimeout bounds the start of a fleet on a loaded machine.
	StartTimeout = 60 * time.Second
)

// TB is the part of testing.TB that a fleet needs; the measurements bring
// their own.
type TB interface {
	Helper()
	Logf(format string, arguments ...any)
	Fatal(arguments ...any)
	Fatalf(format string, arguments ...any)
	TempDir() string
	Cleanup(end func())
}

// Service describes one service of a fleet. The first service is the entry.
type Service struct {
	Name        string
	Instances   int
	Slots       int
	ServiceTime time.Duration
	LongTime    time.Duration
	Downstream  []lagoonbarrow.ServiceName
	Parallel    bool
	Retries     int
	// Cuttable puts a proxy before each node's peer listener, for Cut.
	Cuttable bool
}

// Fleet is a platform, backend servers and nodes on loopback.
type Fleet struct {
	TB       TB
	binary   string
	folder   string
	Platform *platform.Server
	address  lagoonbarrow.Address
	Nodes    []*Node
	extra    string
	http     *http.Client
}

// Start starts everything and waits until all nodes know each other.
// extra is added to every node's settings.
func Start(t TB, binary, extra string, services ...Service) *Fleet {
	t.Helper()
	f := &Fleet{
		TB:     t,
		binary: binary,
		folder: t.TempDir(),
		Platform: platform.New(platform.Config{
			Address: "127.0.0.1:0",
		}),
		extra: extra,
		http: &http.Client{
			Timeout: 30 * time.Second,
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 512,
			},
		},
	}
	address, err := f.Platform.Start()
	if err != nil {
		t.Fatal(err)
	}
	f.address = address
	t.Cleanup(f.close)
	for _, service := range services {
		for position := range service.Instances {
			f.addNode(service, position)
		}
	}
	started := time.Now()
	f.AwaitMembers(len(f.Nodes))
	t.Logf("%d nodes know each other after %s", len(f.Nodes), time.Since(started).Round(time.Millisecond))
	return f
}

func (f *Fleet) close() {
	f.http.CloseIdleConnections()
	var ending sync.WaitGroup
	for _, node := range f.Nodes {
		ending.Add(1)
		go func() {
			defer ending.Done()
			node.Kill()
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			_ = node.Backend.Stop(ctx)
		}()
	}
	ending.Wait()
	_ = f.Platform.Stop()
}

func (f *Fleet) addNode(service Service, position int) *Node {
	f.TB.Helper()
	ports := freePorts(f.TB, 4)
	server, err := backend.New(backend.Config{
		Service:         lagoonbarrow.ServiceName(service.Name),
		Address:         "127.0.0.1:0",
		Node:            ports[1],
		Slots:           service.Slots,
		ServiceTime:     service.ServiceTime,
		LongServiceTime: service.LongTime,
		Distribution:    backend.DistributionUniform,
		Seed:            uint64(position + 1),
		Downstream:      service.Downstream,
		Parallel:        service.Parallel,
		Retries:         service.Retries,
	})
	if err != nil {
		f.TB.Fatal(err)
	}
	backendAddress, err := server.Start()
	if err != nil {
		f.TB.Fatal(err)
	}
	node := &Node{
		fleet:   f,
		Name:    fmt.Sprintf("%s-%d", service.Name, position),
		Service: service,
		Backend: server,
		Entry:   ports[0],
		Local:   ports[1],
		Peer:    ports[2],
		Admin:   ports[3],
		Address: backendAddress,
		Zone:    fmt.Sprintf("zone-%c", 'a'+position%4),
	}
	if service.Cuttable {
		node.Advertise = freePorts(f.TB, 1)[0]
		node.cutter, err = newCutter(node.Advertise, node.Peer)
		if err != nil {
			f.TB.Fatal(err)
		}
		f.TB.Cleanup(node.cutter.close)
	}
	f.Nodes = append(f.Nodes, node)
	node.Start()
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
func freePorts(t TB, count int) []lagoonbarrow.Address {
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

// Of returns the nodes of a service.
func (f *Fleet) Of(service string) []*Node {
	var nodes []*Node
	for _, node := range f.Nodes {
		if node.Service.Name == service {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// Address returns the address of the fleet's platform.
func (f *Fleet) Address() lagoonbarrow.Address {
	return f.address
}

// FreePort returns a loopback address that is free.
func FreePort(tb TB) lagoonbarrow.Address {
	return freePorts(tb, 1)[0]
}

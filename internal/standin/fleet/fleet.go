// Package fleet starts node processes with stand-in backend servers and a stand-in
// platform, and injects faults. The history tests and the benchmarks use it.
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
	// PeerKey is the peer key that the fleet's nodes share.
	PeerKey     = "history-peer-key-0001"
	readToken   = "history-read-token-01"
	changeToken = "history-change-token-1"
	// APIKey is the default API key of a Call. Tests pass it to ContractFor.
	APIKey = "history-api-key"
	// StartTimeout bounds the start of a fleet, also on a busy machine.
	StartTimeout = 60 * time.Second
)

// TB is the subset of testing.TB that a fleet uses. The benchmarks implement it
// outside of a test binary.
type TB interface {
	Helper()
	Logf(format string, arguments ...any)
	Fatal(arguments ...any)
	Fatalf(format string, arguments ...any)
	TempDir() string
	Cleanup(cleanup func())
}

// Service describes one service of a fleet. The first service of a fleet receives
// the customers' requests.
type Service struct {
	Name            string
	Instances       int
	Slots           int
	ServiceTime     time.Duration
	LongServiceTime time.Duration
	Downstream      []lagoonbarrow.ServiceName
	Parallel        bool
	Retries         int
	// PeerProxy puts a proxy in front of each node's peer listener, which
	// CutPeerConnections requires.
	PeerProxy bool
}

// Fleet is a platform, backend servers and nodes on the loopback interface.
type Fleet struct {
	TB              TB
	binary          string
	dir             string
	Platform        *platform.Server
	platformAddress lagoonbarrow.Address
	Nodes           []*Node
	extraSettings   string
	http            *http.Client
}

// Start starts a fleet and waits until every node lists all the others. It appends
// extraSettings to the settings file of every node.
func Start(t TB, binary, extraSettings string, services ...Service) *Fleet {
	t.Helper()
	f := &Fleet{
		TB:     t,
		binary: binary,
		dir:    t.TempDir(),
		Platform: platform.New(platform.Config{
			Address: "127.0.0.1:0",
		}),
		extraSettings: extraSettings,
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
	f.platformAddress = address
	t.Cleanup(f.close)
	for _, service := range services {
		for index := range service.Instances {
			f.addNode(service, index)
		}
	}
	started := time.Now()
	f.AwaitMembers(len(f.Nodes))
	t.Logf("all %d nodes listed each other after %s", len(f.Nodes), time.Since(started).Round(time.Millisecond))
	return f
}

func (f *Fleet) close() {
	f.http.CloseIdleConnections()
	var stops sync.WaitGroup
	for _, node := range f.Nodes {
		stops.Add(1)
		go func() {
			defer stops.Done()
			node.Kill()
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			_ = node.Backend.Stop(ctx)
		}()
	}
	stops.Wait()
	_ = f.Platform.Stop()
}

func (f *Fleet) addNode(service Service, index int) *Node {
	f.TB.Helper()
	ports := freePorts(f.TB, 4)
	server, err := backend.New(backend.Config{
		Service:         lagoonbarrow.ServiceName(service.Name),
		Address:         "127.0.0.1:0",
		Node:            ports[1],
		Slots:           service.Slots,
		ServiceTime:     service.ServiceTime,
		LongServiceTime: service.LongServiceTime,
		Distribution:    backend.DistributionUniform,
		Seed:            uint64(index + 1),
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
		fleet:          f,
		Name:           fmt.Sprintf("%s-%d", service.Name, index),
		Service:        service,
		Backend:        server,
		Entry:          ports[0],
		Local:          ports[1],
		Peer:           ports[2],
		Admin:          ports[3],
		BackendAddress: backendAddress,
		Zone:           fmt.Sprintf("zone-%c", 'a'+index%4),
	}
	if service.PeerProxy {
		node.Advertise = freePorts(f.TB, 1)[0]
		node.proxy, err = newPeerProxy(node.Advertise, node.Peer)
		if err != nil {
			f.TB.Fatal(err)
		}
		f.TB.Cleanup(node.proxy.close)
	}
	f.Nodes = append(f.Nodes, node)
	node.Start()
	return node
}

// Nodes listen on ports below the system's range for outgoing connections.
// Otherwise an outgoing connection could occupy a node's port while it restarts.
const (
	firstPort = 10000
	lastPort  = 30000
)

// usedPorts contains the ports that freePorts returned in this process.
var usedPorts sync.Map

// freePorts returns loopback addresses with free ports. It returns no port twice.
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

// NodesOf returns the nodes of a service.
func (f *Fleet) NodesOf(service string) []*Node {
	var nodes []*Node
	for _, node := range f.Nodes {
		if node.Service.Name == service {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// PlatformAddress returns the address of the fleet's platform.
func (f *Fleet) PlatformAddress() lagoonbarrow.Address {
	return f.platformAddress
}

// FreePort returns a loopback address with a free port.
func FreePort(tb TB) lagoonbarrow.Address {
	return freePorts(tb, 1)[0]
}

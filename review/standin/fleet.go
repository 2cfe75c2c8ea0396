package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"lagoonbarrow/platform/standin"
)

// fleet is a store of the platform, and machines with a sidecar process and a backend server
// each.
type fleet struct {
	record  *record
	store   *standin.Store
	dir     string
	network string
	nodes   []*node
	servers []*server
}

// startTimeout bounds the wait for all nodes.
const startTimeout = 20 * time.Second

// errNotReady is returned when the processes don't become ready.
var errNotReady = errors.New("the processes did not become ready")

// newFleet starts a store and one machine for each service in the list.
func newFleet(record *record, services []string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "lagoonbarrow-review")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		record:  record,
		dir:     dir,
		network: freeNetwork(),
	}
	f.limitTime()
	if f.store, err = standin.NewStoreAt(f.network+".250:8309", 1); err != nil {
		return nil, err
	}
	for i, service := range services {
		if err := f.add(i, service); err != nil {
			return f, err
		}
	}
	return f, nil
}

// freeNetwork returns the first three numbers of loopback addresses that nothing listens on.
func freeNetwork() string {
	for {
		network := fmt.Sprintf("127.%d.%d", 100+rand.IntN(100), 1+rand.IntN(250))
		socket, err := net.Listen("tcp", network+".250:8309")
		if err != nil {
			continue
		}
		_ = socket.Close()
		return network
	}
}

func (f *fleet) add(index int, service string) error {
	n := &node{
		name:    fmt.Sprintf("sidecar-zone-a-%d", index+1),
		ip:      fmt.Sprintf("%s.%d", f.network, index+1),
		service: service,
		dir:     filepath.Join(f.dir, fmt.Sprintf("node-%d", index+1)),
		store:   string(f.store.Address()),
	}
	if err := os.Mkdir(n.dir, 0o700); err != nil {
		return err
	}
	s := &server{
		id:        fmt.Sprintf("i-%d", index+1),
		node:      n,
		record:    f.record,
		work:      250 * time.Millisecond,
		bodyBytes: 600,
		slots:     72,
	}
	f.nodes = append(f.nodes, n)
	f.servers = append(f.servers, s)
	if err := s.start(); err != nil {
		return err
	}
	if err := n.start(); err != nil {
		return err
	}
	go s.beat()
	return nil
}

// awaitReady waits until all processes are ready and all servers have been announced.
func (f *fleet) awaitReady() error {
	until := time.Now().Add(startTimeout)
	for time.Now().Before(until) {
		if f.allReady() {
			time.Sleep(2 * heartbeatInterval)
			f.record.say("all %d processes are ready", len(f.nodes))
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errNotReady
}

func (f *fleet) allReady() bool {
	for _, n := range f.nodes {
		if !n.ready() {
			return false
		}
	}
	return true
}

// maxDuration bounds the time of a case.
const maxDuration = 100 * time.Second

// limitTime ends the case with all of its processes when it takes too long or gets a signal.
func (f *fleet) limitTime() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxDuration):
		}
		f.record.say("the case took too long, or was stopped")
		f.close()
		os.Exit(exitNotRun)
	}()
}

// close ends all processes and removes the files.
func (f *fleet) close() {
	for _, s := range f.servers {
		s.exit()
	}
	for _, n := range f.nodes {
		n.kill()
	}
	f.store.Close()
	_ = os.RemoveAll(f.dir)
}

// manifest is the operator's manifest with a read route and a write route.
const manifest = `{"version":%d,"services":[{"name":"reads","health-path":"/health","max-connections":532,"protocol":"h1","tls":false},{"name":"writes","health-path":"/health","max-connections":532,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout":"3000ms","idle-timeout":"15000ms"},"hosts":[{"host":"one.example","paths":[{"name":"r-read","prefix":"/read/","kind":"idempotent","timeout":"%s","target-latency":"1500ms","priority":2,"service":"reads","max-attempts":2},{"name":"r-file","prefix":"/file/","kind":"non_idempotent","timeout":"%s","target-latency":"2000ms","priority":0,"service":"writes","max-attempts":2}]}]}`

// putManifest writes a version of the manifest to the store.
func (f *fleet) putManifest(version int, timeout string) {
	f.store.Put("op", "config", fmt.Appendf(nil, manifest, version, timeout, timeout))
}

package sidecar

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"lagoonbarrow"
	"lagoonbarrow/platform"
	"lagoonbarrow/platform/standin"
)

// fleet is a store with several sidecars and their backend servers.
type fleet struct {
	t       testing.TB
	store   *standin.Store
	members []*member
	version int
	// customers are part of the configuration. Without any, requests need no key.
	customers []standin.Customer
}

// member is a sidecar with its backend server.
type member struct {
	sidecar *Sidecar
	server  *standin.Server
}

// services holds the service of each member.
var services = []string{"alpha", "alpha", "beta"}

// machineCount is the number of loopback addresses in use by this process.
var machineCount atomic.Int64

// newMachine returns a function that builds the addresses of one machine. Each machine
// has its own loopback address, on which no other socket takes its ports.
func newMachine() func(port int) lagoonbarrow.Address {
	number := machineCount.Add(1)
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, number/250, 1+number%250)
	return func(port int) lagoonbarrow.Address {
		return lagoonbarrow.Address(fmt.Sprintf("%s:%d", ip, port))
	}
}

func newFleet(t testing.TB, workDuration time.Duration, responseFault func(string) standin.ResponseFault) *fleet {
	t.Helper()
	store, err := standin.NewStore(1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	f := &fleet{
		t:     t,
		store: store,
	}
	f.configure("alpha")
	for i, service := range services {
		server, err := standin.NewServer(standin.ServerConfig{
			ID:            fmt.Sprintf("i-%d", i),
			Service:       service,
			Slots:         20,
			WorkDuration:  workDuration,
			ResponseFault: responseFault,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Close)
		f.members = append(f.members, &member{
			sidecar: f.start(i, service, server.Address()),
			server:  server,
		})
	}
	for _, m := range f.members {
		f.waitFor("a heartbeat is accepted", func() bool { return m.server.SendHeartbeat(m.sidecar.settings.HeartbeatAddress) == nil })
		f.waitFor("the sidecar is ready", m.ready)
	}
	f.waitFor("all instances are known", func() bool {
		for _, m := range f.members {
			if len(m.sidecar.directory.Instances("alpha")) != 2 || len(m.sidecar.directory.Instances("beta")) != 1 {
				return false
			}
		}
		return true
	})
	return f
}

func (f *fleet) start(index int, service string, server lagoonbarrow.Address) *Sidecar {
	f.t.Helper()
	return f.startAs(lagoonbarrow.InstanceID(fmt.Sprintf("node-%d", index)), service, server)
}

// startAs starts a sidecar with an id, on a machine of its own.
func (f *fleet) startAs(id lagoonbarrow.InstanceID, service string, server lagoonbarrow.Address) *Sidecar {
	f.t.Helper()
	address := newMachine()
	sidecar, err := New(Config{
		Settings: lagoonbarrow.SidecarSettings{
			Instance:          id,
			Zone:              "zone",
			Service:           lagoonbarrow.ServiceName(service),
			ServerAddress:     server,
			RequestAddress:    address(7001),
			ReadyAddress:      address(7002),
			HeartbeatAddress:  address(7003),
			PeerAddress:       address(7004),
			MetricsAddress:    address(7005),
			StoreAddress:      f.store.Address(),
			HeartbeatInterval: time.Second,
			StopTimeout:       6 * time.Second,
			RetryRatio:        0.2,
			RetrySlack:        40,
			RetryWindow:       10 * time.Second,
			MemoryBytes:       256 << 20,
			MaxOpenFiles:      4096,
		},
		Store: platform.NewStore(platform.StoreConfig{
			Address: f.store.Address(),
			Logger:  hclog.NewNullLogger(),
		}),
		Configuration:    platform.ConfigurationSource(),
		Headers:          platform.Headers(),
		HeartbeatHandler: platform.NewHeartbeatHandler,
		Logger:           hclog.NewNullLogger(),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	if err := sidecar.Start(context.Background()); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(sidecar.close)
	return sidecar
}

// configure publishes a configuration that routes requests under /read/ to a service.
func (f *fleet) configure(service string) {
	f.version++
	text := `{"version":VERSION,"services":[{"name":"alpha"},{"name":"beta"}],"hosts":[{"host":"one.example","paths":[` +
		`{"name":"read","prefix":"/read/","kind":"idempotent","timeout":"5s","target-latency":"2s","priority":2,"service":"SERVICE","max-attempts":2},` +
		`{"name":"file","prefix":"/file/","kind":"non_idempotent","timeout":"5s","target-latency":"2s","priority":0,"service":"beta","max-attempts":2}]}]}`
	text = strings.ReplaceAll(text, "VERSION", fmt.Sprint(f.version))
	text = strings.ReplaceAll(text, "SERVICE", service)
	if len(f.customers) > 0 {
		text = standin.WithCustomers(text, f.customers...)
	}
	f.store.Put("op", "config", []byte(text))
}

// waitForVersion waits until the last configuration is in force at all members.
func (f *fleet) waitForVersion() {
	f.t.Helper()
	f.waitFor("the configuration is in force", func() bool {
		return !slices.ContainsFunc(f.members, func(m *member) bool {
			return uint64(m.sidecar.routes.Version()) != uint64(f.version)
		})
	})
}

func (f *fleet) waitFor(condition string, met func() bool) {
	f.t.Helper()
	for range 1500 {
		if met() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("condition not met: %s", condition)
}

func (m *member) ready() bool {
	response, err := http.Get("http://" + string(m.sidecar.settings.ReadyAddress) + "/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// result is the response or the error that a client receives.
type result struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends a request to a member's sidecar over a new connection.
func (m *member) send(method, path, id string) result {
	return m.sendWithKey(method, path, id, "")
}

// sendWithKey sends a request with a customer's key.
func (m *member) sendWithKey(method, path, id, key string) result {
	return m.sendBody(method, path, id, key, strings.NewReader("content"))
}

// sendBody sends a request with a body, and with a customer's key unless that is empty.
func (m *member) sendBody(method, path, id, key string, content io.Reader) result {
	request, err := http.NewRequest(method, "http://"+string(m.sidecar.settings.RequestAddress)+path, content)
	if err != nil {
		return result{
			err: err,
		}
	}
	request.Host = "one.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "5000")
	request.Header.Set("Caller-Service", "forged")
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return result{
			err: err,
		}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return result{
		status: response.StatusCode,
		header: response.Header,
		body:   string(body),
		err:    err,
	}
}

// runs returns how often the backend servers ran a request.
func (f *fleet) runs(id string) int {
	sum := 0
	for _, m := range f.members {
		sum += m.server.Runs(id)
	}
	return sum
}

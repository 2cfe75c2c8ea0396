package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"lagoonbarrow/platform/standin"
)

const (
	// foreignRounds is the number of operations, and foreignWork how long the first request of
	// each runs.
	foreignRounds = 10
	foreignWork   = 1500 * time.Millisecond
	// foreignDelay is the time from the first request of an operation to the others.
	foreignDelay = 300 * time.Millisecond
	foreignPause = 300 * time.Millisecond
)

// The keys of the customers, and one that no configuration holds.
const (
	choirKey   = "key-of-the-choir"
	bandKey    = "key-of-the-band"
	unknownKey = "key-of-nobody"
)

// foreignConfiguration is the operator's configuration without its customers.
const foreignConfiguration = `{"version":3,"services":[{"name":"sale","health-path":"/health"},{"name":"grafiki","health-path":"/health"}],` +
	`"hosts":[{"host":"one.example","paths":[{"name":"kalendarz-sali","prefix":"/hall/","kind":"idempotent","timeout":"5s","target-latency":"1500ms",` +
	`"priority":2,"max-attempts":2,"service":"sale"}]}]}`

// playForeignCustomer sends requests of two customers, and some with a key of nobody. The ids of an
// operation are hierarchical: its first request has the id of the operation, and the others add a
// dot and a number. Without the disruption they add a dash.
func playForeignCustomer(f *fleet) error {
	f.store.Put("op", "config", []byte(standin.WithCustomers(foreignConfiguration,
		standin.Customer{
			Name: "choir",
			Key:  choirKey,
		},
		standin.Customer{
			Name: "band",
			Key:  bandKey,
		})))
	runs := &customerRuns{
		customers: map[string]string{},
	}
	respond := func(request exchange) []byte {
		customer := request.header.Get("Tenant")
		f.record.note("%s runs, Tenant %q, Authorization %q", request.id, customer, request.header.Get("Authorization"))
		runs.add(request.id, customer)
		if request.path == "/hall/long" {
			time.Sleep(foreignWork)
		}
		body := "calendar of " + customer
		return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: 3e1b.07\r\nContent-Length: %d\r\n\r\n%s", request.id, len(body), body)
	}
	for _, service := range []string{"sale", "grafiki"} {
		if _, err := f.start(service, respond); err != nil {
			return err
		}
	}
	if err := f.awaitReady(); err != nil {
		return err
	}
	separator := "."
	if !trouble() {
		separator = "-"
	}
	for round := range foreignRounds {
		f.playOperation(fmt.Sprintf("op%d", round), separator, runs)
		time.Sleep(foreignPause)
	}
	if runs.count() == 0 {
		return fmt.Errorf("no request was run")
	}
	return nil
}

// playOperation sends the requests of one operation and checks under which customer they ran.
func (f *fleet) playOperation(id, separator string, runs *customerRuns) {
	var first sync.WaitGroup
	first.Go(func() {
		f.sendAs(sending{
			id:   id,
			path: "/hall/long",
			key:  choirKey,
		})
	})
	time.Sleep(foreignDelay)
	ofBand := id + separator + "1"
	f.sendAs(sending{
		id:   ofBand,
		path: "/hall/short",
		key:  bandKey,
	})
	ofNobody := id + separator + "2"
	f.sendAs(sending{
		id:   ofNobody,
		path: "/hall/short",
		key:  unknownKey,
	})
	first.Wait()
	if customer, ran := runs.of(ofBand); ran && customer != "band" {
		f.record.breakRule("UNASKED: %s, sent with the key of the band, ran as a request of %q", ofBand, customer)
	}
	if customer, ran := runs.of(ofNobody); ran {
		f.record.breakRule("ROUTE: %s, sent with a key that no configuration ever held, ran as a request of %q", ofNobody, customer)
	}
}

// sendAs sends a request and records the answer.
func (f *fleet) sendAs(sent sending) {
	sent.method = http.MethodGet
	answer := newClient(f.machines[0]).send(sent)
	f.record.note("%s with the key %q got status %d, body %q", sent.id, sent.key, answer.status, answer.body)
}

// customerRuns holds the customers under which requests ran.
type customerRuns struct {
	mu        sync.Mutex
	customers map[string]string
}

func (c *customerRuns) add(id, customer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.customers[id] = customer
}

func (c *customerRuns) of(id string) (customer string, ran bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	customer, ran = c.customers[id]
	return customer, ran
}

func (c *customerRuns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.customers)
}

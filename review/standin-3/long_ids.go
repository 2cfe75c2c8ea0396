package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The load of the case. The request head of a client stays below max-header-bytes (16,384).
const (
	longIDClients     = 800
	ordinaryClients   = 10
	longIDBytes       = 15000
	longIDTime        = 20 * time.Second
	longIDWork        = 100 * time.Millisecond
	longIDTimeout     = 6000 * time.Millisecond
	ordinaryTimeout   = 1200 * time.Millisecond
	longIDConnectGap  = 2 * time.Millisecond
	ordinaryPause     = 50 * time.Millisecond
	unansweredTime    = 500 * time.Millisecond
	minUnanswered     = 8
	maxUnansweredPart = 0.5
)

// longIDConfiguration is the operator's configuration: the routes of the clients with long ids and of the ordinary ones.
const longIDConfiguration = `{"version":3,"services":[{"name":"rejestr","health-path":"/health"},{"name":"porzadek","health-path":"/health"}],` +
	`"hosts":[{"host":"one.example","paths":[` +
	`{"name":"agenda-read","prefix":"/agenda/","kind":"idempotent","timeout":"6000ms","target-latency":"1500ms",` +
	`"priority":1,"max-attempts":2,"service":"porzadek"},` +
	`{"name":"resolution-lookup","prefix":"/lookup/","kind":"idempotent","timeout":"1200ms","target-latency":"300ms",` +
	`"priority":1,"max-attempts":2,"service":"rejestr"}]}]}`

// playLongIDs lets many clients send requests with long ids of dots, beside ordinary clients.
// Without the disruption the ids are as long and have dashes.
func playLongIDs(f *fleet) error {
	f.store.Put("op", "config", []byte(longIDConfiguration))
	respond := func(request exchange) []byte {
		time.Sleep(longIDWork)
		return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: 3e1b.07\r\nContent-Length: 2\r\n\r\nok", request.id)
	}
	for _, service := range []string{"rejestr", "porzadek"} {
		if _, err := f.start(service, respond); err != nil {
			return err
		}
	}
	if err := f.awaitReady(); err != nil {
		return err
	}
	fill := strings.Repeat(".", longIDBytes)
	if !trouble() {
		fill = strings.Repeat("-", longIDBytes)
	}
	end := time.Now().Add(longIDTime)
	uncontrolled := &answerTimes{
		path:    "/agenda/x",
		timeout: longIDTimeout,
	}
	ordinary := &answerTimes{
		path:    "/lookup/x",
		timeout: ordinaryTimeout,
	}
	var clients sync.WaitGroup
	for number := range longIDClients {
		clients.Go(func() {
			time.Sleep(time.Duration(number) * longIDConnectGap)
			f.sendFor(uncontrolled, fmt.Sprintf("u%s%d", fill, number), 0, end)
		})
	}
	for number := range ordinaryClients {
		clients.Go(func() { f.sendFor(ordinary, fmt.Sprintf("o%d", number), ordinaryPause, end) })
	}
	clients.Wait()
	f.record.printf("clients with long ids: %s", uncontrolled)
	f.record.printf("ordinary clients: %s", ordinary)
	if ordinary.total == 0 {
		return fmt.Errorf("no request was sent")
	}
	late := uncontrolled.late + ordinary.late
	unanswered := uncontrolled.unanswered + ordinary.unanswered
	if unanswered >= minUnanswered && float64(unanswered) > maxUnansweredPart*float64(late) {
		f.record.breakRule("CONFIG: of %d requests without an answer at their route's timeout, %d had none %s later", late, unanswered, unansweredTime)
	}
	return nil
}

// sendFor sends one request after another until the end, and waits after a refusal for as long
// as it says.
func (f *fleet) sendFor(times *answerTimes, id string, pause time.Duration, end time.Time) {
	c := newClient(f.machines[0])
	for i := 0; time.Now().Before(end); i++ {
		started := time.Now()
		answer := c.send(sending{
			id:     fmt.Sprintf("%s-%d", id, i),
			method: http.MethodGet,
			path:   times.path,
		})
		took := time.Since(started)
		times.add(took, answer.status)
		if took > times.timeout {
			f.record.note("%.8s... %d got status %d after %s", id, i, answer.status, took)
		}
		time.Sleep(max(pause, answer.retryAfter))
	}
}

// answerTimes counts the answers of some clients, which use one route, by the time that they took.
type answerTimes struct {
	path    string
	timeout time.Duration

	mu sync.Mutex
	// late counts the requests without an answer at the timeout, and unanswered those that had
	// none unansweredTime later either.
	total, served, late, unanswered int
	longest                         time.Duration
}

func (a *answerTimes) add(took time.Duration, status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.total++
	if status == http.StatusOK {
		a.served++
	}
	if took > a.timeout {
		a.late++
	}
	if took > a.timeout+unansweredTime {
		a.unanswered++
	}
	a.longest = max(a.longest, took)
}

// String describes the counts.
func (a *answerTimes) String() string {
	return fmt.Sprintf("%d requests, %d served, %d without an answer at the timeout, %d of these without one %s later, longest time %s",
		a.total, a.served, a.late, a.unanswered, unansweredTime, a.longest.Round(time.Millisecond))
}

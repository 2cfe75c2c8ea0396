package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// crashedWork is how long a request runs.
	crashedWork = time.Second
	// crashedRate is the time between two requests at each machine.
	crashedRate = 50 * time.Millisecond
	// downTimeOfServer is the time from the crash to the next run, leavingDelay from there to
	// its leaving, and servingTime from the leaving to its exit.
	downTimeOfServer = time.Second
	leavingDelay     = 2500 * time.Millisecond
	servingTime      = 8 * time.Second
	// lateHeartbeats is the number of heartbeats that are late. firstLate and secondLate are when the late heartbeats arrive after the leaving.
	lateHeartbeats = 2
	firstLate      = 1100 * time.Millisecond
	secondLate     = 1950 * time.Millisecond
	// drainBound is the bound "drain" of the site.
	drainBound = 2 * time.Second
)

// crashedConfiguration is the operator's configuration: one idempotent route.
const crashedConfiguration = `{"version":3,"services":[{"name":"uchwaly","health-path":"/health"},{"name":"porzadek","health-path":"/health"}],` +
	`"hosts":[{"host":"one.example","paths":[{"name":"agenda-read","prefix":"/agenda/","kind":"idempotent","timeout":"6s","target-latency":"1500ms",` +
	`"priority":1,"max-attempts":2,"service":"uchwaly"}]}]}`

// playCrashedRun lets a server crash, start again under its id and leave. Two heartbeats from before
// the crash arrive late. Without the disruption it leaves without a crash, and the same two
// heartbeats arrive late.
func playCrashedRun(f *fleet) error {
	f.store.Put("op", "config", []byte(crashedConfiguration))
	leaver := &leavingServer{}
	if _, err := f.start("porzadek", crashedAnswer); err != nil {
		return err
	}
	if _, err := f.start("uchwaly", crashedAnswer); err != nil {
		return err
	}
	m, err := f.startSilent("uchwaly", leaver.answer)
	if err != nil {
		return err
	}
	leaver.machine = m
	leaver.record = f.record
	leaver.start()
	beats := leaver.beatAlways()
	defer close(beats)
	if err := f.awaitReady(); err != nil {
		return err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for number, entry := range f.machines {
		clients.Go(func() { f.sendAgendas(number, entry, stop, &clients) })
	}
	err = f.playLeaving(leaver)
	close(stop)
	clients.Wait()
	if err != nil {
		return err
	}
	return f.judgeLeaving(leaver)
}

// playLeaving plays the crash, the leaving and the late heartbeats.
func (f *fleet) playLeaving(leaver *leavingServer) error {
	time.Sleep(settleTime)
	late := leaver.holdBack()
	for len(late.bodies()) < lateHeartbeats {
		time.Sleep(readyPollInterval)
	}
	if trouble() {
		f.record.printf("the server crashes")
		leaver.crash()
	}
	time.Sleep(downTimeOfServer)
	leaver.deliverAgain()
	if trouble() {
		f.record.printf("the server starts again under its id")
		if err := leaver.startAgain(); err != nil {
			return err
		}
	}
	time.Sleep(leavingDelay)
	if err := leaver.leave(); err != nil {
		return err
	}
	time.Sleep(time.Until(leaver.leftAt.Add(firstLate)))
	f.record.printf("a heartbeat from before arrives, %s late: %s", time.Since(late.sent[0]).Round(time.Millisecond), leaver.deliver(late.held[0]))
	time.Sleep(time.Until(leaver.leftAt.Add(secondLate)))
	f.record.printf("the next one arrives, %s late: %s", time.Since(late.sent[1]).Round(time.Millisecond), leaver.deliver(late.held[1]))
	time.Sleep(time.Until(leaver.leftAt.Add(servingTime)))
	f.record.printf("the server exits")
	leaver.crash()
	return nil
}

// judgeLeaving checks that no request has arrived at the server later than the bound after its
// leaving was acknowledged.
func (f *fleet) judgeLeaving(leaver *leavingServer) error {
	leaver.mu.Lock()
	defer leaver.mu.Unlock()
	before, after := 0, 0
	for _, arrival := range leaver.arrivals {
		switch since := arrival.at.Sub(leaver.leftAt); {
		case since > drainBound:
			after++
			f.record.note("%s arrived %s after the acknowledgement", arrival.id, since)
		case since < 0:
			before++
		}
	}
	f.record.printf("%d requests arrived before the leaving, and %d later than %s after its acknowledgement", before, after, drainBound)
	if before == 0 {
		return fmt.Errorf("no request arrived at the server")
	}
	if after > 0 {
		f.record.breakRule("DRAIN: %d requests arrived later than %s after the leaving was acknowledged", after, drainBound)
	}
	return nil
}

// sendAgendas sends a request at a machine at each tick.
func (f *fleet) sendAgendas(number int, entry *machine, stop <-chan struct{}, clients *sync.WaitGroup) {
	ticker := time.NewTicker(crashedRate)
	defer ticker.Stop()
	c := newClient(entry)
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		id := fmt.Sprintf("a%d-%d", number, i)
		clients.Go(func() {
			answer := c.send(sending{
				id:     id,
				method: http.MethodGet,
				path:   "/agenda/x",
			})
			f.record.note("%s at %s got status %d", id, entry.name, answer.status)
		})
	}
}

func crashedAnswer(request exchange) []byte {
	time.Sleep(crashedWork)
	return []byte(chunkedAnswer(request.id))
}

// arrival is a request that has arrived at a server.
type arrival struct {
	id string
	at time.Time
}

// leavingServer is the backend server of a machine, of which one run may follow another.
type leavingServer struct {
	machine *machine
	record  *record

	mu       sync.Mutex
	running  bool
	born     time.Time
	sequence int
	leaving  bool
	// leftAt is when its leaving was acknowledged.
	leftAt   time.Time
	arrivals []arrival
	// held takes the heartbeats in place of the node, unless it is nil.
	held *heldBack
}

// heldBack holds heartbeats that are delivered late.
type heldBack struct {
	mu   sync.Mutex
	held []string
	sent []time.Time
}

func (h *heldBack) add(body string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held = append(h.held, body)
	h.sent = append(h.sent, time.Now())
}

func (h *heldBack) bodies() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.held
}

// answer runs a request. The answers of a server that leaves say so.
func (l *leavingServer) answer(request exchange) []byte {
	l.mu.Lock()
	l.arrivals = append(l.arrivals, arrival{
		id: request.id,
		at: time.Now(),
	})
	l.mu.Unlock()
	time.Sleep(crashedWork)
	text := chunkedAnswer(request.id)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving {
		text = strings.Replace(text, "\r\n", "\r\nServer-Leaving: 1\r\n", 1)
	}
	return []byte(text)
}

func (l *leavingServer) start() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running = true
	l.born = time.Now()
	l.sequence = 0
}

// beatAlways sends a heartbeat at each interval while the server runs, until the channel is closed.
func (l *leavingServer) beatAlways() chan struct{} {
	stop := make(chan struct{})
	go func() {
		ticker := time.NewTicker(heartbeatInterval)
		defer ticker.Stop()
		for {
			l.beat()
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
		}
	}()
	return stop
}

// beat sends a heartbeat, or holds it back, and returns the status.
func (l *leavingServer) beat() string {
	l.mu.Lock()
	if !l.running {
		l.mu.Unlock()
		return "not running"
	}
	l.sequence++
	state := "ready"
	if l.leaving {
		state = "draining"
	}
	body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":"zone-a","slots":%d},"status":{"state":%q,"sequence":%d,"cold-remaining":"0ms"}}`,
		l.machine.server.config.address, l.born.UnixMilli(), l.machine.server.config.service, serverSlots, state, l.sequence)
	held := l.held
	l.mu.Unlock()
	if held != nil {
		held.add(body)
		return "held back"
	}
	status := l.deliver(body)
	l.record.note("heartbeat %s: %s", body, status)
	return status
}

// deliver sends the body of a heartbeat and returns the status.
func (l *leavingServer) deliver(body string) string {
	request, err := http.NewRequest(http.MethodPut, "http://"+net.JoinHostPort(l.machine.ip, heartbeatPort)+"/instances/"+l.machine.server.config.id, strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	client := http.Client{
		Timeout: heartbeatTimeout,
	}
	response, err := client.Do(request)
	if err != nil {
		return err.Error()
	}
	_ = response.Body.Close()
	return response.Status
}

// holdBack makes further heartbeats late.
func (l *leavingServer) holdBack() *heldBack {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = &heldBack{}
	return l.held
}

func (l *leavingServer) deliverAgain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = nil
}

// crash ends the run with its connections.
func (l *leavingServer) crash() {
	l.mu.Lock()
	l.running = false
	l.mu.Unlock()
	l.machine.server.close()
}

// startAgain begins the next run under the same id and address.
func (l *leavingServer) startAgain() error {
	next, err := newServer(l.machine.server.config)
	if err != nil {
		return err
	}
	l.machine.server = next
	l.start()
	l.beat()
	return nil
}

// leave says that the server is draining until that is acknowledged.
func (l *leavingServer) leave() error {
	l.mu.Lock()
	l.leaving = true
	l.mu.Unlock()
	status := l.beat()
	if status != "200 OK" {
		return fmt.Errorf("the leaving was not acknowledged: %s", status)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leftAt = time.Now()
	l.record.printf("the server is draining, acknowledged")
	return nil
}

package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lagoonbarrow"
)

const (
	// simTick is the step of the simulated time.
	simTick = 5 * time.Millisecond
	// window is the time over which the bound holds.
	window = 5 * time.Second
	// inForceBy is when a change of the limits is in force on all nodes.
	inForceBy = 2500 * time.Millisecond
)

// tokenProcess is one process of a node in the simulation.
type tokenProcess struct {
	id     lagoonbarrow.InstanceID
	clock  moment
	node   *tokenNode
	keeper *keeper
	// frozenFor and suspendedFor are the rest of the time in which the process stands still.
	frozenFor    time.Duration
	suspendedFor time.Duration
	// missed is the time that the clocks have not shown yet.
	missedMonotonic time.Duration
	missedWall      time.Duration
	dead            bool
	// inFlight holds the message of each group that has no reply yet.
	inFlight [keeperGroups]*simMessage
	nextAt   [keeperGroups]time.Duration
	// probing is the time until which the node waits for the reply to a probe.
	probing [keeperGroups]time.Duration
	waiting []simWaiter
	// viewUntil is when the process knows all members again.
	viewUntil time.Duration
	// configuredAt is when the process takes over the limits.
	configuredAt time.Duration
	configured   int
}

type simWaiter struct {
	customer lagoonbarrow.CustomerID
	waiter   *waiter
	until    time.Duration
}

// simMessage is a message or its reply on the way.
type simMessage struct {
	from, to *tokenProcess
	sent     outgoing
	reply    *tokenReply
	at       time.Duration
	// timeoutAt is when the sender gives up.
	timeoutAt time.Duration
}

// limitChange is a configuration of the simulation.
type limitChange struct {
	at     time.Duration
	limits customerLimits
}

// tokenSimulation runs the accounting of several nodes without a network.
type tokenSimulation struct {
	random    *rand.Rand
	now       time.Duration
	processes []*tokenProcess
	// former holds processes that were replaced while they stood still.
	former    []*tokenProcess
	messages  []*simMessage
	instances []lagoonbarrow.Instance
	changes   []limitChange
	customers []lagoonbarrow.CustomerID
	// demand returns the requests per second of a customer at a node.
	demand func(now time.Duration, customer lagoonbarrow.CustomerID, node int) float64
	// partition holds the side of each node.
	partition map[lagoonbarrow.InstanceID]int
	// refusing is set while the network refuses connections between the sides at once. Without
	// it, messages between them are lost.
	refusing bool
	// loss is the fraction of messages that are lost, and late the fraction that are late or
	// doubled.
	loss, late float64
	started    int
	admitted   map[lagoonbarrow.CustomerID][]time.Duration
	refused    map[lagoonbarrow.CustomerID]int
	uncertain  map[lagoonbarrow.CustomerID]int
	sentCount  int
	// worst is the largest fraction of a bound that a window has used.
	worst     float64
	waitedFor int
}

func newTokenSimulation(seed uint64, nodes int, limits customerLimits) *tokenSimulation {
	s := &tokenSimulation{
		random:    rand.New(rand.NewPCG(seed, 1)),
		partition: map[lagoonbarrow.InstanceID]int{},
		admitted:  map[lagoonbarrow.CustomerID][]time.Duration{},
		refused:   map[lagoonbarrow.CustomerID]int{},
		uncertain: map[lagoonbarrow.CustomerID]int{},
		changes: []limitChange{
			{
				limits: limits,
			},
		},
	}
	for id := range limits {
		s.customers = append(s.customers, id)
	}
	slices.Sort(s.customers)
	for i := range nodes {
		s.instances = append(s.instances, lagoonbarrow.Instance{
			ID:    lagoonbarrow.InstanceID(fmt.Sprintf("node-%d", i)),
			State: lagoonbarrow.StateReady,
		})
	}
	for i := range nodes {
		s.processes = append(s.processes, s.start(s.instances[i].ID))
	}
	return s
}

// start starts a process of a node, with the latest limits and all members.
func (s *tokenSimulation) start(id lagoonbarrow.InstanceID) *tokenProcess {
	s.started++
	process := processID(s.started)
	p := &tokenProcess{
		id:         id,
		keeper:     newKeeper(process),
		configured: -1,
	}
	p.node = newTokenNode(p.clock, process)
	s.setMembers(p, s.instances)
	for i := range p.nextAt {
		p.nextAt[i] = s.now + s.upTo(20*time.Millisecond)
	}
	p.configuredAt = s.now
	return p
}

func (s *tokenSimulation) upTo(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

func (s *tokenSimulation) setMembers(p *tokenProcess, members []lagoonbarrow.Instance) {
	p.keeper.setMembers(p.clock, p.node.setMembers(members))
}

// changeLimits changes the limits, which nodes take over within inForceBy.
func (s *tokenSimulation) changeLimits(limits customerLimits) {
	s.changes = append(s.changes, limitChange{
		at:     s.now,
		limits: limits,
	})
	for _, p := range s.processes {
		due := s.now + s.upTo(inForceBy-simTick)
		if p.configured < len(s.changes)-2 {
			// The change before this one is due already.
			due = min(due, p.configuredAt)
		}
		p.configuredAt = due
	}
}

// run runs the simulation for a time.
func (s *tokenSimulation) run(duration time.Duration) {
	for end := s.now + duration; s.now < end; {
		s.step()
	}
}

// runForShare runs the simulation for a time, and returns the largest share of the rates that the
// keepers of one group had together.
func (s *tokenSimulation) runForShare(duration time.Duration) float64 {
	largest := 0.0
	for end := s.now + duration; s.now < end; {
		s.step()
		var shares [keeperGroups]float64
		for _, p := range s.processes {
			p.keeper.advance(p.clock)
			for i := range shares {
				shares[i] += p.keeper.groups[i].share
			}
		}
		largest = max(largest, slices.Max(shares[:]))
	}
	return largest
}

func (s *tokenSimulation) step() {
	s.now += simTick
	for _, p := range append(slices.Clone(s.processes), s.former...) {
		if s.pass(p) {
			s.configure(p)
		}
	}
	s.deliver()
	for i, p := range s.processes {
		if p.running() {
			s.arrive(i, p)
			s.send(p)
			s.settle(p)
		}
	}
}

func (p *tokenProcess) running() bool {
	return !p.dead && p.frozenFor <= 0 && p.suspendedFor <= 0
}

// pass lets a tick pass for the clocks of a process, and reports whether it runs.
func (s *tokenSimulation) pass(p *tokenProcess) bool {
	p.missedWall += simTick
	if p.suspendedFor <= 0 {
		p.missedMonotonic += simTick
	}
	p.frozenFor -= simTick
	p.suspendedFor -= simTick
	if !p.running() {
		return false
	}
	p.clock = p.clock.after(p.missedMonotonic, p.missedWall)
	p.missedMonotonic, p.missedWall = 0, 0
	return true
}

func (s *tokenSimulation) configure(p *tokenProcess) {
	if p.viewUntil > 0 && s.now >= p.viewUntil {
		p.viewUntil = 0
		s.setMembers(p, s.instances)
	}
	latest := len(s.changes) - 1
	if s.now < p.configuredAt || p.configured == latest {
		return
	}
	p.configured = latest
	p.keeper.configure(p.clock, s.changes[latest].limits)
	p.node.configure(lagoonbarrow.ConfigurationVersion(latest+1), s.changes[latest].limits)
}

// deliver delivers the messages and replies that are due.
func (s *tokenSimulation) deliver() {
	due := s.messages
	s.messages = nil
	for _, m := range due {
		switch {
		case m.at > s.now:
			s.messages = append(s.messages, m)
		case m.reply == nil:
			s.deliverRequest(m)
		default:
			s.deliverReply(m)
		}
	}
}

func (s *tokenSimulation) connected(m *simMessage) bool {
	return s.partition[m.from.id] == s.partition[m.to.id]
}

// refuses reports whether the connection for a message is refused: by the host of a process that
// is gone, or by the network.
func (s *tokenSimulation) refuses(m *simMessage) bool {
	if s.connected(m) {
		return m.to.dead
	}
	return s.refusing
}

func (s *tokenSimulation) deliverRequest(m *simMessage) {
	if m.to.dead || !s.connected(m) {
		return
	}
	if !m.to.running() {
		// The message waits in the buffers of the connection.
		m.at = s.now + simTick
		s.messages = append(s.messages, m)
		return
	}
	reply := m.to.keeper.handle(m.to.clock, m.from.id, m.sent.message)
	answer := *m
	answer.reply = reply
	s.transmit(&answer)
}

// transmit puts a message on its way, which may be late, lost or doubled.
func (s *tokenSimulation) transmit(m *simMessage) {
	if s.random.Float64() < s.loss || !s.connected(m) {
		return
	}
	m.at = s.now + s.upTo(2*simTick)
	if s.random.Float64() < s.late {
		m.at += s.upTo(2 * time.Second)
	}
	s.messages = append(s.messages, m)
	if s.random.Float64() < s.late {
		doubled := *m
		doubled.at += s.upTo(2 * time.Second)
		s.messages = append(s.messages, &doubled)
	}
}

func (s *tokenSimulation) deliverReply(m *simMessage) {
	p := m.from
	group := m.sent.message.Group
	if m.sent.probe {
		if p.running() && s.now < p.probing[group] {
			p.node.receive(p.clock, m.sent, m.reply)
		}
		return
	}
	if p.dead || p.inFlight[group] == nil || p.inFlight[group].sent.message != m.sent.message {
		return
	}
	if !p.running() {
		m.at = s.now + simTick
		s.messages = append(s.messages, m)
		return
	}
	p.inFlight[group] = nil
	delay, refused := p.node.receive(p.clock, m.sent, m.reply)
	for _, r := range refused {
		for _, w := range r.requests {
			w.done <- errUnlisted
			if r.held.exceeded(p.clock.fast) {
				s.refused[r.customer]++
			} else {
				s.uncertain[r.customer]++
			}
		}
	}
	p.nextAt[group] = s.now + delay
}

// arrive sends the clients' requests of one tick to a node.
func (s *tokenSimulation) arrive(index int, p *tokenProcess) {
	if p.configured < 0 {
		return
	}
	// The order makes a run depend on its seed only.
	for _, id := range s.customers {
		expected := s.demand(s.now, id, index) * simTick.Seconds()
		for range s.poisson(expected) {
			s.request(p, id)
		}
	}
}

func (s *tokenSimulation) poisson(expected float64) int {
	count := 0
	for product := s.random.Float64(); product > math.Exp(-expected); product *= s.random.Float64() {
		count++
	}
	return count
}

func (s *tokenSimulation) request(p *tokenProcess, id lagoonbarrow.CustomerID) {
	decision, wake := p.node.take(p.clock.fast, id)
	switch decision {
	case verdictTaken:
		s.admit(p, id)
	case verdictWaiting:
		s.waitedFor++
		request := &waiter{
			done: make(chan error, 1),
		}
		p.node.join(id, request)
		p.waiting = append(p.waiting, simWaiter{
			customer: id,
			waiter:   request,
			until:    s.now + tokenWait,
		})
	case verdictRefused:
		s.refused[id]++
	case verdictUnlisted:
	}
	if wake {
		p.nextAt[groupOf(id)] = s.now
	}
}

// admit lets a request through, which is refused further on and returned at times.
func (s *tokenSimulation) admit(p *tokenProcess, id lagoonbarrow.CustomerID) {
	if s.late > 0 && s.random.IntN(10) == 0 {
		p.node.giveBack(p.clock.fast, id)
		return
	}
	s.admitted[id] = append(s.admitted[id], s.now)
}

// send sends the messages of a node that are due, and gives up those without a reply.
func (s *tokenSimulation) send(p *tokenProcess) {
	for group := range p.inFlight {
		if waiting := p.inFlight[group]; waiting != nil {
			how := failureTimeout
			if s.refuses(waiting) {
				how = failureRefused
			} else if s.now < waiting.timeoutAt {
				continue
			}
			p.inFlight[group] = nil
			p.node.fail(p.clock, waiting.sent, how)
			p.nextAt[group] = s.now + retryDelay
		}
		if s.now >= p.nextAt[group] {
			s.sendNext(p, group)
			s.sendProbe(p, group)
		}
	}
}

func (s *tokenSimulation) sendNext(p *tokenProcess, group int) {
	sent, found := p.node.next(p.clock, group)
	if !found {
		p.nextAt[group] = s.now + noKeeperDelay
		return
	}
	s.sentCount++
	m := &simMessage{
		from:      p,
		to:        s.processOf(sent.to.ID),
		sent:      sent,
		timeoutAt: s.now + messageTimeout,
	}
	p.inFlight[group] = m
	p.nextAt[group] = s.now + time.Hour
	copied := *m
	s.transmit(&copied)
}

// sendProbe sends a probe, for which a node waits beside its messages.
func (s *tokenSimulation) sendProbe(p *tokenProcess, group int) {
	sent, found := p.node.probe(p.clock, group)
	if !found || p.probing[group] > s.now {
		return
	}
	p.probing[group] = s.now + messageTimeout
	s.transmit(&simMessage{
		from: p,
		to:   s.processOf(sent.to.ID),
		sent: sent,
	})
}

func (s *tokenSimulation) processOf(id lagoonbarrow.InstanceID) *tokenProcess {
	for _, p := range s.processes {
		if p.id == id {
			return p
		}
	}
	return nil
}

// settle counts the waiting requests that have got a token or gave up.
func (s *tokenSimulation) settle(p *tokenProcess) {
	kept := p.waiting[:0]
	for _, waiting := range p.waiting {
		select {
		case err := <-waiting.waiter.done:
			if err == nil {
				s.admit(p, waiting.customer)
			}
			continue
		default:
		}
		if s.now < waiting.until {
			kept = append(kept, waiting)
			continue
		}
		held := p.node.balance(waiting.customer)
		held.abandon(waiting.waiter)
		if held.exceeded(p.clock.fast) {
			s.refused[waiting.customer]++
		} else {
			s.uncertain[waiting.customer]++
		}
	}
	p.waiting = kept
}

// violation describes the first window that exceeds the bound, or "".
func (s *tokenSimulation) violation() string {
	for id, times := range s.admitted {
		first := 0
		for last := range times {
			for times[last]-times[first] >= window {
				first++
			}
			s.worst = max(s.worst, float64(last-first+1)/s.bound(id, times[last]-window, times[last]))
			if bound := s.bound(id, times[last]-window, times[last]); float64(last-first+1) > bound {
				return fmt.Sprintf("%s: %d requests in the 5 s before %s, %.1f are allowed", id, last-first+1, times[last], bound)
			}
		}
	}
	return ""
}

// bound returns the most requests of a customer in a window. A lower limit applies to windows
// that begin when it is in force.
func (s *tokenSimulation) bound(id lagoonbarrow.CustomerID, from, to time.Duration) float64 {
	most := 0.0
	for i, change := range s.changes {
		replaced := i+1 < len(s.changes) && s.changes[i+1].at+inForceBy <= from
		if change.at > to || replaced {
			continue
		}
		limit := change.limits[id]
		most = max(most, (limit.RequestsPerSecond*window.Seconds()+limit.BurstRequests)*1.1+20)
	}
	return most
}

// share returns the fraction of a customer's requests that were refused.
func (s *tokenSimulation) share(id lagoonbarrow.CustomerID) float64 {
	refused := s.refused[id] + s.uncertain[id]
	return float64(refused) / float64(max(refused+len(s.admitted[id]), 1))
}

package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"lagoonbarrow"
)

// delivery is one report on its way, and its answer on the way back.
type delivery struct {
	from  *Quota
	name  lagoonbarrow.InstanceID
	batch *batch
	reply *answer
	// abandoned is set when the sender no longer waits for the answer.
	abandoned bool
}

// issue tells which process granted a share, and when.
type issue struct {
	owner *Quota
	at    time.Time
}

// schedule drives nodes one step at a time: any message may be late or lost,
// any process may pause or restart, and views of the members may differ.
type schedule struct {
	*world
	paused     map[lagoonbarrow.InstanceID]bool
	deliveries []*delivery
	issues     map[grantID]issue
	// admitted is the work that all nodes admitted, and supplied what they could
	// have: floors, shares, credit and the debt of one request for each process.
	admitted lagoonbarrow.WorkUnits
	supplied lagoonbarrow.WorkUnits
	// given is what each owner process gave since it started: credit less
	// returned work, and the shares in use.
	given   map[*Quota]lagoonbarrow.WorkUnits
	started map[*Quota]time.Time
}

// mostUnits is the largest request of a schedule.
const mostUnits = 60

func newSchedule() *schedule {
	s := &schedule{
		world:   newWorld(5),
		paused:  map[lagoonbarrow.InstanceID]bool{},
		issues:  map[grantID]issue{},
		given:   map[*Quota]lagoonbarrow.WorkUnits{},
		started: map[*Quota]time.Time{},
	}
	for _, node := range s.nodes {
		s.begin(node)
	}
	return s
}

func (s *schedule) begin(node *Quota) {
	allowed := node.limitsOf(s.contract)
	s.supplied += allowed.capacity(allowed.floor) + mostUnits
	s.started[node] = s.now
}

// pass lets time pass and adds up what the nodes are supplied with.
func (s *schedule) pass(duration time.Duration) {
	for _, node := range s.nodes {
		rest := duration
		if held, valid := s.share(node); valid {
			used := min(rest, held.until.Sub(s.now))
			units := held.share * lagoonbarrow.WorkUnits(used.Seconds())
			s.supplied += units
			s.given[s.issues[held.grant].owner] += units
			rest -= used
		}
		s.supplied += node.limitsOf(s.contract).floor * lagoonbarrow.WorkUnits(rest.Seconds())
	}
	s.now = s.now.Add(duration)
}

// step carries out one step; the low part of the code chooses it and the rest
// its parameters.
func (s *schedule) step(code uint32) {
	parameter := int(code / 16)
	member := s.members[parameter%len(s.members)]
	node := s.nodes[member.ID]
	switch code % 16 {
	case 0, 1:
		s.pass(time.Duration(parameter%700) * time.Millisecond)
	case 2, 3, 4:
		units := lagoonbarrow.WorkUnits(1 + parameter/8%mostUnits)
		if ok, _ := node.AllowLevel(s.contract, units, lagoonbarrow.Importance(1+parameter/512%3)); ok {
			s.admitted += units
		}
	case 5, 6, 7:
		s.report(member, node)
	case 8, 9, 10:
		s.deliver(parameter)
	case 11, 12:
		s.reply(parameter)
	case 13:
		s.giveUp(parameter)
	case 14:
		s.paused[member.ID] = parameter/8%3 == 0
	case 15:
		s.disturb(member, parameter/len(s.members))
	}
}

// report begins a round and gives up all reports of the node before it.
func (s *schedule) report(member lagoonbarrow.Instance, node *Quota) {
	if s.paused[member.ID] {
		return
	}
	for _, earlier := range s.deliveries {
		if earlier.from == node {
			earlier.abandoned = true
		}
	}
	node.updateMembers()
	node.ledger.clean(s.now)
	for _, batch := range node.prepare(node.due(false)) {
		for _, entry := range batch.report.Entries {
			s.supplied -= entry.Returned
		}
		s.deliveries = append(s.deliveries, &delivery{
			from:  node,
			name:  member.ID,
			batch: batch,
		})
	}
}

// choose returns one of the deliveries that are in a state, or nil.
func (s *schedule) choose(parameter int, state func(*delivery) bool) *delivery {
	var eligible []*delivery
	for _, candidate := range s.deliveries {
		if state(candidate) {
			eligible = append(eligible, candidate)
		}
	}
	if len(eligible) == 0 {
		return nil
	}
	return eligible[parameter%len(eligible)]
}

// deliver brings any report to its owner, also one that was given up.
func (s *schedule) deliver(parameter int) {
	chosen := s.choose(parameter, func(d *delivery) bool {
		return d.reply == nil && !s.paused[d.batch.owner.ID]
	})
	if chosen == nil {
		return
	}
	owner := s.nodes[chosen.batch.owner.ID]
	reply := owner.answer(chosen.name, chosen.batch.report)
	chosen.reply = &reply
	for _, entry := range chosen.batch.report.Entries {
		s.given[owner] -= entry.Returned
	}
	for _, entry := range reply.Entries {
		s.given[owner] += entry.Credit
		s.issues[entry.Grant] = issue{
			owner: owner,
			at:    s.now,
		}
	}
}

// reply brings an answer to a node that still waits for it, however late.
func (s *schedule) reply(parameter int) {
	chosen := s.choose(parameter, func(d *delivery) bool {
		return d.reply != nil && !d.abandoned && !s.paused[d.name]
	})
	if chosen == nil {
		return
	}
	chosen.abandoned = true
	for _, entry := range chosen.reply.Entries {
		s.supplied += entry.Credit
	}
	chosen.from.accept(chosen.batch, *chosen.reply)
}

func (s *schedule) giveUp(parameter int) {
	chosen := s.choose(parameter, func(d *delivery) bool {
		return !d.abandoned && !s.paused[d.name]
	})
	if chosen == nil {
		return
	}
	chosen.abandoned = true
	chosen.from.reportFailed(chosen.batch)
}

// disturb restarts a process, or changes who owns customers in its view.
func (s *schedule) disturb(member lagoonbarrow.Instance, parameter int) {
	if parameter%4 == 0 {
		s.begin(s.start(member))
		return
	}
	view := s.views[member.ID]
	changed := &view[parameter%len(view)]
	changed.State = lagoonbarrow.StateReady
	if parameter%3 == 0 {
		changed.State = lagoonbarrow.StateLeaving
	}
}

// check verifies the bound stated in the package comment.
func (s *schedule) check() error {
	const rounding = 1 + 1e-9
	byOwner := map[*Quota]lagoonbarrow.WorkUnits{}
	floors := lagoonbarrow.WorkUnits(0)
	for _, node := range s.nodes {
		held, valid := s.share(node)
		if !valid {
			floors += node.limitsOf(s.contract).floor
			continue
		}
		from := s.issues[held.grant]
		byOwner[from.owner] += held.share
		if s.now.Sub(from.at) >= DefaultShareLife {
			return fmt.Errorf("a share is used %v after it was granted", s.now.Sub(from.at))
		}
	}
	for _, sum := range byOwner {
		if sum > testRate*rounding {
			return fmt.Errorf("shares of one owner add up to %v", sum)
		}
	}
	if floors > testRate*rounding {
		return fmt.Errorf("floors add up to %v", floors)
	}
	if s.admitted > s.supplied*rounding {
		return fmt.Errorf("admitted %v of %v", s.admitted, s.supplied)
	}
	for owner, units := range s.given {
		if units > testRate*lagoonbarrow.WorkUnits(s.now.Sub(s.started[owner]).Seconds())*rounding {
			return fmt.Errorf("an owner gave %v in %v", units, s.now.Sub(s.started[owner]))
		}
		if account := owner.ledger.account("acme"); account.pool.units > testBurst*rounding {
			return fmt.Errorf("%v of the burst is kept", account.pool.units)
		}
	}
	return nil
}

// Guards against shares that add up to more than the rate for each process
// that acts as owner, against shares and credit that do so in the long run, and
// against work that is admitted without a supply, under pauses, lost and late messages, changes of owner
// and restarts.
func TestPropertySharesStayWithinBound(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 2000
	parameters.MaxSize = 400
	properties := gopter.NewProperties(parameters)
	granted := 0
	owners := map[int]int{}
	properties.Property("shares stay within the bound", prop.ForAll(
		func(codes []uint32) (bool, error) {
			run := newSchedule()
			for _, code := range codes {
				run.step(code)
				if err := run.check(); err != nil {
					return false, err
				}
				owners[run.owners()]++
			}
			granted += len(run.issues)
			return true, nil
		},
		gen.SliceOf(gen.UInt32()),
	))
	properties.TestingRun(t)
	t.Logf("%d grants; steps by number of owners whose shares were in use: %v", granted, owners)
	if granted < 1000 || owners[2] == 0 {
		t.Error("the schedules reach too few states to prove anything")
	}
}

func (s *schedule) owners() int {
	owners := map[*Quota]bool{}
	for _, node := range s.nodes {
		if held, valid := s.share(node); valid {
			owners[s.issues[held.grant].owner] = true
		}
	}
	return len(owners)
}

// Guards against a bucket that admits more than its shares allow: over any
// schedule the admitted work is at most the first capacity, the integral of
// the share, the credit less the returned work, and the debt of one request.
func TestPropertyBucketAdmitsNoMoreThanShares(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 2000
	parameters.MaxSize = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("admitted work is bounded", prop.ForAll(
		func(codes []uint32) (bool, error) {
			allowed := limits{
				rate:  testRate,
				burst: testBurst,
				floor: 5,
			}
			now := time.Unix(1000, 0)
			tested := newBucket(now, allowed)
			admitted := lagoonbarrow.WorkUnits(0)
			bound := allowed.capacity(allowed.floor) + 20
			for _, code := range codes {
				parameter := code / 6
				switch code % 6 {
				case 0:
					end := now.Add(time.Duration(parameter%300) * 10 * time.Millisecond)
					for ; now.Before(end); now = now.Add(10 * time.Millisecond) {
						bound += tested.share(now, allowed) / 100
					}
				case 1:
					tested.accept(now, holding{
						share: lagoonbarrow.WorkUnits(parameter % 200),
						until: now.Add(time.Duration(parameter%400) * 10 * time.Millisecond),
					}, allowed)
				case 2:
					added := lagoonbarrow.WorkUnits(parameter % 30)
					bound += added
					tested.acceptCredit(now, credit{
						units: added,
						until: now.Add(time.Duration(parameter%50) * 10 * time.Millisecond),
					}, allowed)
				case 3:
					bound -= tested.removeExcess(allowed)
				default:
					units := lagoonbarrow.WorkUnits(1 + parameter%20)
					if ok, _ := tested.take(now, units, lagoonbarrow.Importance(parameter/64%4), allowed); ok {
						admitted += units
					}
				}
			}
			tested.refill(now.Add(time.Hour), allowed)
			if tested.tokens > allowed.capacity(tested.share(now.Add(time.Hour), allowed)) || tested.credit() > 0 {
				return false, fmt.Errorf("%v tokens and %v credit after an hour without requests", tested.tokens, tested.credit())
			}
			if admitted > bound*(1+1e-9) {
				return false, fmt.Errorf("admitted %v, the bound is %v", admitted, bound)
			}
			return true, nil
		},
		gen.SliceOf(gen.UInt32()),
	))
	properties.TestingRun(t)
}

// Guards against a bound that holds only because nothing is granted: without
// faults the shares follow the demand and a newcomer is served.
func TestSharesFollowDemand(t *testing.T) {
	w := newWorld(4)
	// The first measurement covers less than a second and is too high; it takes
	// some rounds until it no longer counts.
	for range 6 {
		w.second(50, 150, 0, 0)
	}
	first, _ := w.share(w.node(0))
	second, _ := w.share(w.node(1))
	if first.share < 24 || second.share < 74 || first.share+second.share > 100.001 {
		t.Errorf("shares %v and %v for demands of 50 and 150", first.share, second.share)
	}
	for range 4 {
		w.second(50, 150, 200, 0)
	}
	if third, _ := w.share(w.node(2)); third.share < 45 {
		t.Errorf("a newcomer with half of the demand has share %v", third.share)
	}
	messages := w.messages
	w.second(0, 0, 0, 0)
	w.second(0, 0, 0, 0)
	w.second(0, 0, 0, 0)
	w.second(0, 0, 0, 0)
	if sent := w.messages - messages; sent > 3*3 {
		t.Errorf("%d messages in the 4 s after the demand ended", sent)
	}
}

// Guards against an owner that gives more than the rate over its life. The schedule
// was found by TestPropertySharesStayWithinBound (seed 1796376399616228002).
func TestOwnerGivesNoMoreThanTheRate(t *testing.T) {
	run := newSchedule()
	for _, code := range []uint32{
		118301634, 531211797, 208358616, 1466201387, 2989846288, 1375386144,
		1693749504, 958278480, 2511860112, 1576422578, 2568185024, 1800516560,
		969104512, 3670615840, 148763456, 1225371056, 2400759221, 76704584,
	} {
		run.step(code)
		if err := run.check(); err != nil {
			t.Fatal(err)
		}
	}
}

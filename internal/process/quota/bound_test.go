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

// delivery is a report in flight, and its answer.
type delivery struct {
	from  *Quota
	name  lagoonbarrow.InstanceID
	batch *batch
	reply *answer
	// abandoned is set when the sender no longer waits for the answer.
	abandoned bool
}

// grantOrigin records which process granted a share, and when.
type grantOrigin struct {
	owner *Quota
	at    time.Time
}

// simulation runs nodes one step at a time. Any message may be late or lost, any
// process may pause or restart, and the nodes' views of the members may differ.
type simulation struct {
	*cluster
	paused     map[lagoonbarrow.InstanceID]bool
	deliveries []*delivery
	origins    map[grantID]grantOrigin
	// admitted is the work that all nodes admitted. supplied is the most that
	// they may admit: floors, shares, credit and the debt of one request for each
	// process.
	admitted lagoonbarrow.WorkUnits
	supplied lagoonbarrow.WorkUnits
	// netGranted is what each owner process granted since it started: the shares
	// in use and the credit, less the returned work.
	netGranted map[*Quota]lagoonbarrow.WorkUnits
	started    map[*Quota]time.Time
}

// maxRequestUnits is the largest request of a simulation.
const maxRequestUnits = 60

func newSimulation() *simulation {
	s := &simulation{
		cluster:    newCluster(5),
		paused:     map[lagoonbarrow.InstanceID]bool{},
		origins:    map[grantID]grantOrigin{},
		netGranted: map[*Quota]lagoonbarrow.WorkUnits{},
		started:    map[*Quota]time.Time{},
	}
	for _, node := range s.nodes {
		s.addProcess(node)
	}
	return s
}

// addProcess counts the first capacity and the debt of a new process.
func (s *simulation) addProcess(node *Quota) {
	allowed := node.limitsOf(s.contract)
	s.supplied += allowed.capacity(allowed.floor) + maxRequestUnits
	s.started[node] = s.now
}

// advance advances the time and adds the shares and floors to the sums.
func (s *simulation) advance(duration time.Duration) {
	for _, node := range s.nodes {
		rest := duration
		if held, valid := s.validShare(node); valid {
			used := min(rest, held.until.Sub(s.now))
			units := held.share * lagoonbarrow.WorkUnits(used.Seconds())
			s.supplied += units
			s.netGranted[s.origins[held.grant].owner] += units
			rest -= used
		}
		s.supplied += node.limitsOf(s.contract).floor * lagoonbarrow.WorkUnits(rest.Seconds())
	}
	s.now = s.now.Add(duration)
}

// step executes one step. code%16 chooses the action, and the rest its parameters.
func (s *simulation) step(code uint32) {
	parameter := int(code / 16)
	member := s.members[parameter%len(s.members)]
	node := s.nodes[member.ID]
	switch code % 16 {
	case 0, 1:
		s.advance(time.Duration(parameter%700) * time.Millisecond)
	case 2, 3, 4:
		units := lagoonbarrow.WorkUnits(1 + parameter/8%maxRequestUnits)
		if ok, _ := node.Allow(s.contract, units, lagoonbarrow.Importance(1+parameter/512%3)); ok {
			s.admitted += units
		}
	case 5, 6, 7:
		s.report(member, node)
	case 8, 9, 10:
		s.deliverReport(parameter)
	case 11, 12:
		s.deliverAnswer(parameter)
	case 13:
		s.abandonReport(parameter)
	case 14:
		s.paused[member.ID] = parameter/8%3 == 0
	case 15:
		s.injectFault(member, parameter/len(s.members))
	}
}

// report sends new reports of a node and abandons its earlier ones.
func (s *simulation) report(member lagoonbarrow.Instance, node *Quota) {
	if s.paused[member.ID] {
		return
	}
	for _, earlier := range s.deliveries {
		if earlier.from == node {
			earlier.abandoned = true
		}
	}
	node.updateMembers()
	node.ledger.dropUnused(s.now)
	for _, batch := range node.buildBatches(node.dueEntries(false)) {
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

// chooseDelivery returns one of the deliveries that match, or nil.
func (s *simulation) chooseDelivery(parameter int, matches func(*delivery) bool) *delivery {
	var eligible []*delivery
	for _, candidate := range s.deliveries {
		if matches(candidate) {
			eligible = append(eligible, candidate)
		}
	}
	if len(eligible) == 0 {
		return nil
	}
	return eligible[parameter%len(eligible)]
}

// deliverReport delivers a report to its owner, even if it was abandoned.
func (s *simulation) deliverReport(parameter int) {
	chosen := s.chooseDelivery(parameter, func(d *delivery) bool {
		return d.reply == nil && !s.paused[d.batch.owner.ID]
	})
	if chosen == nil {
		return
	}
	owner := s.nodes[chosen.batch.owner.ID]
	reply := owner.grantShares(chosen.name, chosen.batch.report)
	chosen.reply = &reply
	for _, entry := range chosen.batch.report.Entries {
		s.netGranted[owner] -= entry.Returned
	}
	for _, entry := range reply.Entries {
		s.netGranted[owner] += entry.Credit
		s.origins[entry.Grant] = grantOrigin{
			owner: owner,
			at:    s.now,
		}
	}
}

// deliverAnswer delivers an answer to a node that still waits for it, however
// late.
func (s *simulation) deliverAnswer(parameter int) {
	chosen := s.chooseDelivery(parameter, func(d *delivery) bool {
		return d.reply != nil && !d.abandoned && !s.paused[d.name]
	})
	if chosen == nil {
		return
	}
	chosen.abandoned = true
	for _, entry := range chosen.reply.Entries {
		s.supplied += entry.Credit
	}
	chosen.from.applyAnswer(chosen.batch, *chosen.reply)
}

// abandonReport simulates a report that fails or times out at its sender.
func (s *simulation) abandonReport(parameter int) {
	chosen := s.chooseDelivery(parameter, func(d *delivery) bool {
		return !d.abandoned && !s.paused[d.name]
	})
	if chosen == nil {
		return
	}
	chosen.abandoned = true
	chosen.from.markOwnerFailed(chosen.batch)
}

// injectFault restarts a process, or changes the state of a member in its view.
func (s *simulation) injectFault(member lagoonbarrow.Instance, parameter int) {
	if parameter%4 == 0 {
		s.addProcess(s.restart(member))
		return
	}
	view := s.rosters[member.ID]
	changed := &view[parameter%len(view)]
	changed.State = lagoonbarrow.StateReady
	if parameter%3 == 0 {
		changed.State = lagoonbarrow.StateLeaving
	}
}

// checkBounds verifies the bounds in the package comment.
func (s *simulation) checkBounds() error {
	const rounding = 1 + 1e-9
	byOwner := map[*Quota]lagoonbarrow.WorkUnits{}
	floors := lagoonbarrow.WorkUnits(0)
	for _, node := range s.nodes {
		held, valid := s.validShare(node)
		if !valid {
			floors += node.limitsOf(s.contract).floor
			continue
		}
		from := s.origins[held.grant]
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
	for owner, units := range s.netGranted {
		if units > testRate*lagoonbarrow.WorkUnits(s.now.Sub(s.started[owner]).Seconds())*rounding {
			return fmt.Errorf("an owner granted %v in %v", units, s.now.Sub(s.started[owner]))
		}
		if account := owner.ledger.account("acme"); account.pool.units > testBurst*rounding {
			return fmt.Errorf("%v of the burst is kept", account.pool.units)
		}
	}
	return nil
}

// Guards against shares of one owner process that exceed the rate, against shares
// and credit that exceed it in the long run, and against admitted work that no
// floor, share or credit covers. Faults are pauses, lost and late messages, changes
// of owner and restarts.
func TestPropertySharesStayWithinBound(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 2000
	parameters.MaxSize = 400
	properties := gopter.NewProperties(parameters)
	granted := 0
	owners := map[int]int{}
	properties.Property("shares stay within the bound", prop.ForAll(
		func(codes []uint32) (bool, error) {
			run := newSimulation()
			for _, code := range codes {
				run.step(code)
				if err := run.checkBounds(); err != nil {
					return false, err
				}
				owners[run.ownersInUse()]++
			}
			granted += len(run.origins)
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

// ownersInUse returns the number of owner processes whose shares are in use.
func (s *simulation) ownersInUse() int {
	owners := map[*Quota]bool{}
	for _, node := range s.nodes {
		if held, valid := s.validShare(node); valid {
			owners[s.origins[held.grant].owner] = true
		}
	}
	return len(owners)
}

// Guards against a bucket that admits more than its shares allow. The admitted work
// is at most the first capacity, the integral of the share, the credit less the
// returned work, and the debt of one request.
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
					tested.setShare(now, grantedShare{
						share: lagoonbarrow.WorkUnits(parameter % 200),
						until: now.Add(time.Duration(parameter%400) * 10 * time.Millisecond),
					}, allowed)
				case 2:
					added := lagoonbarrow.WorkUnits(parameter % 30)
					bound += added
					tested.addCredit(now, credit{
						units: added,
						until: now.Add(time.Duration(parameter%50) * 10 * time.Millisecond),
					}, allowed)
				case 3:
					bound -= tested.removeExcess(allowed)
				default:
					units := lagoonbarrow.WorkUnits(1 + parameter%20)
					if ok, _ := tested.admit(now, units, lagoonbarrow.Importance(parameter/64%4), allowed); ok {
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

// Guards against a bound that holds only because nothing is granted. Without
// faults, the shares follow the demand and a new holder receives one.
func TestSharesFollowDemand(t *testing.T) {
	c := newCluster(4)
	// The first measurement covers less than a second and is too high. Its
	// influence fades over some reports.
	for range 6 {
		c.runSecond(50, 150, 0, 0)
	}
	first, _ := c.validShare(c.node(0))
	second, _ := c.validShare(c.node(1))
	if first.share < 24 || second.share < 74 || first.share+second.share > 100.001 {
		t.Errorf("shares %v and %v for demands of 50 and 150", first.share, second.share)
	}
	for range 4 {
		c.runSecond(50, 150, 200, 0)
	}
	if third, _ := c.validShare(c.node(2)); third.share < 45 {
		t.Errorf("a new holder with half of the demand has share %v", third.share)
	}
	messages := c.messagesSent
	c.runSecond(0, 0, 0, 0)
	c.runSecond(0, 0, 0, 0)
	c.runSecond(0, 0, 0, 0)
	c.runSecond(0, 0, 0, 0)
	if sent := c.messagesSent - messages; sent > 3*3 {
		t.Errorf("%d messages in the 4 s after the demand ended", sent)
	}
}

// Guards against an owner that grants more than the rate since its start. The steps
// are a failure of TestPropertySharesStayWithinBound (seed 1796376399616228002).
func TestOwnerGivesNoMoreThanTheRate(t *testing.T) {
	run := newSimulation()
	for _, code := range []uint32{
		118301634, 531211797, 208358616, 1466201387, 2989846288, 1375386144,
		1693749504, 958278480, 2511860112, 1576422578, 2568185024, 1800516560,
		969104512, 3670615840, 148763456, 1225371056, 2400759221, 76704584,
	} {
		run.step(code)
		if err := run.checkBounds(); err != nil {
			t.Fatal(err)
		}
	}
}

package contract

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"lagoonbarrow"
)

// schedule runs a fleet with contract changes, isolated members, restarts and
// outages.
type schedule struct {
	*fleet
	// accepted holds the time of each accepted change, by revision.
	accepted []time.Time
	versions map[string]lagoonbarrow.ContractVersion
	// minRevisions holds the last revision at which each member was ready.
	minRevisions map[int]lagoonbarrow.Revision
}

func (s *schedule) step(code uint32) {
	argument := int(code / 16)
	number := argument % len(s.members)
	switch code % 16 {
	case 0, 1:
		s.now = s.now.Add(time.Duration(argument%2000) * time.Millisecond)
	case 2, 3, 4, 5:
		if !s.isolated[s.members[number].Peer] {
			s.node(number).tick(context.Background())
		}
	case 6, 7, 8, 9:
		s.gossip(number, argument/8%len(s.members))
	case 10, 11:
		s.change(fmt.Sprintf("customer-%d", argument%3))
	case 12:
		s.isolated[s.members[number].Peer] = argument/8%2 == 0
	case 13:
		s.table.setDown(argument%3 == 0)
	case 14:
		s.startNode(number)
	case 15:
		s.table.trim()
	}
}

func (s *schedule) change(customer string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	record, err := newTestStore(s.table).Apply(ctx, testContract(customer, testHash(len(customer)*100+int(customer[9]))), s.versions[customer])
	if err != nil {
		return
	}
	s.versions[customer] = record.Version
	s.accepted = append(s.accepted, s.now)
}

// check verifies for each ready node that its revision never decreases, and that
// it has all changes accepted before the time that it confirms.
func (s *schedule) check() error {
	for number := range s.members {
		node := s.node(number)
		registry := node.config.Registry
		if !registry.Ready() {
			continue
		}
		revision := registry.Revision()
		if revision < s.minRevisions[number] {
			return fmt.Errorf("node %d went from revision %d to %d", number, s.minRevisions[number], revision)
		}
		s.minRevisions[number] = revision
		_, age, known := node.Gossip()
		if !known {
			return fmt.Errorf("node %d is ready without a confirmation", number)
		}
		if next := int(revision); next < len(s.accepted) && s.accepted[next].Before(s.now.Add(-age)) {
			return fmt.Errorf("node %d confirms all changes until %v ago, but lacks revision %d", number, age, next+1)
		}
	}
	return nil
}

// endFaults ends all faults, runs three rounds of one second, and verifies that
// all nodes are up to date.
func (s *schedule) endFaults() error {
	s.table.setDown(false)
	clear(s.isolated)
	for range 3 {
		s.now = s.now.Add(time.Second)
		s.tickAll()
		for number := range s.members {
			s.gossip(number, (number+1)%len(s.members))
		}
	}
	if behind := s.countBehind(lagoonbarrow.Revision(len(s.accepted))); behind > 0 {
		return fmt.Errorf("%d nodes are behind after the faults ended", behind)
	}
	return nil
}

// Guards against a node that reverts a contract, counts as up to date without an
// accepted change, or stays behind after the faults ended.
func TestPropertyContractsNeverRevert(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 300
	parameters.MaxSize = 300
	properties := gopter.NewProperties(parameters)
	changes := 0
	properties.Property("contracts never revert", prop.ForAll(
		func(codes []uint32) (bool, error) {
			run := &schedule{
				fleet:        newFleet(t, newFakeTable(), 5),
				versions:     map[string]lagoonbarrow.ContractVersion{},
				minRevisions: map[int]lagoonbarrow.Revision{},
			}
			for _, code := range codes {
				run.step(code)
				if err := run.check(); err != nil {
					return false, err
				}
			}
			changes += len(run.accepted)
			return true, run.endFaults()
		},
		gen.SliceOf(gen.UInt32()),
	))
	properties.TestingRun(t)
	if changes < 100 {
		t.Errorf("only %d changes were accepted", changes)
	}
}

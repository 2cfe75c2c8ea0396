package registration

import (
	"context"
	"fmt"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"lagoonbarrow"
)

// fakeNodes delivers messages to the live nodes, keyed by address.
type fakeNodes map[lagoonbarrow.Address]*PresenceHandler

func (f fakeNodes) Send(ctx context.Context, to lagoonbarrow.Address, message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	node, alive := f[to]
	if !alive {
		return lagoonbarrow.Message{}, lagoonbarrow.ErrNotSent
	}
	return node.HandleMessage(ctx, "asking", message)
}

// deletingStore accepts conditional deletes of one row and counts them.
type deletingStore struct {
	lagoonbarrow.RowStore
	version lagoonbarrow.RowVersion
	removed int
}

func (s *deletingStore) Put(_ context.Context, write lagoonbarrow.Write) (lagoonbarrow.RowVersion, error) {
	if !write.Delete || write.Expected != s.version {
		return 0, lagoonbarrow.ErrConflict
	}
	s.removed++
	return s.version + 1, nil
}

// Guards against rows of lost machines that are never removed, and against the removal
// of the row of a node that is alive or has written it again.
func TestRowsOfLostNodesAreRemoved(t *testing.T) {
	const address = lagoonbarrow.Address("10.0.0.2:1")
	tests := []struct {
		name string
		// nodeAt returns the id of the node at the address at each check, or "".
		nodeAt func(check int) lagoonbarrow.InstanceID
		// stored is the version of the row in the store.
		stored      lagoonbarrow.RowVersion
		wantRemoved int
	}{
		{"lost for good", func(int) lagoonbarrow.InstanceID { return "" }, 7, 1},
		{"alive", func(int) lagoonbarrow.InstanceID { return "other" }, 7, 0},
		{"alive again before the last check", func(check int) lagoonbarrow.InstanceID {
			if check == failuresBeforeRemoval-1 {
				return "other"
			}
			return ""
		}, 7, 0},
		{"another node has the address", func(int) lagoonbarrow.InstanceID { return "third" }, 7, 1},
		{"written again", func(int) lagoonbarrow.InstanceID { return "" }, 8, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := &deletingStore{
				version: test.stored,
			}
			nodes := fakeNodes{}
			remover := NewRowRemover(RowRemoverConfig{
				Self:  "self",
				Store: store,
				Members: func() []lagoonbarrow.Instance {
					return []lagoonbarrow.Instance{
						{
							ID: "self",
						},
						{
							ID:   "other",
							Peer: address,
						},
					}
				},
				Version: func(lagoonbarrow.InstanceID) lagoonbarrow.RowVersion { return 7 },
				Sender:  nodes,
				Logger:  hclog.NewNullLogger(),
			})
			for check := range failuresBeforeRemoval {
				if store.removed > 0 {
					t.Fatalf("the row was removed after %d checks", check)
				}
				delete(nodes, address)
				if id := test.nodeAt(check); id != "" {
					nodes[address] = &PresenceHandler{
						Self: id,
					}
				}
				remover.checkSuccessor(context.Background())
			}
			if store.removed != test.wantRemoved {
				t.Fatalf("the row was removed %d times, want %d", store.removed, test.wantRemoved)
			}
		})
	}
}

// Guards against nodes that no node checks, and against a node that all others check.
func TestEachNodeIsCheckedByOneOther(t *testing.T) {
	var members []lagoonbarrow.Instance
	for i := range 100 {
		members = append(members, lagoonbarrow.Instance{
			ID: lagoonbarrow.InstanceID(fmt.Sprintf("node-%d", i)),
		})
	}
	checkers := map[lagoonbarrow.InstanceID]int{}
	for _, member := range members {
		next, found := successor(member.ID, members)
		if !found || next.ID == member.ID {
			t.Fatalf("the successor of %s is %q", member.ID, next.ID)
		}
		checkers[next.ID]++
	}
	for _, member := range members {
		if checkers[member.ID] != 1 {
			t.Errorf("%d nodes check %s", checkers[member.ID], member.ID)
		}
	}
	if _, found := successor("node-0", members[:1]); found {
		t.Error("a single node has a successor")
	}
}

// Guards against counting another node's answer as a sign of life of the checked node.
func TestPresenceRequestRejectsAnotherNode(t *testing.T) {
	remover := NewRowRemover(RowRemoverConfig{
		Sender: fakeNodes{
			"one": &PresenceHandler{
				Self: "a",
			},
		},
	})
	err := remover.requestPresence(context.Background(), lagoonbarrow.Instance{
		ID:   "b",
		Peer: "one",
	})
	if !errors.Is(err, lagoonbarrow.ErrNotFound) {
		t.Fatalf("error %v", err)
	}
}

package registration

import (
	"context"
	"fmt"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"lagoonbarrow"
)

// fakeNodes answers for the nodes that are alive, by address.
type fakeNodes map[lagoonbarrow.Address]*Presence

func (f fakeNodes) Send(ctx context.Context, to lagoonbarrow.Address, message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	node, alive := f[to]
	if !alive {
		return lagoonbarrow.Message{}, lagoonbarrow.ErrNotSent
	}
	return node.HandleMessage(ctx, "asking", message)
}

// removals takes conditional deletes of one row.
type removals struct {
	lagoonbarrow.RowStore
	version lagoonbarrow.RowVersion
	removed int
}

func (r *removals) Put(_ context.Context, write lagoonbarrow.Write) (lagoonbarrow.RowVersion, error) {
	if !write.Delete || write.Expected != r.version {
		return 0, lagoonbarrow.ErrConflict
	}
	r.removed++
	return r.version + 1, nil
}

// Guards against rows of lost machines that stay for good, and against rows of
// nodes that are removed although they are alive or have written again.
func TestRowsOfLostNodesAreRemoved(t *testing.T) {
	const address = lagoonbarrow.Address("10.0.0.2:1")
	rows := []struct {
		name string
		// alive tells who has the node's address at each look; nobody if empty.
		alive func(look int) lagoonbarrow.InstanceID
		// stored is the version that the row has in the store.
		stored lagoonbarrow.RowVersion
		want   int
	}{
		{"lost for good", func(int) lagoonbarrow.InstanceID { return "" }, 7, 1},
		{"alive", func(int) lagoonbarrow.InstanceID { return "other" }, 7, 0},
		{"alive again before the last look", func(look int) lagoonbarrow.InstanceID {
			if look == removeAfter-1 {
				return "other"
			}
			return ""
		}, 7, 0},
		{"another node has the address", func(int) lagoonbarrow.InstanceID { return "third" }, 7, 1},
		{"written again", func(int) lagoonbarrow.InstanceID { return "" }, 8, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			store := &removals{
				version: row.stored,
			}
			nodes := fakeNodes{}
			remover := NewRemover(RemoverConfig{
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
			for look := range removeAfter {
				if store.removed > 0 {
					t.Fatalf("the row was removed after %d looks", look)
				}
				delete(nodes, address)
				if id := row.alive(look); id != "" {
					nodes[address] = &Presence{
						Self: id,
					}
				}
				remover.look(context.Background())
			}
			if store.removed != row.want {
				t.Fatalf("the row was removed %d times, want %d", store.removed, row.want)
			}
		})
	}
}

// Guards against nodes that nobody looks for, and against a node that all look for.
func TestEachNodeIsLookedForByOne(t *testing.T) {
	var members []lagoonbarrow.Instance
	for i := range 100 {
		members = append(members, lagoonbarrow.Instance{
			ID: lagoonbarrow.InstanceID(fmt.Sprintf("node-%d", i)),
		})
	}
	looked := map[lagoonbarrow.InstanceID]int{}
	for _, member := range members {
		next, found := successor(member.ID, members)
		if !found || next.ID == member.ID {
			t.Fatalf("%s looks for %q", member.ID, next.ID)
		}
		looked[next.ID]++
	}
	for _, member := range members {
		if looked[member.ID] != 1 {
			t.Errorf("%d nodes look for %s", looked[member.ID], member.ID)
		}
	}
	if _, found := successor("node-0", members[:1]); found {
		t.Error("a node alone looks for another")
	}
}

// Guards against an answer of another node that counts as the node's own.
func TestReachTellsNodesApart(t *testing.T) {
	remover := NewRemover(RemoverConfig{
		Sender: fakeNodes{
			"one": &Presence{
				Self: "a",
			},
		},
	})
	err := remover.reach(context.Background(), lagoonbarrow.Instance{
		ID:   "b",
		Peer: "one",
	})
	if !errors.Is(err, lagoonbarrow.ErrNotFound) {
		t.Fatalf("error %v", err)
	}
}

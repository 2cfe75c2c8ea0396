package directory

import (
	"testing"

	"github.com/hashicorp/go-hclog"

	"lagoonbarrow"
)

// seen takes the version of the own row.
type seen struct {
	version lagoonbarrow.RowVersion
}

func newDirectory() (*Directory, *seen) {
	own := &seen{}
	return New(Config{
		Self:   "self",
		Logger: hclog.NewNullLogger(),
		OwnRow: func(version lagoonbarrow.RowVersion) { own.version = version },
	}), own
}

func rowOf(t *testing.T, id lagoonbarrow.InstanceID, state lagoonbarrow.InstanceState, version lagoonbarrow.RowVersion) lagoonbarrow.Row {
	t.Helper()
	value, err := Encode(lagoonbarrow.Instance{
		Service: "alpha",
		Zone:    "zone",
		Peer:    "10.0.0.1:7000",
		Slots:   10,
		State:   state,
	}, "i-1")
	if err != nil {
		t.Fatal(err)
	}
	return lagoonbarrow.Row{
		Key:     string(id),
		Version: version,
		Value:   value,
	}
}

func change(row lagoonbarrow.Row, deleted bool) lagoonbarrow.Change {
	return lagoonbarrow.Change{
		Row:     row,
		Deleted: deleted,
	}
}

// Guards against instances that get requests although they leave or are gone, and
// against ready ones that get none.
func TestInstancesFollowTheRows(t *testing.T) {
	directory, _ := newDirectory()
	if directory.Ready() {
		t.Fatal("ready before the rows were read")
	}
	directory.Replace([]lagoonbarrow.Row{
		rowOf(t, "a", lagoonbarrow.StateReady, 1),
		rowOf(t, "b", lagoonbarrow.StateLeaving, 2),
	})
	if found := directory.Instances("alpha"); len(found) != 1 || found[0].ID != "a" {
		t.Fatalf("instances %v", found)
	}
	directory.Apply([]lagoonbarrow.Change{
		change(rowOf(t, "b", lagoonbarrow.StateReady, 3), false),
		change(rowOf(t, "a", lagoonbarrow.StateReady, 4), true),
	})
	if found := directory.Instances("alpha"); len(found) != 1 || found[0].ID != "b" {
		t.Fatalf("instances %v", found)
	}
	directory.Replace(nil)
	if found := directory.Instances("alpha"); len(found) != 0 {
		t.Fatalf("instances %v after all rows are gone", found)
	}
}

// Guards against rows of other writers that name or remove an instance.
func TestForgedRowsChangeNothing(t *testing.T) {
	directory, _ := newDirectory()
	directory.Replace([]lagoonbarrow.Row{rowOf(t, "a", lagoonbarrow.StateReady, 1)})
	for _, value := range []string{"", "{", "[]", `{"service":7}`, `{"service":"alpha"}`, `{"service":"alpha","peer":"x","slots":"many"}`} {
		directory.Apply([]lagoonbarrow.Change{
			change(lagoonbarrow.Row{
				Key:   "a",
				Value: []byte(value),
			}, false),
			change(lagoonbarrow.Row{
				Key:   "forged",
				Value: []byte(value),
			}, false),
		})
	}
	if found := directory.Instances("alpha"); len(found) != 1 || found[0].ID != "a" {
		t.Fatalf("instances %v", found)
	}
}

// Guards against a node that takes its own old row for its state, or that doesn't
// notice that its row is gone.
func TestOwnRowIsNotFollowed(t *testing.T) {
	directory, own := newDirectory()
	directory.SetSelf(lagoonbarrow.Instance{
		ID:      "self",
		Service: "alpha",
		State:   lagoonbarrow.StateReady,
	})
	directory.Replace([]lagoonbarrow.Row{rowOf(t, "self", lagoonbarrow.StateLeaving, 5)})
	if found := directory.Instances("alpha"); len(found) != 1 || own.version != 5 {
		t.Fatalf("instances %v, own version %d", found, own.version)
	}
	directory.Apply([]lagoonbarrow.Change{change(rowOf(t, "self", lagoonbarrow.StateReady, 6), true)})
	if found := directory.Instances("alpha"); len(found) != 1 || own.version != 0 {
		t.Fatalf("instances %v, own version %d", found, own.version)
	}
}

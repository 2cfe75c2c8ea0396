package directory

import (
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"lagoonbarrow"
)

// ownRow records the node's own row that the directory reports.
type ownRow struct {
	version lagoonbarrow.RowVersion
	row     lagoonbarrow.Row
	// tableVersion is the version at which the table has the row so.
	tableVersion lagoonbarrow.RowVersion
}

func newDirectory() (*Directory, *ownRow) {
	own := &ownRow{}
	return New(Config{
		Self:   "self",
		Logger: hclog.NewNullLogger(),
		OnOwnRow: func(row lagoonbarrow.Row, tableVersion lagoonbarrow.RowVersion) {
			own.version = row.Version
			own.row = row
			own.tableVersion = tableVersion
		},
	}), own
}

func newRow(t *testing.T, id lagoonbarrow.InstanceID, state lagoonbarrow.InstanceState, version lagoonbarrow.RowVersion) lagoonbarrow.Row {
	t.Helper()
	value, err := Encode(lagoonbarrow.Instance{
		Service: "alpha",
		Zone:    "zone",
		Peer:    "10.0.0.1:7000",
		Slots:   10,
		State:   state,
	}, Server{
		ID: "i-1",
	})
	if err != nil {
		t.Fatal(err)
	}
	return lagoonbarrow.Row{
		Key:     string(id),
		Version: version,
		Value:   value,
	}
}

func newChange(row lagoonbarrow.Row, deleted bool) lagoonbarrow.Change {
	return lagoonbarrow.Change{
		Row:     row,
		Deleted: deleted,
	}
}

// Guards against requests to instances that are leaving or removed, and against ready
// instances without requests.
func TestInstancesFollowTheRows(t *testing.T) {
	directory, _ := newDirectory()
	if directory.Ready() {
		t.Fatal("ready before the rows were read")
	}
	directory.Replace([]lagoonbarrow.Row{
		newRow(t, "a", lagoonbarrow.StateReady, 1),
		newRow(t, "b", lagoonbarrow.StateLeaving, 2),
	}, 2)
	if found := directory.Instances("alpha"); len(found) != 1 || found[0].ID != "a" {
		t.Fatalf("instances %v", found)
	}
	directory.Apply([]lagoonbarrow.Change{
		newChange(newRow(t, "b", lagoonbarrow.StateReady, 3), false),
		newChange(newRow(t, "a", lagoonbarrow.StateReady, 4), true),
	}, 4)
	if found := directory.Instances("alpha"); len(found) != 1 || found[0].ID != "b" {
		t.Fatalf("instances %v", found)
	}
	directory.Replace(nil, 5)
	if found := directory.Instances("alpha"); len(found) != 0 {
		t.Fatalf("instances %v after all rows were removed", found)
	}
}

// Guards against a stopped node that counts as a running one until its row is removed, and
// against a state of another version that makes an instance ready.
func TestStatesOfRows(t *testing.T) {
	directory, _ := newDirectory()
	states := map[string]lagoonbarrow.InstanceState{
		"ready":   lagoonbarrow.StateReady,
		"leaving": lagoonbarrow.StateLeaving,
		"left":    lagoonbarrow.StateLeft,
		"other":   lagoonbarrow.StateLeaving,
	}
	for name, want := range states {
		row := newRow(t, "a", lagoonbarrow.StateReady, 1)
		row.Value = []byte(strings.ReplaceAll(string(row.Value), `"state":"ready"`, `"state":"`+name+`"`))
		directory.Replace([]lagoonbarrow.Row{row}, 1)
		if all := directory.All(); len(all) != 1 || all[0].State != want {
			t.Errorf("%s: %v", name, all)
		}
	}
}

// Guards against invalid rows of other writers that add or remove an instance.
func TestInvalidRowsChangeNothing(t *testing.T) {
	directory, _ := newDirectory()
	directory.Replace([]lagoonbarrow.Row{newRow(t, "a", lagoonbarrow.StateReady, 1)}, 1)
	invalid := []string{
		"", "{", "[]", `{"service":7}`, `{"service":"alpha"}`, `{"service":"alpha","peer":"x","slots":"many"}`,
		`{"service":"alpha","peer":"10.0.0.1:99000","slots":10,"state":"ready"}`,
		`{"service":"alpha","peer":"10.0.0.1:0","slots":10,"state":"ready"}`,
		`{"service":"alpha","peer":"10.0.0.1:-1","slots":10,"state":"ready"}`,
		`{"service":"alpha","peer":"10.0.0.1","slots":10,"state":"ready"}`,
		`{"service":"alpha","peer":":7000","slots":10,"state":"ready"}`,
		`{"service":"alpha","peer":"no-address:7000","slots":10,"state":"ready"}`,
		`{"service":"alpha","peer":"10.0.0.1:7000","slots":9223372036854775807,"state":"ready"}`,
		`{"service":"alpha","peer":"10.0.0.1:7000","slots":1e400,"state":"ready"}`,
		`{"service":"alpha","peer":"10.0.0.1:7000","slots":10,"state":"ready","x":` + strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000) + `}`,
	}
	for _, value := range invalid {
		directory.Apply([]lagoonbarrow.Change{
			newChange(lagoonbarrow.Row{
				Key:   "a",
				Value: []byte(value),
			}, false),
			newChange(lagoonbarrow.Row{
				Key:   "forged",
				Value: []byte(value),
			}, false),
		}, 2)
	}
	if found := directory.Instances("alpha"); len(found) != 1 || found[0].ID != "a" {
		t.Fatalf("instances %v", found)
	}
}

// Guards against an instance that is lost because an invalid row has replaced its own when
// all rows are read again. Its node writes the row again.
func TestInvalidRowDoesNotRemoveAnInstance(t *testing.T) {
	directory, _ := newDirectory()
	directory.Replace([]lagoonbarrow.Row{newRow(t, "a", lagoonbarrow.StateReady, 1), newRow(t, "b", lagoonbarrow.StateReady, 2)}, 2)
	directory.Replace([]lagoonbarrow.Row{{
		Key:     "a",
		Version: 3,
		Value:   []byte("{"),
	}}, 3)
	if found := directory.Instances("alpha"); len(found) != 1 || found[0].ID != "a" {
		t.Fatalf("instances %v", found)
	}
}

// Guards against a node that takes over the old state in its own row, or that does not
// detect that its row was deleted.
func TestOwnRowDoesNotOverrideSelf(t *testing.T) {
	directory, own := newDirectory()
	directory.SetSelf(lagoonbarrow.Instance{
		ID:      "self",
		Service: "alpha",
		State:   lagoonbarrow.StateReady,
	})
	directory.Replace([]lagoonbarrow.Row{newRow(t, "self", lagoonbarrow.StateLeaving, 5)}, 5)
	if found := directory.Instances("alpha"); len(found) != 1 || own.version != 5 {
		t.Fatalf("instances %v, own version %d", found, own.version)
	}
	directory.Apply([]lagoonbarrow.Change{newChange(newRow(t, "self", lagoonbarrow.StateReady, 6), true)}, 6)
	if found := directory.Instances("alpha"); len(found) != 1 || own.version != 0 {
		t.Fatalf("instances %v, own version %d", found, own.version)
	}
}

// Guards against a node that isn't told that the table at a later version lacks its row, because no
// change names the row.
func TestOwnRowIsReportedAtEachVersion(t *testing.T) {
	directory, own := newDirectory()
	others := []lagoonbarrow.Row{newRow(t, "a", lagoonbarrow.StateReady, 1)}
	steps := []struct {
		name        string
		step        func()
		wantVersion lagoonbarrow.RowVersion
		wantTable   lagoonbarrow.RowVersion
	}{
		{
			name:      "all rows without the own one",
			step:      func() { directory.Replace(others, 2) },
			wantTable: 2,
		},
		{
			name: "change of another row",
			step: func() {
				directory.Apply([]lagoonbarrow.Change{newChange(newRow(t, "a", lagoonbarrow.StateLeaving, 3), false)}, 3)
			},
			wantTable: 3,
		},
		{
			name: "own row",
			step: func() {
				directory.Apply([]lagoonbarrow.Change{newChange(newRow(t, "self", lagoonbarrow.StateReady, 4), false)}, 5)
			},
			wantVersion: 4,
			wantTable:   5,
		},
		{
			name:        "no changes",
			step:        func() { directory.Apply(nil, 6) },
			wantVersion: 4,
			wantTable:   6,
		},
		{
			name: "removal of the own row",
			step: func() {
				directory.Apply([]lagoonbarrow.Change{newChange(newRow(t, "self", lagoonbarrow.StateReady, 7), true)}, 7)
			},
			wantTable: 7,
		},
	}
	for _, test := range steps {
		test.step()
		if own.version != test.wantVersion || own.tableVersion != test.wantTable {
			t.Errorf("%s: own row at version %s in the table at version %s", test.name, own.version, own.tableVersion)
		}
	}
}

// Guards against a departure that a row doesn't keep for the next process of the node.
func TestRowKeepsTheDeparture(t *testing.T) {
	started := time.UnixMilli(1700000000123)
	tests := []struct {
		started time.Time
		left    bool
	}{
		{
			started: started,
			left:    true,
		},
		{
			left: true,
		},
		{
			started: started,
		},
	}
	for _, test := range tests {
		started, left := test.started, test.left
		value, err := Encode(lagoonbarrow.Instance{}, Server{
			ID:        "i-1",
			Started:   started,
			Left:      left,
			AllLeftAt: started,
		})
		if err != nil {
			t.Fatal(err)
		}
		directory, own := newDirectory()
		directory.Replace([]lagoonbarrow.Row{{
			Key:     "self",
			Version: 1,
			Value:   value,
		}}, 1)
		server, err := DecodeServer(own.row)
		if err != nil || server.ID != "i-1" || server.Left != left || left && (!server.Started.Equal(started) || !server.AllLeftAt.Equal(started)) {
			t.Errorf("server %+v, error %v", server, err)
		}
	}
}

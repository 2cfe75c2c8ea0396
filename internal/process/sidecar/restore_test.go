package sidecar

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/directory"
	"lagoonbarrow/platform/standin"
)

const (
	// applyBound is the time in which a change has to be in force on all nodes.
	applyBound = 2 * time.Second
	// pollBound is the time in which all nodes have queried the store or each other once.
	pollBound = 1500 * time.Millisecond
	// outage is how long the store is away before it comes back from a copy.
	outage = 800 * time.Millisecond
)

// advanceCounter moves the store's counter by writes that no node follows.
func (f *fleet) advanceCounter(writes int) {
	for i := range writes {
		f.store.Put("other", fmt.Sprint(i), []byte("value"))
	}
}

// loseWrites makes the nodes see versions that the next restore loses.
func (f *fleet) loseWrites(count int) {
	f.advanceCounter(count)
	time.Sleep(pollBound)
}

// restore takes the store away and brings it back from a copy.
func (f *fleet) restore(from standin.Copy) {
	f.store.SetFaults(standin.Faults{
		Failure: standin.FailBusy,
	})
	time.Sleep(outage)
	f.store.Restore(from)
	f.store.SetFaults(standin.Faults{})
}

// inForce reports whether all nodes have the last configuration in force.
func (f *fleet) inForce() bool {
	for _, m := range f.members {
		if m.sidecar.routes.Version() != lagoonbarrow.ConfigurationVersion(f.version) {
			return false
		}
	}
	return true
}

// within waits until the condition is met, or fails after the bound.
func (f *fleet) within(bound time.Duration, condition string, met func() bool) {
	f.t.Helper()
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if met() {
			return
		}
	}
	f.t.Errorf("condition not met after %s: %s", bound, condition)
}

// Guards against a change whose version the nodes have seen before, and which none reads.
func TestChangeIsInForceAfterARestoreGivesOutItsVersionAgain(t *testing.T) {
	tests := []struct {
		name string
		// lost is the number of writes that the restore loses, rewritten the number of
		// writes between the restore and the change.
		lost      int
		rewritten int
	}{
		{
			name: "the counter is behind",
			lost: 5,
		},
		{
			name:      "the counter is at the same version",
			lost:      3,
			rewritten: 2,
		},
		{
			name:      "the counter is ahead",
			lost:      3,
			rewritten: 6,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, 0, nil)
			before := f.store.Copy()
			f.loseWrites(test.lost)
			f.restore(before)
			f.advanceCounter(test.rewritten)
			f.configure("beta")
			f.within(applyBound, "the change is in force on all nodes", f.inForce)
		})
	}
}

// Guards against calls without a pause while the store's counter is behind the copies.
func TestRestoredStoreIsNotCalledInALoop(t *testing.T) {
	const (
		length            = 4 * time.Second
		maxCallsPerSecond = 10
	)
	f := newFleet(t, 0, nil)
	before := f.store.Copy()
	f.loseWrites(50)
	f.restore(before)
	calls := func() int {
		return f.store.Calls("/rows-get") + f.store.Calls("/rows-feed") + f.store.Calls("/rows-tx")
	}
	first := calls()
	time.Sleep(length)
	made := calls() - first
	t.Logf("%d calls of %d nodes in %s", made, len(f.members), length)
	if made > maxCallsPerSecond*len(f.members)*int(length/time.Second) {
		t.Errorf("%d calls of %d nodes in %s", made, len(f.members), length)
	}
}

// Guards against rows that nodes keep although the restore has removed or changed them.
func TestInstancesFollowARestore(t *testing.T) {
	row := func(service string) []byte {
		return fmt.Appendf(nil, `{"service":%q,"zone":"zone","peer":"127.0.0.9:7004","slots":5,"state":"ready","server":"i-9"}`, service)
	}
	tests := []struct {
		name      string
		rewritten int
	}{
		{
			name: "the counter is behind",
		},
		{
			name:      "the counter is at the same version",
			rewritten: 3,
		},
		{
			name:      "the counter is ahead",
			rewritten: 8,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, 0, nil)
			f.store.Put(directory.Table, "changed", row("old"))
			before := f.store.Copy()
			f.store.Put(directory.Table, "changed", row("new"))
			f.store.Put(directory.Table, "added", row("new"))
			f.advanceCounter(1)
			has := func(id, service string) func() bool {
				return func() bool {
					for _, m := range f.members {
						if m.serviceOf(id) != lagoonbarrow.ServiceName(service) {
							return false
						}
					}
					return true
				}
			}
			f.waitFor("the row is known", has("added", "new"))
			time.Sleep(pollBound)
			f.restore(before)
			f.advanceCounter(test.rewritten)
			f.within(2*applyBound, "the changed row is as in the copy", has("changed", "old"))
			f.within(2*applyBound, "the added row is gone", has("added", ""))
		})
	}
}

// serviceOf returns the service of an instance as the member knows it, or "".
func (m *member) serviceOf(id string) lagoonbarrow.ServiceName {
	for _, instance := range m.sidecar.directory.All() {
		if instance.ID == lagoonbarrow.InstanceID(id) {
			return instance.Service
		}
	}
	return ""
}

// rowSaysLeft reports whether the row of a node says that its server leaves.
func (f *fleet) rowSaysLeft(id string) bool {
	server, err := directory.DecodeServer(lagoonbarrow.Row{
		Value: f.store.Value(directory.Table, id),
	})
	return err == nil && server.Left
}

// Guards against a node that doesn't notice that its row is back in an earlier state.
func TestOwnRowIsWrittenAgainAfterARestore(t *testing.T) {
	tests := []struct {
		name      string
		rewritten int
	}{
		{
			name: "the counter is behind",
		},
		{
			name:      "the counter is ahead",
			rewritten: 8,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, 0, nil)
			m := f.members[0]
			before := f.store.Copy()
			m.server.SetState("draining")
			if err := m.server.SendHeartbeat(m.sidecar.settings.HeartbeatAddress); err != nil {
				t.Fatal(err)
			}
			published := func() bool {
				for _, other := range f.members[1:] {
					if len(other.sidecar.directory.Instances("alpha")) != 1 {
						return false
					}
				}
				return true
			}
			f.waitFor("the leaving is known", published)
			time.Sleep(pollBound)
			f.restore(before)
			f.advanceCounter(test.rewritten)
			time.Sleep(2 * applyBound)
			if left := f.rowSaysLeft("node-0"); !left || !published() {
				t.Errorf("the row says that the server leaves: %t; the other nodes know it: %t", left, published())
			}
		})
	}
}

// lastIDs returns the ids of nodes that the others don't query for changes, and that don't read them
// from the store themselves: the ids of the members have lower hashes.
func (f *fleet) lastIDs(count int) []string {
	highest := uint64(0)
	for _, m := range f.members {
		highest = max(highest, xxhash.Sum64String(string(m.sidecar.settings.Instance)))
	}
	var ids []string
	for i := len(f.members); len(ids) < count; i++ {
		id := fmt.Sprintf("node-%d", i)
		if xxhash.Sum64String(id) > highest {
			ids = append(ids, id)
		}
	}
	return ids
}

// join starts a member whose server has not sent a heartbeat yet.
func (f *fleet) join(id, service string) *member {
	f.t.Helper()
	server, err := standin.NewServer(standin.ServerConfig{
		ID:      "i-" + id,
		Service: service,
		Slots:   20,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(server.Close)
	m := &member{
		sidecar: f.startAs(lagoonbarrow.InstanceID(id), service, server.Address()),
		server:  server,
	}
	f.waitFor("the joining sidecar knows the others", func() bool { return len(m.sidecar.directory.Instances("alpha")) == 2 })
	return m
}

// Guards against a node whose row a restore has lost before any other node had read it: it is never
// told of the loss, and no other node ever knows it.
func TestRowThatNoOtherNodeHasReadIsWrittenAgainAfterARestore(t *testing.T) {
	checkLostRows(t, func(f *fleet, _ []string, before standin.Copy) { f.store.Restore(before) })
}

// Guards against the same after rows were removed, and the store has dropped the history with that.
func TestRowThatNoOtherNodeHasReadIsWrittenAgainAfterItsRemoval(t *testing.T) {
	checkLostRows(t, func(f *fleet, ids []string, _ standin.Copy) {
		for _, id := range ids {
			f.store.Remove(directory.Table, id)
		}
		f.store.DropHistory()
	})
}

// checkLostRows lets three nodes join and lose takes their rows from the store as soon as it has them.
// It is called with the ids and a copy of the store from before. checkLostRows fails unless the rows
// are written again, and all nodes know the instances.
func checkLostRows(t *testing.T, lose func(f *fleet, ids []string, before standin.Copy)) {
	t.Helper()
	f := newFleet(t, 0, nil)
	ids := f.lastIDs(3)
	var joined []*member
	for _, id := range ids {
		joined = append(joined, f.join(id, "gamma"))
	}
	time.Sleep(pollBound)
	before := f.store.Copy()
	// The nodes collect further changes for a time after this one.
	f.store.Put(directory.Table, "other", []byte("{}"))
	time.Sleep(instancesBatchDelay / 3)
	for _, m := range joined {
		if err := m.server.SendHeartbeat(m.sidecar.settings.HeartbeatAddress); err != nil {
			t.Fatal(err)
		}
	}
	hasRows := func() bool {
		return !slices.ContainsFunc(ids, func(id string) bool { return f.store.Value(directory.Table, id) == nil })
	}
	f.waitFor("the store has the rows", hasRows)
	lose(f, ids, before)
	f.within(2*applyBound, "the store has the rows again", hasRows)
	f.within(applyBound, "all nodes know the instances", func() bool {
		return !slices.ContainsFunc(f.members, func(m *member) bool { return len(m.sidecar.directory.Instances("gamma")) != len(ids) })
	})
}

// restart ends the sidecar of a member and starts another one beside its server.
func (f *fleet) restart(m *member) {
	f.t.Helper()
	settings := m.sidecar.settings
	m.sidecar.close()
	m.sidecar = f.startAs(settings.Instance, string(settings.Service), m.server.Address())
	f.waitFor("a heartbeat is accepted", func() bool { return m.server.SendHeartbeat(m.sidecar.settings.HeartbeatAddress) == nil })
	f.waitFor("the sidecar is ready", m.ready)
}

// Guards against a process that serves by an older configuration than its peers.
func TestProcessStartedAfterARestoreServesByTheConfigurationOfItsPeers(t *testing.T) {
	f := newFleet(t, 0, nil)
	before := f.store.Copy()
	f.configure("beta")
	f.waitFor("the change is in force on all nodes", f.inForce)
	f.restore(before)
	f.restart(f.members[0])
	f.within(applyBound, "the lost change is in force on the new process", f.inForce)
}

// Guards against a process that makes another key because a restore has lost it.
func TestProcessStartedAfterARestoreHasTheKeyOfItsPeers(t *testing.T) {
	f := newFleet(t, 0, nil)
	key := f.store.Value(keyTable, keyRow)
	f.store.Remove(keyTable, keyRow)
	f.restore(f.store.Copy())
	f.restart(f.members[0])
	if string(f.store.Value(keyTable, keyRow)) != string(key) {
		t.Error("the store has another key than before the restore")
	}
	attempt := 0
	f.within(applyBound, "a request through the new process reaches another node", func() bool {
		attempt++
		return f.members[0].send("POST", "/file/x", fmt.Sprint(attempt)).status == 200
	})
}

// Guards against rows, the key of the nodes or the configuration that stay lost when the store comes back
// from a copy without any of them.
func TestEverythingIsWrittenAgainAfterARestoreOfAnEmptyStore(t *testing.T) {
	empty, err := standin.NewStore(1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(empty.Close)
	f := newFleet(t, 0, nil)
	key := f.store.Value(keyTable, keyRow)
	f.restore(empty.Copy())
	f.within(2*applyBound, "the store has the rows of all nodes", func() bool {
		return !slices.ContainsFunc(f.members, func(m *member) bool {
			return f.store.Value(directory.Table, string(m.sidecar.settings.Instance)) == nil
		})
	})
	f.within(maxKeyCheckDelay+applyBound, "the store has the key", func() bool { return string(f.store.Value(keyTable, keyRow)) == string(key) })
	f.configure("beta")
	f.within(applyBound, "the configuration that the operator writes again is in force", f.inForce)
}

// Guards against a write of each node after a restore that has not changed its row.
func TestUnchangedRowsAreNotWrittenAfterARestore(t *testing.T) {
	f := newFleet(t, 0, nil)
	before := f.store.Copy()
	f.loseWrites(3)
	writes := f.store.Calls("/rows-tx")
	f.restore(before)
	time.Sleep(2 * applyBound)
	if made := f.store.Calls("/rows-tx") - writes; made > 0 {
		t.Errorf("%d writes", made)
	}
}

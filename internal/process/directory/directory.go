package directory

import (
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"

	"lagoonbarrow"
)

// Config configures a Directory.
type Config struct {
	Self   lagoonbarrow.InstanceID
	Logger hclog.Logger
	// OnOwnRow is called with this node's row in the table at a version; the row's own version is 0
	// if it does not exist. It is called for each later version, also if the row has not changed. It
	// may call the directory.
	OnOwnRow func(row lagoonbarrow.Row, tableVersion lagoonbarrow.RowVersion)
	// OnChange is called with the ids of all instances after a change. It may be nil.
	OnChange func(ids map[lagoonbarrow.InstanceID]bool)
}

// Directory holds the instances that the rows of the store describe.
type Directory struct {
	config Config

	mu      sync.Mutex
	entries map[lagoonbarrow.InstanceID]lagoonbarrow.Instance
	// versions holds the row versions of the other instances.
	versions map[lagoonbarrow.InstanceID]lagoonbarrow.RowVersion
	// ownRow is this node's row, whose version is 0 if it does not exist.
	ownRow lagoonbarrow.Row
	// ready holds the ready instances by service. Each change replaces the whole map.
	ready atomic.Pointer[map[lagoonbarrow.ServiceName][]lagoonbarrow.Instance]
	// loaded is set after the first Replace.
	loaded atomic.Bool
}

// New returns an empty directory.
func New(config Config) *Directory {
	directory := &Directory{
		config:   config,
		entries:  map[lagoonbarrow.InstanceID]lagoonbarrow.Instance{},
		versions: map[lagoonbarrow.InstanceID]lagoonbarrow.RowVersion{},
	}
	directory.ready.Store(&map[lagoonbarrow.ServiceName][]lagoonbarrow.Instance{})
	return directory
}

// Ready reports whether all rows were read at least once.
func (d *Directory) Ready() bool {
	return d.loaded.Load()
}

// Instances returns the ready instances of a service. The slice must not be changed.
func (d *Directory) Instances(service lagoonbarrow.ServiceName) []lagoonbarrow.Instance {
	return (*d.ready.Load())[service]
}

// Replace replaces the instances with those in rows, which are all rows of the table at a version.
func (d *Directory) Replace(rows []lagoonbarrow.Row, version lagoonbarrow.RowVersion) {
	d.config.OnOwnRow(d.replaceRows(rows), version)
	d.loaded.Store(true)
}

// replaceRows replaces the other instances and this node's row, which it returns.
func (d *Directory) replaceRows(rows []lagoonbarrow.Row) lagoonbarrow.Row {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ownRow = lagoonbarrow.Row{}
	previous := d.entries
	d.entries = map[lagoonbarrow.InstanceID]lagoonbarrow.Instance{}
	d.versions = map[lagoonbarrow.InstanceID]lagoonbarrow.RowVersion{}
	for _, row := range rows {
		if row.Key == string(d.config.Self) {
			d.ownRow = row
			continue
		}
		if !d.setInstance(row) {
			d.keepInstance(lagoonbarrow.InstanceID(row.Key), previous)
		}
	}
	if self, found := previous[d.config.Self]; found {
		d.entries[d.config.Self] = self
	}
	d.publish()
	return d.ownRow
}

// Apply applies the row changes up to a version, in order. There may be none.
func (d *Directory) Apply(changes []lagoonbarrow.Change, version lagoonbarrow.RowVersion) {
	d.config.OnOwnRow(d.applyChanges(changes), version)
}

// applyChanges applies the changes of other instances and of this node's row, which it returns.
func (d *Directory) applyChanges(changes []lagoonbarrow.Change) lagoonbarrow.Row {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, change := range changes {
		id := lagoonbarrow.InstanceID(change.Row.Key)
		switch {
		case id == d.config.Self && change.Deleted:
			d.ownRow = lagoonbarrow.Row{}
		case id == d.config.Self:
			d.ownRow = change.Row
		case change.Deleted:
			delete(d.entries, id)
			delete(d.versions, id)
		default:
			d.setInstance(change.Row)
		}
	}
	if len(changes) > 0 {
		d.publish()
	}
	return d.ownRow
}

// setInstance adds or updates another instance from its row. It skips an invalid row and
// returns false. The instance's node writes its row again.
func (d *Directory) setInstance(row lagoonbarrow.Row) bool {
	instance, err := decode(row)
	if err != nil {
		d.config.Logger.Warn("skipped an instance row", "key", row.Key, "version", row.Version.String(), "error", err)
		return false
	}
	d.entries[instance.ID] = instance
	d.versions[instance.ID] = row.Version
	return true
}

// keepInstance keeps an instance from before a Replace.
func (d *Directory) keepInstance(id lagoonbarrow.InstanceID, previous map[lagoonbarrow.InstanceID]lagoonbarrow.Instance) {
	if instance, found := previous[id]; found {
		d.entries[id] = instance
	}
}

// Version returns the version of another instance's row, or 0.
func (d *Directory) Version(id lagoonbarrow.InstanceID) lagoonbarrow.RowVersion {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.versions[id]
}

// SetSelf sets this node's own instance, which is known before its row is read. The row
// does not override it.
func (d *Directory) SetSelf(self lagoonbarrow.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries[self.ID] = self
	d.publish()
}

// All returns all instances, including those that are leaving.
func (d *Directory) All() []lagoonbarrow.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]lagoonbarrow.Instance, 0, len(d.entries))
	for _, instance := range d.entries {
		all = append(all, instance)
	}
	return all
}

// publish makes the changes visible to readers and calls OnChange. The caller holds the
// mutex.
func (d *Directory) publish() {
	ready := map[lagoonbarrow.ServiceName][]lagoonbarrow.Instance{}
	ids := map[lagoonbarrow.InstanceID]bool{}
	for id, instance := range d.entries {
		ids[id] = true
		if instance.State == lagoonbarrow.StateReady {
			ready[instance.Service] = append(ready[instance.Service], instance)
		}
	}
	d.ready.Store(&ready)
	if d.config.OnChange != nil {
		d.config.OnChange(ids)
	}
}

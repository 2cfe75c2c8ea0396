// Package feed distributes the changes of the platform's tables among the nodes. A few
// nodes, the readers, read them from the store. The others query the readers, and the
// store only when no reader has a recent copy.
package feed

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lagoonbarrow"
)

// maxDeletions bounds the deletions that a copy of a table remembers. A node that is
// further behind reads all rows again.
const maxDeletions = 4096

// Cache holds copies of tables, from which a node answers the requests of others.
type Cache struct {
	now func() time.Time
	// storeFailing is set from a failed call of this node to the store until the next
	// successful one.
	storeFailing atomic.Bool

	mu     sync.Mutex
	tables map[string]*tableCopy
}

// tableCopy is the copy of one table.
type tableCopy struct {
	rows map[string]lagoonbarrow.Row
	// deleted holds the versions at which rows were deleted after startVersion.
	deleted map[string]lagoonbarrow.RowVersion
	// startVersion is the version up to which deletions are not known: that of the first
	// copy of the table, or of the last deletion that was forgotten.
	startVersion lagoonbarrow.RowVersion
	// restored holds the versions of which the copy knows nothing because the store was
	// restored from an older copy of its own.
	restored versionGap
	version  lagoonbarrow.RowVersion
	// confirmedAt is the latest time at which version was the newest of the store.
	confirmedAt time.Time
	// updated is closed and replaced when rows change or the version is confirmed again.
	updated chan struct{}
}

// versionGap is the versions between the last one of an era that a copy has seen and the
// first one of the next era. Another node may have seen more of the earlier era.
type versionGap struct {
	after  lagoonbarrow.RowVersion
	before lagoonbarrow.RowVersion
}

// contains reports whether a version lies in the gap.
func (g versionGap) contains(version lagoonbarrow.RowVersion) bool {
	return g.after < version && version < g.before
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{
		now:    time.Now,
		tables: map[string]*tableCopy{},
	}
}

// Replace replaces the copy of a table by its rows at a version. age is the time since
// this version was confirmed as the store's newest. A copy with a newer version is kept,
// and the result is false.
// The changes since an older copy stay known: other nodes would otherwise all have to
// read the store when it has dropped its history.
func (c *Cache) Replace(table string, rows []lagoonbarrow.Row, version lagoonbarrow.RowVersion, age time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.tables[table]
	if previous != nil && previous.version > version {
		return false
	}
	replacement := &tableCopy{
		rows:         map[string]lagoonbarrow.Row{},
		deleted:      map[string]lagoonbarrow.RowVersion{},
		startVersion: version,
		version:      version,
		confirmedAt:  c.now().Add(-age),
		updated:      make(chan struct{}),
	}
	for _, row := range rows {
		replacement.rows[row.Key] = row
	}
	c.tables[table] = replacement
	if previous != nil {
		replacement.inheritHistory(previous)
		close(previous.updated)
	}
	return true
}

// rows returns the rows of the copy of a table and its version.
func (c *Cache) rows(table string) ([]lagoonbarrow.Row, lagoonbarrow.RowVersion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.tables[table]
	return slices.Collect(maps.Values(current.rows)), current.version
}

// inheritHistory adds the deletions that the previous copy knows, and those of its rows
// that this copy lacks.
func (t *tableCopy) inheritHistory(previous *tableCopy) {
	t.startVersion = previous.startVersion
	t.restored = previous.restored
	t.noteRestore(previous.version)
	for key, deletedAt := range previous.deleted {
		if _, exists := t.rows[key]; !exists {
			t.deleted[key] = deletedAt
		}
	}
	for key := range previous.rows {
		if _, exists := t.rows[key]; !exists {
			t.deleted[key] = t.version
		}
	}
	t.forgetDeletions()
}

// noteRestore notes the gap if the copy's version is of a later era than the previous one.
// The copy knows the changes since one earlier era at most.
func (t *tableCopy) noteRestore(previous lagoonbarrow.RowVersion) {
	if previous.Era() == t.version.Era() {
		return
	}
	t.startVersion = max(t.startVersion, t.restored.before)
	t.restored = versionGap{
		after:  previous,
		before: t.version,
	}
}

// forgetDeletions drops the older half of the deletions when there are too many.
func (t *tableCopy) forgetDeletions() {
	if len(t.deleted) <= maxDeletions {
		return
	}
	versions := slices.Sorted(maps.Values(t.deleted))
	t.startVersion = max(t.startVersion, versions[len(versions)/2])
	maps.DeleteFunc(t.deleted, func(_ string, version lagoonbarrow.RowVersion) bool {
		return version <= t.startVersion
	})
}

// Apply applies the changes of a table up to a version. age is the time since this
// version was confirmed as the store's newest.
func (c *Cache) Apply(table string, changes []lagoonbarrow.Change, version lagoonbarrow.RowVersion, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.tables[table]
	if current == nil || version < current.version {
		return
	}
	for _, change := range changes {
		current.apply(change)
	}
	previous := current.version
	current.version = version
	current.noteRestore(previous)
	confirmedAt := c.now().Add(-age)
	confirmed := confirmedAt.After(current.confirmedAt)
	if confirmed {
		current.confirmedAt = confirmedAt
	}
	if confirmed || len(changes) > 0 {
		close(current.updated)
		current.updated = make(chan struct{})
	}
}

// age returns the time since the copy of a table was last confirmed as the store's
// newest, or 0 if there is no copy.
func (c *Cache) age(table string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.tables[table]
	if current == nil {
		return 0
	}
	return c.now().Sub(current.confirmedAt)
}

func (t *tableCopy) apply(change lagoonbarrow.Change) {
	key := change.Row.Key
	if change.Deleted {
		delete(t.rows, key)
		t.deleted[key] = change.Row.Version
		t.forgetDeletions()
		return
	}
	t.rows[key] = change.Row
	delete(t.deleted, key)
}

// changeSet holds the changes of a table after a version.
type changeSet struct {
	// hasCopy is set if the cache has a copy of the table.
	hasCopy bool
	// historyLost is set when changes after the requested version may be missing.
	historyLost bool
	changes     []lagoonbarrow.Change
	version     lagoonbarrow.RowVersion
	// age is the time since version was last confirmed as the store's newest, which was
	// at confirmedAt.
	age         time.Duration
	confirmedAt time.Time
	// updated is closed when the copy has newer changes or is confirmed again.
	updated <-chan struct{}
}

// changesAfter returns the changes of a table after a version.
func (c *Cache) changesAfter(table string, version lagoonbarrow.RowVersion) changeSet {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.tables[table]
	if current == nil {
		return changeSet{}
	}
	found := changeSet{
		hasCopy:     true,
		historyLost: version < current.startVersion || current.restored.contains(version),
		version:     current.version,
		age:         c.now().Sub(current.confirmedAt),
		confirmedAt: current.confirmedAt,
		updated:     current.updated,
	}
	for _, row := range current.rows {
		if row.Version > version {
			found.changes = append(found.changes, lagoonbarrow.Change{
				Row: row,
			})
		}
	}
	for key, deletedAt := range current.deleted {
		if deletedAt > version {
			found.changes = append(found.changes, lagoonbarrow.Change{
				Row: lagoonbarrow.Row{
					Table:   table,
					Key:     key,
					Version: deletedAt,
				},
				Deleted: true,
			})
		}
	}
	slices.SortFunc(found.changes, func(a, b lagoonbarrow.Change) int {
		return cmp.Compare(a.Row.Version, b.Row.Version)
	})
	return found
}

// Package feed distributes the changes of the platform's tables among the nodes. A few
// nodes, the readers, read them from the store. The others query the readers, and the
// store only when no reader has a recent copy.
package feed

import (
	"sync"
	"sync/atomic"
	"time"

	"lagoonbarrow"
)

// Cache holds copies of tables, from which a node answers the requests of others.
type Cache struct {
	now func() time.Time
	// storeFailing is set from a failed call of this node to the store until the next
	// successful one.
	storeFailing atomic.Bool

	mu     sync.Mutex
	tables map[string]*tableCopy
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
	replacement := newTableCopy(rows, version, c.now().Add(-age))
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
	var rows []lagoonbarrow.Row
	for _, copied := range current.rows {
		rows = append(rows, copied.row)
	}
	return rows, current.version
}

// Apply applies the changes of a table up to a version. age is the time since this
// version was confirmed as the store's newest. It returns the changes, and in a new era
// also the rows that a restore of the store has not changed, with their new versions.
func (c *Cache) Apply(table string, changes []lagoonbarrow.Change, version lagoonbarrow.RowVersion, age time.Duration) []lagoonbarrow.Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.tables[table]
	if current == nil || version < current.version {
		return changes
	}
	all := current.advance(changes, version)
	confirmedAt := c.now().Add(-age)
	confirmed := confirmedAt.After(current.confirmedAt)
	if confirmed {
		current.confirmedAt = confirmedAt
	}
	if confirmed || len(changes) > 0 {
		close(current.updated)
		current.updated = make(chan struct{})
	}
	return all
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

// era returns the era of the copy of a table, or 0 if there is no copy.
func (c *Cache) era(table string) lagoonbarrow.Era {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.tables[table]
	if current == nil {
		return 0
	}
	return current.version.Era()
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
		historyLost: !current.coversChangesAfter(version),
		version:     current.version,
		age:         c.now().Sub(current.confirmedAt),
		confirmedAt: current.confirmedAt,
		updated:     current.updated,
	}
	if !found.historyLost {
		found.changes = current.changesAfter(table, version)
	}
	return found
}

// Package feed spreads the changes of the platform's tables among the nodes. A few
// nodes read them from the store; the others ask these nodes, and the store only
// when no node can tell them anything recent.
package feed

import (
	"slices"
	"sync"
	"time"

	"lagoonbarrow"
)

// Cache holds copies of tables, from which a node answers others.
type Cache struct {
	now func() time.Time

	mu     sync.Mutex
	tables map[string]*copied
}

// copied is the copy of one table.
type copied struct {
	rows map[string]lagoonbarrow.Row
	// deleted holds the versions at which rows were deleted, after version since.
	deleted map[string]lagoonbarrow.RowVersion
	since   lagoonbarrow.RowVersion
	version lagoonbarrow.RowVersion
	// confirmedAt is when the store was known to have this version as its newest.
	confirmedAt time.Time
	changed     chan struct{}
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{
		now:    time.Now,
		tables: map[string]*copied{},
	}
}

// Replace takes all rows of a table as they were at a version, some time ago.
func (c *Cache) Replace(table string, rows []lagoonbarrow.Row, version lagoonbarrow.RowVersion, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.tables[table]
	if before != nil && before.version > version {
		return
	}
	fresh := &copied{
		rows:        map[string]lagoonbarrow.Row{},
		deleted:     map[string]lagoonbarrow.RowVersion{},
		since:       version,
		version:     version,
		confirmedAt: c.now().Add(-age),
		changed:     make(chan struct{}),
	}
	for _, row := range rows {
		fresh.rows[row.Key] = row
	}
	c.tables[table] = fresh
	if before != nil {
		close(before.changed)
	}
}

// Apply takes changes of a table up to a version, which were known some time ago.
func (c *Cache) Apply(table string, changes []lagoonbarrow.Change, version lagoonbarrow.RowVersion, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	present := c.tables[table]
	if present == nil || version < present.version {
		return
	}
	for _, change := range changes {
		present.apply(change)
	}
	present.version = version
	if confirmed := c.now().Add(-age); confirmed.After(present.confirmedAt) {
		present.confirmedAt = confirmed
	}
	if len(changes) > 0 {
		close(present.changed)
		present.changed = make(chan struct{})
	}
}

func (t *copied) apply(change lagoonbarrow.Change) {
	key := change.Row.Key
	if change.Deleted {
		delete(t.rows, key)
		t.deleted[key] = change.Row.Version
		return
	}
	t.rows[key] = change.Row
	delete(t.deleted, key)
}

// view is what the cache knows after a version.
type view struct {
	known bool
	// historyLost is set when changes after the version may be missing.
	historyLost bool
	changes     []lagoonbarrow.Change
	version     lagoonbarrow.RowVersion
	age         time.Duration
	changed     <-chan struct{}
}

// after returns the changes of a table after a version.
func (c *Cache) after(table string, version lagoonbarrow.RowVersion) view {
	c.mu.Lock()
	defer c.mu.Unlock()
	present := c.tables[table]
	if present == nil {
		return view{}
	}
	found := view{
		known:       true,
		historyLost: version < present.since,
		version:     present.version,
		age:         c.now().Sub(present.confirmedAt),
		changed:     present.changed,
	}
	for _, row := range present.rows {
		if row.Version > version {
			found.changes = append(found.changes, lagoonbarrow.Change{
				Row: row,
			})
		}
	}
	for key, deletedAt := range present.deleted {
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
		return int(int64(a.Row.Version) - int64(b.Row.Version))
	})
	return found
}

package feed

import (
	"fmt"
	"slices"
	"testing"

	"lagoonbarrow"
)

// Guards against deleted rows that stay in the copy, and against skipped changes.
func TestCacheReturnsAllChanges(t *testing.T) {
	cache := NewCache()
	row := func(key string, version lagoonbarrow.RowVersion) lagoonbarrow.Row {
		return lagoonbarrow.Row{
			Table:   tableName,
			Key:     key,
			Version: version,
		}
	}
	if cache.changesAfter(tableName, 0).hasCopy {
		t.Fatal("an empty cache has a copy of the table")
	}
	cache.Replace(tableName, []lagoonbarrow.Row{row("a", 3), row("b", 5)}, 5, 0)
	cache.Apply(tableName, []lagoonbarrow.Change{
		{
			Row: row("c", 6),
		},
		{
			Row:     row("a", 7),
			Deleted: true,
		},
	}, 8, 0)
	found := cache.changesAfter(tableName, 5)
	if found.historyLost || found.version != 8 || len(found.changes) != 2 || found.changes[0].Row.Key != "c" || !found.changes[1].Deleted {
		t.Fatalf("change set %+v", found)
	}
	if found := cache.changesAfter(tableName, 4); !found.historyLost {
		t.Fatal("changes from before the start of the copy are reported as complete")
	}
	cache.Replace(tableName, nil, 4, 0)
	if found := cache.changesAfter(tableName, 5); found.version != 8 {
		t.Fatal("rows of an older version replaced the copy")
	}
}

// Guards against nodes that all read the whole table from the store after it has dropped
// its history and a reader has read the table again. The reader's copies from before and
// after show what has changed between them.
func TestHistorySurvivesReadingAgain(t *testing.T) {
	row := func(key string, version lagoonbarrow.RowVersion) lagoonbarrow.Row {
		return lagoonbarrow.Row{
			Table:   tableName,
			Key:     key,
			Version: version,
		}
	}
	cache := NewCache()
	cache.Replace(tableName, []lagoonbarrow.Row{row("kept", 1), row("changed", 2), row("removed", 3), row("recreated", 4)}, 10, 0)
	cache.Apply(tableName, []lagoonbarrow.Change{
		{
			Row:     row("recreated", 12),
			Deleted: true,
		},
	}, 12, 0)
	cache.Replace(tableName, []lagoonbarrow.Row{row("kept", 1), row("changed", 15), row("recreated", 16), row("added", 17)}, 20, 0)
	rows := []struct {
		after   lagoonbarrow.RowVersion
		lost    bool
		changed []string
		deleted []string
	}{
		{9, true, nil, nil},
		{10, false, []string{"changed", "recreated", "added"}, []string{"removed"}},
		{12, false, []string{"changed", "recreated", "added"}, []string{"removed"}},
		{16, false, []string{"added"}, []string{"removed"}},
		{20, false, nil, nil},
	}
	for _, test := range rows {
		found := cache.changesAfter(tableName, test.after)
		if found.historyLost != test.lost || found.version != 20 {
			t.Errorf("after %d: history lost %t at version %d", test.after, found.historyLost, found.version)
		}
		if test.lost {
			continue
		}
		changed, deleted := changedKeys(found.changes)
		if !slices.Equal(changed, test.changed) || !slices.Equal(deleted, test.deleted) {
			t.Errorf("after %d: changed %v, deleted %v, want %v and %v", test.after, changed, deleted, test.changed, test.deleted)
		}
	}
}

// Guards against copies that remember every deletion of the life of a fleet, and against
// changes that are reported as complete after a deletion was forgotten.
func TestDeletionsAreForgotten(t *testing.T) {
	cache := NewCache()
	cache.Replace(tableName, nil, 1, 0)
	const deletions = 3 * maxDeletions
	for i := range deletions {
		version := lagoonbarrow.RowVersion(2 + i)
		cache.Apply(tableName, []lagoonbarrow.Change{
			{
				Row: lagoonbarrow.Row{
					Table:   tableName,
					Key:     fmt.Sprint(i),
					Version: version,
				},
				Deleted: true,
			},
		}, version, 0)
		if i%1000 == 0 {
			cache.Replace(tableName, nil, version, 0)
		}
	}
	if count := len(cache.tables[tableName].deleted); count > maxDeletions {
		t.Errorf("%d deletions are remembered", count)
	}
	if !cache.changesAfter(tableName, 1).historyLost {
		t.Error("changes from before a forgotten deletion are reported as complete")
	}
	recent := cache.changesAfter(tableName, deletions+1-100)
	if recent.historyLost || len(recent.changes) != 100 {
		t.Errorf("history lost %t, %d changes, want 100", recent.historyLost, len(recent.changes))
	}
}

// Guards against nodes that keep rows which a restore of the store has removed.
func TestChangesAcrossARestoreAreCompleteOrLost(t *testing.T) {
	row := func(key string, era lagoonbarrow.Era, number uint64, value string) lagoonbarrow.Row {
		return lagoonbarrow.Row{
			Table:   tableName,
			Key:     key,
			Version: lagoonbarrow.NewRowVersion(era, number),
			Value:   []byte(value),
		}
	}
	reads := []read{
		{
			rows:    []lagoonbarrow.Row{row("kept", 1, 3, "a"), row("removed", 1, 8, "a"), row("reverted", 1, 9, "b"), row("again", 1, 7, "b")},
			version: lagoonbarrow.NewRowVersion(1, 10),
		},
		{
			rows:    []lagoonbarrow.Row{row("kept", 2, 3, "a"), row("reverted", 2, 4, "a"), row("again", 2, 7, "c"), row("added", 2, 9, "a")},
			version: lagoonbarrow.NewRowVersion(2, 9),
		},
		{
			rows:    []lagoonbarrow.Row{row("kept", 3, 3, "a"), row("reverted", 3, 4, "a")},
			version: lagoonbarrow.NewRowVersion(3, 5),
		},
	}
	tests := []struct {
		name string
		// reads is the number of reads of the store that the cache has seen.
		reads   int
		after   lagoonbarrow.RowVersion
		lost    bool
		changed []string
		deleted []string
	}{
		{
			name:    "at the copy's last version",
			reads:   2,
			after:   lagoonbarrow.NewRowVersion(1, 10),
			changed: []string{"reverted", "again", "added"},
			deleted: []string{"removed"},
		},
		{
			name:  "before the first copy",
			reads: 2,
			after: lagoonbarrow.NewRowVersion(1, 9),
			lost:  true,
		},
		{
			name:  "beyond the copy's last version",
			reads: 2,
			after: lagoonbarrow.NewRowVersion(1, 11),
			lost:  true,
		},
		{
			name:  "in the new era, before the first read",
			reads: 2,
			after: lagoonbarrow.NewRowVersion(2, 8),
			lost:  true,
		},
		{
			name:  "at the first read of the new era",
			reads: 2,
			after: lagoonbarrow.NewRowVersion(2, 9),
		},
		{
			name:  "two eras ago",
			reads: 3,
			after: lagoonbarrow.NewRowVersion(1, 10),
			lost:  true,
		},
		{
			name:    "one era ago",
			reads:   3,
			after:   lagoonbarrow.NewRowVersion(2, 9),
			deleted: []string{"added", "again"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reader := newReadCache(reads[:test.reads])
			checkChanges(t, reader, test.after, test.lost, test.changed, test.deleted)
			// A node that has followed the reader passes on the same.
			node := newReadCache(reads[:1])
			for i := range reads[1:test.reads] {
				found := newReadCache(reads[:i+2]).changesAfter(tableName, node.changesAfter(tableName, 0).version)
				node.Apply(tableName, found.changes, found.version, 0)
			}
			checkChanges(t, node, test.after, test.lost, test.changed, test.deleted)
		})
	}
	if newReadCache(reads[1:2]).Replace(tableName, reads[0].rows, reads[0].version, 0) {
		t.Error("rows from before the restore replaced later ones")
	}
}

// read is the rows of a store at a version.
type read struct {
	rows    []lagoonbarrow.Row
	version lagoonbarrow.RowVersion
}

// newReadCache returns a cache that has seen these reads, one after the other.
func newReadCache(reads []read) *Cache {
	cache := NewCache()
	for _, read := range reads {
		cache.Replace(tableName, read.rows, read.version, 0)
	}
	return cache
}

// Guards against unchanged rows whose versions no conditional write can name any more.
func TestUnchangedRowsHaveVersionsOfTheNewEra(t *testing.T) {
	row := func(era lagoonbarrow.Era) lagoonbarrow.Row {
		return lagoonbarrow.Row{
			Table:   tableName,
			Key:     "kept",
			Version: lagoonbarrow.NewRowVersion(era, 3),
			Value:   []byte("value"),
		}
	}
	cache := newReadCache([]read{
		{
			rows:    []lagoonbarrow.Row{row(1)},
			version: lagoonbarrow.NewRowVersion(1, 5),
		},
	})
	changes := cache.Apply(tableName, nil, lagoonbarrow.NewRowVersion(2, 4), 0)
	if len(changes) != 1 || changes[0].Deleted || changes[0].Row.Version != row(2).Version || string(changes[0].Row.Value) != "value" {
		t.Errorf("changes %+v", changes)
	}
	if changes := cache.Apply(tableName, nil, lagoonbarrow.NewRowVersion(2, 6), 0); len(changes) > 0 {
		t.Errorf("changes %+v in the same era", changes)
	}
}

// checkChanges fails unless the cache has these changes after a version, or none if the
// history is lost.
func checkChanges(t *testing.T, cache *Cache, after lagoonbarrow.RowVersion, lost bool, wantChanged, wantDeleted []string) {
	t.Helper()
	found := cache.changesAfter(tableName, after)
	if found.historyLost != lost {
		t.Errorf("history lost %t, want %t", found.historyLost, lost)
	}
	if lost {
		return
	}
	changed, deleted := changedKeys(found.changes)
	if !slices.Equal(changed, wantChanged) || !slices.Equal(deleted, wantDeleted) {
		t.Errorf("changed %v, deleted %v, want %v and %v", changed, deleted, wantChanged, wantDeleted)
	}
}

// changedKeys returns the keys of the changed and of the deleted rows.
func changedKeys(changes []lagoonbarrow.Change) (changed, deleted []string) {
	for _, change := range changes {
		if change.Deleted {
			deleted = append(deleted, change.Row.Key)
			continue
		}
		changed = append(changed, change.Row.Key)
	}
	return changed, deleted
}

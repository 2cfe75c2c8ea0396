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

// Guards against nodes that keep rows which a restore of the store has removed, because
// their copy and that of the reader ended at different versions before it.
func TestChangesAcrossARestoreAreCompleteOrLost(t *testing.T) {
	row := func(key string, era lagoonbarrow.Era, number uint64) lagoonbarrow.Row {
		return lagoonbarrow.Row{
			Table:   tableName,
			Key:     key,
			Version: lagoonbarrow.NewRowVersion(era, number),
		}
	}
	type read struct {
		rows    []lagoonbarrow.Row
		version lagoonbarrow.RowVersion
	}
	first := read{
		rows:    []lagoonbarrow.Row{row("kept", 1, 3), row("removed", 1, 8)},
		version: lagoonbarrow.NewRowVersion(1, 10),
	}
	second := read{
		rows:    []lagoonbarrow.Row{row("kept", 2, 3), row("added", 2, 9)},
		version: lagoonbarrow.NewRowVersion(2, 9),
	}
	third := read{
		rows:    []lagoonbarrow.Row{row("kept", 3, 3)},
		version: lagoonbarrow.NewRowVersion(3, 5),
	}
	tests := []struct {
		name    string
		reads   []read
		after   lagoonbarrow.RowVersion
		lost    bool
		changed []string
		deleted []string
	}{
		{
			name:    "at the copy's last version",
			reads:   []read{first, second},
			after:   lagoonbarrow.NewRowVersion(1, 10),
			changed: []string{"kept", "added"},
			deleted: []string{"removed"},
		},
		{
			name:  "before the first copy",
			reads: []read{first, second},
			after: lagoonbarrow.NewRowVersion(1, 9),
			lost:  true,
		},
		{
			name:  "beyond the copy's last version",
			reads: []read{first, second},
			after: lagoonbarrow.NewRowVersion(1, 11),
			lost:  true,
		},
		{
			name:  "in the new era, before the first read",
			reads: []read{first, second},
			after: lagoonbarrow.NewRowVersion(2, 8),
			lost:  true,
		},
		{
			name:  "at the first read of the new era",
			reads: []read{first, second},
			after: lagoonbarrow.NewRowVersion(2, 9),
		},
		{
			name:  "two eras ago",
			reads: []read{first, second, third},
			after: lagoonbarrow.NewRowVersion(1, 10),
			lost:  true,
		},
		{
			name:    "one era ago",
			reads:   []read{first, second, third},
			after:   lagoonbarrow.NewRowVersion(2, 9),
			changed: []string{"kept"},
			deleted: []string{"added"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			cache := NewCache()
			for _, read := range test.reads {
				if !cache.Replace(tableName, read.rows, read.version, 0) {
					t.Fatalf("the rows of version %d were not used", read.version)
				}
			}
			checkChanges(t, cache, test.after, test.lost, test.changed, test.deleted)
			// A node that follows the reader passes on the same.
			follower := NewCache()
			follower.Replace(tableName, test.reads[0].rows, test.reads[0].version, 0)
			for i := 1; i < len(test.reads); i++ {
				reader := NewCache()
				for _, read := range test.reads[:i+1] {
					reader.Replace(tableName, read.rows, read.version, 0)
				}
				found := reader.changesAfter(tableName, follower.changesAfter(tableName, 0).version)
				follower.Apply(tableName, found.changes, found.version, 0)
			}
			checkChanges(t, follower, test.after, test.lost, test.changed, test.deleted)
		})
	}
	cache := NewCache()
	cache.Replace(tableName, second.rows, second.version, 0)
	if cache.Replace(tableName, first.rows, first.version, 0) {
		t.Error("rows from before the restore replaced later ones")
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

package feed

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"lagoonbarrow"
)

// maxDeletions bounds the deletions that a copy of a table remembers. A node that is
// further behind reads all rows again.
const maxDeletions = 4096

// tableCopy is the copy of one table.
type tableCopy struct {
	rows map[string]copiedRow
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

// copiedRow is a row of a copy.
type copiedRow struct {
	row lagoonbarrow.Row
	// changedAt is the version since which the row has its value. It is of an earlier era
	// than the row's version if a restore of the store has not changed the row.
	changedAt lagoonbarrow.RowVersion
}

// equal reports whether two rows were written by the same change.
func (r copiedRow) equal(other copiedRow) bool {
	return r.row.Version.Number() == other.row.Version.Number() && bytes.Equal(r.row.Value, other.row.Value)
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

// newTableCopy returns a copy with these rows and no history.
func newTableCopy(rows []lagoonbarrow.Row, version lagoonbarrow.RowVersion, confirmedAt time.Time) *tableCopy {
	t := &tableCopy{
		rows:         map[string]copiedRow{},
		deleted:      map[string]lagoonbarrow.RowVersion{},
		startVersion: version,
		version:      version,
		confirmedAt:  confirmedAt,
		updated:      make(chan struct{}),
	}
	for _, row := range rows {
		t.setRow(row)
	}
	return t
}

func (t *tableCopy) setRow(row lagoonbarrow.Row) {
	t.rows[row.Key] = copiedRow{
		row:       row,
		changedAt: row.Version,
	}
}

// inheritHistory adds what the previous copy knows of changes: its deletions, its rows that
// this copy lacks, and since when rows have their value.
func (t *tableCopy) inheritHistory(previous *tableCopy) {
	t.startVersion = previous.startVersion
	t.restored = previous.restored
	for key, deletedAt := range previous.deleted {
		if _, exists := t.rows[key]; !exists {
			t.deleted[key] = deletedAt
		}
	}
	for key, before := range previous.rows {
		present, exists := t.rows[key]
		switch {
		case !exists:
			t.deleted[key] = t.version
		case present.equal(before):
			present.changedAt = before.changedAt
			t.rows[key] = present
		}
	}
	t.noteRestore(previous.version)
	t.forgetDeletions()
}

// advance applies changes up to a version. It returns them, and in a new era also the rows
// that the restore has not changed, with their new versions.
func (t *tableCopy) advance(changes []lagoonbarrow.Change, version lagoonbarrow.RowVersion) []lagoonbarrow.Change {
	for _, change := range changes {
		t.apply(change)
	}
	previous := t.version
	t.version = version
	t.noteRestore(previous)
	if version.Era() == previous.Era() {
		return changes
	}
	return append(t.adoptEra(version.Era()), changes...)
}

// adoptEra gives the rows of earlier eras, which the restore has not changed, their version
// in a new era: the number is the same. It returns these rows.
func (t *tableCopy) adoptEra(era lagoonbarrow.Era) []lagoonbarrow.Change {
	var adopted []lagoonbarrow.Change
	for key, copied := range t.rows {
		if copied.row.Version.Era() == era {
			continue
		}
		copied.row.Version = lagoonbarrow.NewRowVersion(era, copied.row.Version.Number())
		t.rows[key] = copied
		adopted = append(adopted, lagoonbarrow.Change{
			Row: copied.row,
		})
	}
	return adopted
}

func (t *tableCopy) apply(change lagoonbarrow.Change) {
	key := change.Row.Key
	if change.Deleted {
		delete(t.rows, key)
		t.deleted[key] = change.Row.Version
		t.forgetDeletions()
		return
	}
	t.setRow(change.Row)
	delete(t.deleted, key)
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

// coversChangesAfter reports whether the copy knows all changes after a version.
func (t *tableCopy) coversChangesAfter(version lagoonbarrow.RowVersion) bool {
	return version >= t.startVersion && !t.restored.contains(version)
}

// changesAfter returns the changes after a version, in order.
func (t *tableCopy) changesAfter(table string, version lagoonbarrow.RowVersion) []lagoonbarrow.Change {
	var changes []lagoonbarrow.Change
	for _, copied := range t.rows {
		if copied.changedAt > version {
			changes = append(changes, lagoonbarrow.Change{
				Row: copied.row,
			})
		}
	}
	for key, deletedAt := range t.deleted {
		if deletedAt > version {
			changes = append(changes, lagoonbarrow.Change{
				Row: lagoonbarrow.Row{
					Table:   table,
					Key:     key,
					Version: deletedAt,
				},
				Deleted: true,
			})
		}
	}
	slices.SortFunc(changes, func(a, b lagoonbarrow.Change) int {
		return cmp.Or(cmp.Compare(a.Row.Version, b.Row.Version), cmp.Compare(a.Row.Key, b.Row.Key))
	})
	return changes
}

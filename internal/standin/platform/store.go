package platform

import (
	"slices"
	"strconv"
	"sync"

	"lagoonbarrow"
)

// The outcomes of one write in a batch.
const (
	// OutcomeWritten means that the write took effect.
	OutcomeWritten = "written"
	// OutcomeConflict means that the row had another version, which the result holds.
	OutcomeConflict = "conflict"
	// OutcomeNotWritten means that another write of an atomic batch had a conflict.
	OutcomeNotWritten = "not-written"
)

// Result is the result of one write of a batch.
type Result struct {
	Outcome string `json:"outcome"`
	// Version is the row's version after the batch.
	Version lagoonbarrow.RowVersion `json:"version"`
}

// storedRow holds the version and the value of a row.
type storedRow struct {
	version lagoonbarrow.RowVersion
	value   []byte
}

// tableRows holds the rows of a table.
type tableRows struct {
	byKey map[string]storedRow
	// keys holds the keys in sorted order. It is outdated while unsorted is set.
	keys     []string
	unsorted bool
}

type object struct {
	etag string
	body []byte
}

// store holds the tables and objects.
type store struct {
	mutex   sync.Mutex
	tables  map[string]*tableRows
	objects map[string]object
	// lastETag is the number in the newest ETag. It only increases, so no ETag is
	// reused.
	lastETag uint64
}

func newStore() *store {
	return &store{
		tables:  map[string]*tableRows{},
		objects: map[string]object{},
	}
}

func (s *store) get(table, key string) (lagoonbarrow.Row, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	rows := s.tables[table]
	if rows == nil {
		return lagoonbarrow.Row{}, false
	}
	found, ok := rows.byKey[key]
	if !ok {
		return lagoonbarrow.Row{}, false
	}
	return newRow(table, key, found), true
}

func newRow(table, key string, stored storedRow) lagoonbarrow.Row {
	return lagoonbarrow.Row{
		Table:   table,
		Key:     key,
		Version: stored.version,
		Value:   stored.value,
	}
}

// scan returns up to limit rows with keys greater than after, in key order.
func (s *store) scan(table, after string, limit int) []lagoonbarrow.Row {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := []lagoonbarrow.Row{}
	rows := s.tables[table]
	if rows == nil {
		return found
	}
	rows.sort()
	start, exact := slices.BinarySearch(rows.keys, after)
	if exact {
		start++
	}
	end := min(start+limit, len(rows.keys))
	for _, key := range rows.keys[start:end] {
		found = append(found, newRow(table, key, rows.byKey[key]))
	}
	return found
}

// sort rebuilds the sorted keys if rows have been created or deleted.
func (t *tableRows) sort() {
	if !t.unsorted {
		return
	}
	t.keys = t.keys[:0]
	for key := range t.byKey {
		t.keys = append(t.keys, key)
	}
	slices.Sort(t.keys)
	t.unsorted = false
}

// apply makes a write whose expected version matches and returns the new version of
// the row.
func (t *tableRows) apply(write lagoonbarrow.Write) lagoonbarrow.RowVersion {
	if write.Delete {
		delete(t.byKey, write.Key)
		t.unsorted = true
		return 0
	}
	version := write.Expected + 1
	t.byKey[write.Key] = storedRow{
		version: version,
		value:   slices.Clone(write.Value),
	}
	if write.Expected == 0 {
		t.unsorted = true
	}
	return version
}

// getOrCreateTable returns the rows of a table, which is created if needed. The
// caller holds the mutex.
func (s *store) getOrCreateTable(table string) *tableRows {
	rows := s.tables[table]
	if rows == nil {
		rows = &tableRows{
			byKey: map[string]storedRow{},
		}
		s.tables[table] = rows
	}
	return rows
}

// writeEach applies each write independently of the others, in order.
func (s *store) writeEach(writes []lagoonbarrow.Write) []Result {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	results := make([]Result, 0, len(writes))
	for _, write := range writes {
		rows := s.getOrCreateTable(write.Table)
		current := rows.byKey[write.Key].version
		if current != write.Expected {
			results = append(results, Result{
				Outcome: OutcomeConflict,
				Version: current,
			})
			continue
		}
		results = append(results, Result{
			Outcome: OutcomeWritten,
			Version: rows.apply(write),
		})
	}
	return results
}

// writeAll applies all writes, or none if any of them has a conflict. It reports
// whether they were applied.
func (s *store) writeAll(writes []lagoonbarrow.Write) ([]Result, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	results := make([]Result, 0, len(writes))
	allMatch := true
	for _, write := range writes {
		current := s.getOrCreateTable(write.Table).byKey[write.Key].version
		outcome := OutcomeNotWritten
		if current != write.Expected {
			outcome = OutcomeConflict
			allMatch = false
		}
		results = append(results, Result{
			Outcome: outcome,
			Version: current,
		})
	}
	if !allMatch {
		return results, false
	}
	for i, write := range writes {
		results[i] = Result{
			Outcome: OutcomeWritten,
			Version: s.getOrCreateTable(write.Table).apply(write),
		}
	}
	return results, true
}

func (s *store) getObject(name string) (object, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found, ok := s.objects[name]
	return found, ok
}

// putObject writes an object if its ETag is the expected one, and returns the current
// ETag. An empty expected ETag means that the object must not exist.
func (s *store) putObject(name, expected string, body []byte) (string, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := s.objects[name]
	if current.etag != expected {
		return current.etag, false
	}
	s.lastETag++
	etag := `"` + strconv.FormatUint(s.lastETag, 10) + `"`
	s.objects[name] = object{
		etag: etag,
		body: slices.Clone(body),
	}
	return etag, true
}

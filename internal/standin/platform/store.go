package platform

import (
	"slices"
	"strconv"
	"sync"

	"lagoonbarrow"
)

// The outcomes of one write in a batch.
const (
	// OutcomeWritten: the write took effect.
	OutcomeWritten = "written"
	// OutcomeConflict: the row had another version, which is reported.
	OutcomeConflict = "conflict"
	// OutcomeNotWritten: another write of an atomic batch had a conflict.
	OutcomeNotWritten = "not-written"
)

// Result is what became of one write of a batch.
type Result struct {
	Outcome string `json:"outcome"`
	// Version is the row's version after the batch.
	Version lagoonbarrow.RowVersion `json:"version"`
}

type cell struct {
	version lagoonbarrow.RowVersion
	value   []byte
}

type tableRows struct {
	cells map[string]cell
	// keys holds the keys in order, unless unsorted is set.
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
	// etags counts the object writes, so that no ETag is used twice.
	etags uint64
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
	found, ok := rows.cells[key]
	if !ok {
		return lagoonbarrow.Row{}, false
	}
	return newRow(table, key, found), true
}

func newRow(table, key string, from cell) lagoonbarrow.Row {
	return lagoonbarrow.Row{
		Table:   table,
		Key:     key,
		Version: from.version,
		Value:   from.value,
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
		found = append(found, newRow(table, key, rows.cells[key]))
	}
	return found
}

// sort rebuilds the ordered keys after rows were created or deleted.
func (t *tableRows) sort() {
	if !t.unsorted {
		return
	}
	t.keys = t.keys[:0]
	for key := range t.cells {
		t.keys = append(t.keys, key)
	}
	slices.Sort(t.keys)
	t.unsorted = false
}

func (t *tableRows) apply(write lagoonbarrow.Write) lagoonbarrow.RowVersion {
	if write.Delete {
		delete(t.cells, write.Key)
		t.unsorted = true
		return 0
	}
	version := write.Expected + 1
	t.cells[write.Key] = cell{
		version: version,
		value:   slices.Clone(write.Value),
	}
	if write.Expected == 0 {
		t.unsorted = true
	}
	return version
}

func (s *store) rowsOf(table string) *tableRows {
	rows := s.tables[table]
	if rows == nil {
		rows = &tableRows{
			cells: map[string]cell{},
		}
		s.tables[table] = rows
	}
	return rows
}

// writeEach judges and applies each write by itself, in order.
func (s *store) writeEach(writes []lagoonbarrow.Write) []Result {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	results := make([]Result, 0, len(writes))
	for _, write := range writes {
		rows := s.rowsOf(write.Table)
		present := rows.cells[write.Key].version
		if present != write.Expected {
			results = append(results, Result{
				Outcome: OutcomeConflict,
				Version: present,
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

// writeAll applies all writes, or none when one has a conflict. It reports
// whether they were applied.
func (s *store) writeAll(writes []lagoonbarrow.Write) ([]Result, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	results := make([]Result, 0, len(writes))
	agreed := true
	for _, write := range writes {
		present := s.rowsOf(write.Table).cells[write.Key].version
		outcome := OutcomeNotWritten
		if present != write.Expected {
			outcome = OutcomeConflict
			agreed = false
		}
		results = append(results, Result{
			Outcome: outcome,
			Version: present,
		})
	}
	if !agreed {
		return results, false
	}
	for i, write := range writes {
		results[i] = Result{
			Outcome: OutcomeWritten,
			Version: s.rowsOf(write.Table).apply(write),
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

// putObject writes an object if its ETag is the expected one. An empty
// expected ETag means that the object must not exist.
func (s *store) putObject(name, expected string, body []byte) (string, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	present := s.objects[name]
	if present.etag != expected {
		return present.etag, false
	}
	s.etags++
	etag := `"` + strconv.FormatUint(s.etags, 10) + `"`
	s.objects[name] = object{
		etag: etag,
		body: slices.Clone(body),
	}
	return etag, true
}

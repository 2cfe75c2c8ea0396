package contract

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	"lagoonbarrow"
)

// fault is a failure that a fakeTable injects into a transaction.
type fault int

const (
	faultNone fault = iota
	// faultDown rejects the transaction as unavailable.
	faultDown
	// faultLostAnswer applies the transaction and loses the answer.
	faultLostAnswer
	// faultLostRequest does not apply the transaction and returns no answer.
	faultLostRequest
	// faultDelayed loses the answer and applies the transaction later.
	faultDelayed
)

// fakeTable is an in-memory table with fault injection.
type fakeTable struct {
	lagoonbarrow.Table
	mutex       sync.Mutex
	rows        map[string]map[string]lagoonbarrow.Row
	lastVersion lagoonbarrow.RowVersion
	down        bool
	// fault returns the fault of the next transaction. If it is nil, none fails.
	fault   func() fault
	delayed [][]lagoonbarrow.Write
	// beforeScan runs before each scan. Tests use it to change rows between pages.
	beforeScan func(table, after string)
	reads      int
}

func newFakeTable() *fakeTable {
	return &fakeTable{
		rows: map[string]map[string]lagoonbarrow.Row{},
	}
}

func (t *fakeTable) setDown(down bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.down = down
}

func (t *fakeTable) Get(ctx context.Context, table, key string) (lagoonbarrow.Row, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.reads++
	if t.down || ctx.Err() != nil {
		return lagoonbarrow.Row{}, lagoonbarrow.ErrUnavailable
	}
	row, found := t.rows[table][key]
	if !found {
		return row, lagoonbarrow.ErrNotFound
	}
	return row, nil
}

func (t *fakeTable) Scan(ctx context.Context, table, after string, limit int) ([]lagoonbarrow.Row, error) {
	if t.beforeScan != nil {
		t.beforeScan(table, after)
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.reads++
	if t.down || ctx.Err() != nil {
		return nil, lagoonbarrow.ErrUnavailable
	}
	var rows []lagoonbarrow.Row
	for key, row := range t.rows[table] {
		if key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b lagoonbarrow.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

func (t *fakeTable) Transact(ctx context.Context, writes []lagoonbarrow.Write) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.down || ctx.Err() != nil {
		return lagoonbarrow.ErrUnavailable
	}
	kind := faultNone
	if t.fault != nil {
		kind = t.fault()
	}
	switch kind {
	case faultDown:
		return lagoonbarrow.ErrUnavailable
	case faultLostRequest:
		return lagoonbarrow.ErrOutcomeUnknown
	case faultDelayed:
		t.delayed = append(t.delayed, writes)
		return lagoonbarrow.ErrOutcomeUnknown
	}
	err := t.apply(writes)
	// Delayed transactions take effect after the next one that the table applies.
	for _, delayed := range t.delayed {
		_ = t.apply(delayed)
	}
	t.delayed = nil
	if kind == faultLostAnswer {
		return lagoonbarrow.ErrOutcomeUnknown
	}
	return err
}

func (t *fakeTable) apply(writes []lagoonbarrow.Write) error {
	for _, write := range writes {
		if t.rows[write.Table][write.Key].Version != write.Expected {
			return lagoonbarrow.ErrConflict
		}
	}
	for _, write := range writes {
		if write.Delete {
			delete(t.rows[write.Table], write.Key)
			continue
		}
		if t.rows[write.Table] == nil {
			t.rows[write.Table] = map[string]lagoonbarrow.Row{}
		}
		t.lastVersion++
		t.rows[write.Table][write.Key] = lagoonbarrow.Row{
			Table:   write.Table,
			Key:     write.Key,
			Version: t.lastVersion,
			Value:   write.Value,
		}
	}
	return nil
}

// trim deletes all change rows.
func (t *fakeTable) trim() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.rows, tableChanges)
}

func newTestStore(table lagoonbarrow.Table) *Store {
	return NewStore(StoreConfig{
		Table: table,
	})
}

func testHash(number int) string { return fmt.Sprintf("%064x", number) }

func testContract(customer string, hashes ...string) lagoonbarrow.Contract {
	return lagoonbarrow.Contract{
		Customer:           lagoonbarrow.CustomerID(customer),
		KeyHashes:          hashes,
		WorkUnitsPerSecond: 10,
		BurstWorkUnits:     10,
		Classes: []lagoonbarrow.Class{
			{
				Name:           "browse",
				PathPrefix:     "/",
				ImportanceName: "deferrable",
				WorkUnits:      1,
			},
		},
	}
}

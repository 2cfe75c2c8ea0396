package era

import (
	"context"
	"errors"
	"testing"
	"time"

	"lagoonbarrow"
)

// scriptedStore responds with one version to all calls.
type scriptedStore struct {
	version lagoonbarrow.RowVersion
	calls   int
}

func (s *scriptedStore) Rows(context.Context, string) ([]lagoonbarrow.Row, lagoonbarrow.RowVersion, error) {
	s.calls++
	return nil, s.version, nil
}

func (s *scriptedStore) Changes(context.Context, string, lagoonbarrow.RowVersion, time.Duration) ([]lagoonbarrow.Change, lagoonbarrow.RowVersion, error) {
	s.calls++
	return nil, s.version, nil
}

func (s *scriptedStore) Put(context.Context, lagoonbarrow.Write) (lagoonbarrow.RowVersion, error) {
	s.calls++
	return s.version, nil
}

// Guards against changes that count as complete although their number was given out again.
func TestChangesOfAnotherEraAreNotUsed(t *testing.T) {
	tests := []struct {
		name string
		// known is the era of the response before, or 0 for none.
		known    lagoonbarrow.Era
		after    lagoonbarrow.RowVersion
		response lagoonbarrow.RowVersion
		want     error
	}{
		{
			name:     "same era",
			known:    1,
			after:    lagoonbarrow.NewRowVersion(1, 5),
			response: lagoonbarrow.NewRowVersion(1, 6),
		},
		{
			name:     "no eras",
			after:    5,
			response: 6,
		},
		{
			name:     "restored, same number",
			known:    1,
			after:    lagoonbarrow.NewRowVersion(1, 5),
			response: lagoonbarrow.NewRowVersion(2, 5),
			want:     lagoonbarrow.ErrHistoryLost,
		},
		{
			name:     "restored, higher number",
			known:    1,
			after:    lagoonbarrow.NewRowVersion(1, 5),
			response: lagoonbarrow.NewRowVersion(2, 9),
			want:     lagoonbarrow.ErrHistoryLost,
		},
		{
			name:     "restored twice",
			known:    1,
			after:    lagoonbarrow.NewRowVersion(1, 5),
			response: lagoonbarrow.NewRowVersion(3, 9),
			want:     lagoonbarrow.ErrHistoryLost,
		},
		{
			name:     "restored before the first response",
			after:    lagoonbarrow.NewRowVersion(1, 5),
			response: lagoonbarrow.NewRowVersion(2, 9),
			want:     lagoonbarrow.ErrHistoryLost,
		},
		{
			name:     "late response",
			known:    2,
			after:    lagoonbarrow.NewRowVersion(2, 5),
			response: lagoonbarrow.NewRowVersion(1, 9),
			want:     lagoonbarrow.ErrUnavailable,
		},
		{
			name:     "late response to a query of the same era",
			known:    2,
			after:    lagoonbarrow.NewRowVersion(1, 5),
			response: lagoonbarrow.NewRowVersion(1, 9),
			want:     lagoonbarrow.ErrUnavailable,
		},
		{
			name:     "another node has seen the restore first",
			after:    lagoonbarrow.NewRowVersion(2, 5),
			response: lagoonbarrow.NewRowVersion(1, 9),
			want:     lagoonbarrow.ErrUnavailable,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inner := &scriptedStore{}
			store := NewStore(Config{
				Store: inner,
			})
			if test.known > 0 {
				inner.version = lagoonbarrow.NewRowVersion(test.known, 1)
				if _, _, err := store.Rows(t.Context(), "table"); err != nil {
					t.Fatal(err)
				}
			}
			inner.version = test.response
			_, version, err := store.Changes(t.Context(), "table", test.after, 0)
			if !errors.Is(err, test.want) || err == nil && version != test.response {
				t.Errorf("version %d, error %v, want %v", version, err, test.want)
			}
		})
	}
}

// Guards against rows from before a restore that arrive late and are used.
func TestLateRowsAreNotUsed(t *testing.T) {
	inner := &scriptedStore{
		version: lagoonbarrow.NewRowVersion(2, 1),
	}
	store := NewStore(Config{
		Store: inner,
	})
	if _, _, err := store.Rows(t.Context(), "table"); err != nil {
		t.Fatal(err)
	}
	inner.version = lagoonbarrow.NewRowVersion(1, 9)
	if _, _, err := store.Rows(t.Context(), "table"); !errors.Is(err, lagoonbarrow.ErrUnavailable) {
		t.Errorf("error %v", err)
	}
}

// Guards against a write that counts as done although a restore has lost or misdirected it.
func TestWritesAcrossARestoreAreNotTakenForDone(t *testing.T) {
	tests := []struct {
		name     string
		known    lagoonbarrow.Era
		expected lagoonbarrow.RowVersion
		response lagoonbarrow.RowVersion
		want     error
		calls    int
	}{
		{
			name:     "same era",
			known:    1,
			expected: lagoonbarrow.NewRowVersion(1, 5),
			response: lagoonbarrow.NewRowVersion(1, 6),
			calls:    1,
		},
		{
			name:     "new row",
			known:    1,
			response: lagoonbarrow.NewRowVersion(1, 6),
			calls:    1,
		},
		{
			name:     "new row, restored meanwhile",
			known:    1,
			response: lagoonbarrow.NewRowVersion(2, 6),
			calls:    1,
		},
		{
			name:     "expected version of an earlier era",
			known:    2,
			expected: lagoonbarrow.NewRowVersion(1, 5),
			response: lagoonbarrow.NewRowVersion(2, 6),
			want:     lagoonbarrow.ErrConflict,
		},
		{
			name:     "restored meanwhile",
			known:    1,
			expected: lagoonbarrow.NewRowVersion(1, 5),
			response: lagoonbarrow.NewRowVersion(2, 6),
			want:     lagoonbarrow.ErrOutcomeUnknown,
			calls:    1,
		},
		{
			name:     "done before a restore that is known",
			known:    2,
			response: lagoonbarrow.NewRowVersion(1, 6),
			want:     lagoonbarrow.ErrOutcomeUnknown,
			calls:    1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inner := &scriptedStore{
				version: lagoonbarrow.NewRowVersion(test.known, 1),
			}
			store := NewStore(Config{
				Store: inner,
			})
			if _, _, err := store.Rows(t.Context(), "table"); err != nil {
				t.Fatal(err)
			}
			inner.calls = 0
			inner.version = test.response
			version, err := store.Put(t.Context(), lagoonbarrow.Write{
				Table:    "table",
				Key:      "a",
				Expected: test.expected,
			})
			if !errors.Is(err, test.want) || err == nil && version != test.response {
				t.Errorf("version %d, error %v, want %v", version, err, test.want)
			}
			if inner.calls != test.calls {
				t.Errorf("%d calls, want %d", inner.calls, test.calls)
			}
		})
	}
}

// Guards against a restore that nobody is told of.
func TestEachRestoreIsReportedOnce(t *testing.T) {
	var reported []lagoonbarrow.Era
	inner := &scriptedStore{}
	store := NewStore(Config{
		Store: inner,
		OnRestored: func(_, current lagoonbarrow.Era) {
			reported = append(reported, current)
		},
	})
	for _, era := range []lagoonbarrow.Era{3, 3, 4, 3, 4, 6} {
		inner.version = lagoonbarrow.NewRowVersion(era, 1)
		_, _, _ = store.Rows(t.Context(), "table")
	}
	if len(reported) != 2 || reported[0] != 4 || reported[1] != 6 {
		t.Errorf("reported eras %v, want 4 and 6", reported)
	}
}

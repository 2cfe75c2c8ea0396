package sidecar

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"lagoonbarrow"
)

// keyStore is a store that holds the row with the key only.
type keyStore struct {
	lagoonbarrow.RowStore

	mu      sync.Mutex
	era     lagoonbarrow.Era
	version uint64
	value   []byte
}

// Rows implements lagoonbarrow.ChangeFeed.
func (s *keyStore) Rows(context.Context, string) ([]lagoonbarrow.Row, lagoonbarrow.RowVersion, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := lagoonbarrow.NewRowVersion(s.era, s.version)
	if s.value == nil {
		return nil, version, nil
	}
	row := lagoonbarrow.Row{
		Key:     keyRow,
		Version: version,
		Value:   s.value,
	}
	return []lagoonbarrow.Row{row}, version, nil
}

// Put implements lagoonbarrow.RowStore.
func (s *keyStore) Put(_ context.Context, write lagoonbarrow.Write) (lagoonbarrow.RowVersion, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if write.Expected != 0 || s.value != nil {
		return 0, lagoonbarrow.ErrConflict
	}
	s.version++
	s.value = write.Value
	return lagoonbarrow.NewRowVersion(s.era, s.version), nil
}

func newKeyLoader(store *keyStore) *peerKeyLoader {
	return &peerKeyLoader{
		store:  store,
		logger: hclog.NewNullLogger(),
	}
}

// Guards against a process that makes a key of its own while nodes with the lost one run.
func TestKeyIsCreatedOnceNoNodeCanHaveIt(t *testing.T) {
	tests := []struct {
		name string
		era  lagoonbarrow.Era
		// earliest and latest bound when the process has a key.
		earliest time.Duration
		latest   time.Duration
	}{
		{
			name:   "store without eras",
			latest: time.Second,
		},
		{
			name:   "store that was never restored",
			era:    1,
			latest: time.Second,
		},
		{
			name:     "restored store",
			era:      2,
			earliest: lostKeyTimeout,
			latest:   lostKeyTimeout + 2*time.Second,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				key, err := newKeyLoader(&keyStore{
					era: test.era,
				}).wait(t.Context())
				took := time.Since(started)
				if err != nil || len(key) != keyBytes || took < test.earliest || took > test.latest {
					t.Errorf("key of %d bytes after %s, error %v", len(key), took, err)
				}
			})
		})
	}
}

// Guards against a lost key that no node writes again, and one that replaces another.
func TestKeyIsKeptAfterARestore(t *testing.T) {
	own, other := bytes.Repeat([]byte{1}, keyBytes), bytes.Repeat([]byte{2}, keyBytes)
	tests := []struct {
		name   string
		stored []byte
		want   []byte
	}{
		{
			name: "lost",
			want: own,
		},
		{
			name:   "there",
			stored: own,
			want:   own,
		},
		{
			name:   "another one",
			stored: other,
			want:   other,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &keyStore{
					era:   2,
					value: test.stored,
				}
				loader := newKeyLoader(store)
				loader.key.Store(&own)
				loader.keep(t.Context())
				if !bytes.Equal(store.value, test.want) {
					t.Errorf("the store has the key %v, want %v", store.value, test.want)
				}
			})
		})
	}
}

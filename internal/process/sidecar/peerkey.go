package sidecar

import (
	"context"
	"crypto/rand"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/backoff"
)

// The row with the key that all nodes share. The first node creates it, and any process
// that can read the platform's store can join as a node.
const (
	keyTable = "lagoonbarrow-keys"
	keyRow   = "peer"
	keyBytes = 32
)

// peerKeyLoader loads or creates the key with which nodes authenticate each other.
type peerKeyLoader struct {
	store  lagoonbarrow.RowStore
	logger hclog.Logger
	active atomic.Bool
}

// inUse reports whether the connections between nodes were set up with the key.
func (k *peerKeyLoader) inUse() bool {
	return k.active.Load()
}

// wait retries until it has loaded the key or ctx has ended.
func (k *peerKeyLoader) wait(ctx context.Context) ([]byte, error) {
	delay := backoff.ForStore()
	for ctx.Err() == nil {
		key, err := k.load(ctx)
		if err == nil {
			return key, nil
		}
		k.logger.Warn("loading the peer key failed", "error", err)
		delay.Wait(ctx)
	}
	return nil, ctx.Err()
}

func (k *peerKeyLoader) load(ctx context.Context) ([]byte, error) {
	rows, _, err := k.store.Rows(ctx, keyTable)
	if err != nil {
		return nil, err
	}
	version := lagoonbarrow.RowVersion(0)
	for _, row := range rows {
		if row.Key != keyRow {
			continue
		}
		if len(row.Value) == keyBytes {
			return row.Value, nil
		}
		version = row.Version
	}
	return nil, k.create(ctx, version)
}

// create writes a new key and always returns an error. The key is used only after it
// was read back, which covers a lost answer and a concurrent write by another node.
func (k *peerKeyLoader) create(ctx context.Context, version lagoonbarrow.RowVersion) error {
	key := make([]byte, keyBytes)
	if _, err := rand.Read(key); err != nil {
		return errors.Wrap(err, "sidecar: generate the peer key")
	}
	_, err := k.store.Put(ctx, lagoonbarrow.Write{
		Table:    keyTable,
		Key:      keyRow,
		Expected: version,
		Value:    key,
	})
	if err != nil {
		return err
	}
	return errors.Wrap(lagoonbarrow.ErrUnavailable, "sidecar: the peer key was created and must be read back")
}

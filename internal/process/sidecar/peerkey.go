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

// The row that holds the key that all nodes share. The first node makes it, so
// that whoever can read the platform's store is a node.
const (
	keyTable = "lagoonbarrow-keys"
	keyRow   = "peer"
	keyBytes = 32
)

// peerKeys finds or makes the key that nodes authenticate each other with.
type peerKeys struct {
	store  lagoonbarrow.RowStore
	logger hclog.Logger
	found  atomic.Bool
}

func (k *peerKeys) known() bool {
	return k.found.Load()
}

// wait returns the key, or the error of ctx.
func (k *peerKeys) wait(ctx context.Context) ([]byte, error) {
	wait := backoff.ForStore()
	for ctx.Err() == nil {
		key, err := k.load(ctx)
		if err == nil {
			return key, nil
		}
		k.logger.Warn("reading the nodes' key failed", "error", err)
		wait.Wait(ctx)
	}
	return nil, ctx.Err()
}

func (k *peerKeys) load(ctx context.Context) ([]byte, error) {
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

// create makes the key. The key is used only after it was read back, so a lost
// answer or another node's write needs no further care.
func (k *peerKeys) create(ctx context.Context, version lagoonbarrow.RowVersion) error {
	key := make([]byte, keyBytes)
	if _, err := rand.Read(key); err != nil {
		return errors.Wrap(err, "sidecar: make the nodes' key")
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
	return errors.Wrap(lagoonbarrow.ErrUnavailable, "sidecar: the key was made and is read back")
}

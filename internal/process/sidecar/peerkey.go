package sidecar

import (
	"bytes"
	"context"
	crand "crypto/rand"
	"math/rand/v2"
	"sync/atomic"
	"time"

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

const (
	// maxKeyCheckDelay bounds the delay until a node checks the key after a restore. The
	// checks of a large fleet would otherwise crowd out other reads of the store.
	maxKeyCheckDelay = 5 * time.Second
	// lostKeyTimeout is how long a process waits for the key in a store that was restored,
	// before it creates one. Nodes that have it notice the restore, and write it again.
	lostKeyTimeout = maxKeyCheckDelay + 3*time.Second
	// firstEra is the era of a store that was never restored.
	firstEra = lagoonbarrow.Era(1)
)

// peerKeyLoader loads or creates the key with which nodes authenticate each other, and
// writes it again if a restore of the store has lost it.
type peerKeyLoader struct {
	store  lagoonbarrow.RowStore
	logger hclog.Logger
	active atomic.Bool
	// missedAt is when the key was first missing in a store that was restored.
	missedAt time.Time
	// key is the key in use, or empty before it was loaded.
	key atomic.Pointer[[]byte]
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
			k.key.Store(&key)
			return key, nil
		}
		k.logger.Warn("loading the peer key failed", "error", err)
		delay.Wait(ctx)
	}
	return nil, ctx.Err()
}

// load returns the key, or creates it and returns an error.
func (k *peerKeyLoader) load(ctx context.Context) ([]byte, error) {
	row, version, err := k.read(ctx)
	if err != nil {
		return nil, err
	}
	if len(row.Value) == keyBytes {
		return row.Value, nil
	}
	if k.mayBeLost(version) {
		return nil, errors.Wrap(lagoonbarrow.ErrNotFound, "sidecar: the store was restored without the peer key, which other nodes may write again")
	}
	return nil, k.create(ctx, row.Version)
}

// read returns the row with the key, which may not exist, and the version of its table.
func (k *peerKeyLoader) read(ctx context.Context) (lagoonbarrow.Row, lagoonbarrow.RowVersion, error) {
	rows, version, err := k.store.Rows(ctx, keyTable)
	if err != nil {
		return lagoonbarrow.Row{}, 0, err
	}
	for _, row := range rows {
		if row.Key == keyRow {
			return row, version, nil
		}
	}
	return lagoonbarrow.Row{}, version, nil
}

// mayBeLost reports whether a restore may have lost the key, and nodes that have it have not
// had the time to write it again.
func (k *peerKeyLoader) mayBeLost(version lagoonbarrow.RowVersion) bool {
	if version.Era() <= firstEra {
		return false
	}
	if k.missedAt.IsZero() {
		k.missedAt = time.Now()
	}
	return time.Since(k.missedAt) < lostKeyTimeout
}

// keep writes the key in use again if a restore of the store has lost it. It retries until
// the store has a key or ctx has ended.
func (k *peerKeyLoader) keep(ctx context.Context) {
	key := k.key.Load()
	if key == nil {
		return
	}
	backoff.Pause(ctx, rand.N(maxKeyCheckDelay))
	delay := backoff.ForStore()
	for ctx.Err() == nil {
		err := k.rewrite(ctx, *key)
		if err == nil {
			return
		}
		k.logger.Warn("checking the peer key after a restore failed", "error", err)
		delay.Wait(ctx)
	}
}

// rewrite writes the key if the store has none.
func (k *peerKeyLoader) rewrite(ctx context.Context, key []byte) error {
	row, _, err := k.read(ctx)
	if err != nil {
		return err
	}
	if len(row.Value) == keyBytes {
		if !bytes.Equal(row.Value, key) {
			k.logger.Error("the store has another peer key than this node, which new processes can't reach until it is restarted")
		}
		return nil
	}
	if err := k.put(ctx, row.Version, key); err != nil {
		return err
	}
	k.logger.Info("wrote the peer key again, which a restore of the store has lost")
	return nil
}

// create writes a new key and always returns an error. The key is used only after it
// was read back, which covers a lost answer and a concurrent write by another node.
func (k *peerKeyLoader) create(ctx context.Context, version lagoonbarrow.RowVersion) error {
	key := make([]byte, keyBytes)
	if _, err := crand.Read(key); err != nil {
		return errors.Wrap(err, "sidecar: generate the peer key")
	}
	if err := k.put(ctx, version, key); err != nil {
		return err
	}
	return errors.Wrap(lagoonbarrow.ErrUnavailable, "sidecar: the peer key was created and must be read back")
}

// put writes the row with the key if it has the expected version.
func (k *peerKeyLoader) put(ctx context.Context, expected lagoonbarrow.RowVersion, key []byte) error {
	_, err := k.store.Put(ctx, lagoonbarrow.Write{
		Table:    keyTable,
		Key:      keyRow,
		Expected: expected,
		Value:    key,
	})
	return err
}

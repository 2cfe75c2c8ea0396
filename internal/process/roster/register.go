package roster

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// tableName is the platform table with one row for each instance. A row's
// value is the JSON form of lagoonbarrow.Instance.
const tableName = "instances"

const (
	// minBackoff and maxBackoff bound the waits between attempts to register. The
	// wait doubles and is drawn from the upper half of its range.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 10 * time.Second
	// tableTimeout bounds one request to the platform.
	tableTimeout = 2 * time.Second
	// syncTimeout bounds one request of a digest exchange or a join.
	syncTimeout = 2 * time.Second
	// joinRounds bounds the number of answers read from one seed. Reading 7,800
	// records takes 7.
	joinRounds = 24
	// joinAttempts is how often all seeds are tried before this node continues
	// without a peer. All rows may be left over from instances that failed.
	joinAttempts = 3
)

// register writes this node's row and retries until it succeeds or ctx is done.
func (r *Roster) register(ctx context.Context) bool {
	backoff := minBackoff
	for {
		err := r.writeRow(ctx)
		if err == nil {
			r.config.Recorder.Record(event.Registered, event.Fields{})
			return true
		}
		r.config.Logger.Warn("registration failed; retrying", "error", err, "wait", backoff)
		if !sleep(ctx, backoff/2+rand.N(backoff/2)) {
			return false
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// writeRow reads the row of this instance id, raises its incarnation and writes it
// back, provided that no other process wrote the row in between.
func (r *Roster) writeRow(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	row, previous, err := r.readRow(ctx, r.config.Self.ID)
	if err != nil && !errors.Is(err, lagoonbarrow.ErrNotFound) {
		return err
	}
	own := r.Self()
	if own.Incarnation == 0 {
		epoch := max(epochAt(time.Now()), epochOf(previous.Incarnation)+1)
		own.Incarnation = firstIncarnation(epoch)
	}
	if epochOf(previous.Incarnation) > epochOf(own.Incarnation) {
		return errors.Wrap(lagoonbarrow.ErrConflict, "roster: a later process registered this instance id")
	}
	value, err := json.Marshal(own)
	if err != nil {
		return errors.Wrap(err, "roster: encode row")
	}
	version, err := r.config.Table.Put(ctx, lagoonbarrow.Write{
		Table:    tableName,
		Key:      string(own.ID),
		Expected: row.Version,
		Value:    value,
	})
	if errors.Is(err, lagoonbarrow.ErrOutcomeUnknown) {
		version, err = r.resolveRowWrite(ctx, own)
	}
	if err != nil {
		return errors.Wrap(err, "roster: write row")
	}
	r.setRowVersion(version)
	r.adoptIncarnation(own.Incarnation)
	return nil
}

// ensureRow writes this node's row again if it is missing. Thousands of nodes may
// check their rows after a partition between regions, so only those without a row
// write.
func (r *Roster) ensureRow(ctx context.Context) error {
	readCtx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	_, _, err := r.readRow(readCtx, r.config.Self.ID)
	if !errors.Is(err, lagoonbarrow.ErrNotFound) {
		return err
	}
	return r.writeRow(ctx)
}

// resolveRowWrite determines whether a row write with an unknown outcome took
// effect. Two processes with one id can write the same incarnation only if they
// start in the same millisecond. The platform's row version then accepts only one
// of the two writes.
func (r *Roster) resolveRowWrite(ctx context.Context, own lagoonbarrow.Instance) (lagoonbarrow.RowVersion, error) {
	row, written, err := r.readRow(ctx, own.ID)
	if err != nil {
		return 0, err
	}
	if written.Incarnation != own.Incarnation {
		return 0, lagoonbarrow.ErrConflict
	}
	return row.Version, nil
}

func (r *Roster) readRow(ctx context.Context, id lagoonbarrow.InstanceID) (lagoonbarrow.Row, lagoonbarrow.Instance, error) {
	row, err := r.config.Table.Get(ctx, tableName, string(id))
	if err != nil {
		return lagoonbarrow.Row{}, lagoonbarrow.Instance{}, errors.Wrap(err, "roster: read row")
	}
	var instance lagoonbarrow.Instance
	if err := json.Unmarshal(row.Value, &instance); err != nil {
		// A damaged row is overwritten by its owner; its version still counts.
		r.config.Logger.Warn("malformed row in table instances", "key", row.Key, "error", err)
	}
	return row, instance, nil
}

func (r *Roster) setRowVersion(version lagoonbarrow.RowVersion) {
	r.rowMutex.Lock()
	defer r.rowMutex.Unlock()
	r.rowVersion = version
}

// adoptIncarnation raises this process's incarnation to that of its row.
func (r *Roster) adoptIncarnation(incarnation lagoonbarrow.Incarnation) {
	r.table.mutex.Lock()
	m := r.table.members[r.selfRef]
	s := m.Status
	s.Incarnation = max(s.Incarnation, incarnation)
	r.table.set(m, newRecord(m.Instance, s), time.Now())
	r.table.mutex.Unlock()
	r.queue.add(r.selfRef, true)
}

// removeOwnRow deletes this node's row unless a later process wrote it.
func (r *Roster) removeOwnRow(ctx context.Context) {
	r.rowMutex.Lock()
	version := r.rowVersion
	r.rowMutex.Unlock()
	if version == 0 {
		return
	}
	_, err := r.config.Table.Put(ctx, lagoonbarrow.Write{
		Table:    tableName,
		Key:      string(r.config.Self.ID),
		Expected: version,
		Delete:   true,
	})
	if err != nil {
		r.config.Logger.Warn("failed to remove own row", "error", err)
	}
}

// join reads the table of a peer found in the platform's table.
func (r *Roster) join(ctx context.Context) {
	for range joinAttempts {
		seeds, err := r.readSeeds(ctx, defaultSeedRows)
		if err == nil && len(seeds) == 0 {
			return
		}
		for _, seed := range seeds {
			if r.joinVia(ctx, seed) {
				return
			}
		}
		if !sleep(ctx, minBackoff/2+rand.N(minBackoff)) {
			return
		}
	}
	r.config.Logger.Warn("no registered instance answered; continuing without peers")
}

// joinVia reads a seed's whole table and reports whether the seed answered. It
// ends when a round changes nothing, because buckets in which only this node has
// newer records keep differing.
func (r *Roster) joinVia(ctx context.Context, seed lagoonbarrow.Instance) bool {
	for range joinRounds {
		own, _ := r.table.lookup(r.selfRef)
		answer, err := r.joinRound(ctx, seed, own)
		if err != nil {
			return false
		}
		before := r.table.version.Load()
		r.mergeSync(fromJoin, answer)
		if !answer.More || r.table.version.Load() == before {
			return true
		}
	}
	return true
}

func (r *Roster) joinRound(ctx context.Context, seed lagoonbarrow.Instance, own record) (*syncBody, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	return r.sendSync(ctx, seed, kindDigest, &digestBody{
		Hashes:  r.table.digest(),
		Join:    true,
		Records: []wireRecord{toWire(own)},
	})
}

// readSeeds reads the rows of up to count other instances, from a random key on.
func (r *Roster) readSeeds(ctx context.Context, count int) ([]lagoonbarrow.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := r.config.Table.Scan(ctx, tableName, randomKey(string(r.config.Self.ID)), count)
	if err == nil && len(rows) < count {
		var first []lagoonbarrow.Row
		first, err = r.config.Table.Scan(ctx, tableName, "", count)
		rows = append(rows, first...)
	}
	if err != nil {
		return nil, errors.Wrap(err, "roster: read seeds")
	}
	seen := map[lagoonbarrow.InstanceID]bool{
		r.config.Self.ID: true,
	}
	var result []lagoonbarrow.Instance
	for _, row := range rows {
		var instance lagoonbarrow.Instance
		if json.Unmarshal(row.Value, &instance) != nil || seen[instance.ID] || instance.Peer == "" {
			continue
		}
		seen[instance.ID] = true
		result = append(result, instance)
	}
	rand.Shuffle(len(result), func(i, j int) {
		result[i], result[j] = result[j], result[i]
	})
	return result, nil
}

// maxRandomTail is how many characters at the end of an id randomKey may change.
const maxRandomTail = 6

// randomKey returns a key near the ids in use: this node's own id with a random
// number of trailing characters replaced by others of the same class. A key of
// random characters would mostly sort before or after all ids, and all nodes would
// then choose the same seeds.
func randomKey(id string) string {
	key := []byte(id)
	tail := 1 + rand.IntN(min(maxRandomTail, len(key)))
	for i := len(key) - tail; i < len(key); i++ {
		switch c := key[i]; {
		case c >= '0' && c <= '9':
			key[i] = byte('0' + rand.IntN(10))
		case c >= 'a' && c <= 'f':
			key[i] = byte('a' + rand.IntN(6))
		case c > 'f' && c <= 'z':
			key[i] = byte('a' + rand.IntN(26))
		default:
		}
	}
	return string(key)
}

package platform

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
)

// putResult is the result of one Put.
type putResult struct {
	version lagoonbarrow.RowVersion
	err     error
}

// pendingPut is a Put that waits for a batch or is part of one.
type pendingPut struct {
	write  lagoonbarrow.Write
	result chan putResult
	// sent is set when the write becomes part of a batch.
	sent bool
	// withdrawn is set when the context of the caller ends.
	withdrawn bool
	// limitedSince is when the platform first answered a batch with this write with 429.
	limitedSince time.Time
}

// meanRetryDelay is the mean delay after a 429. Each delay is drawn from 0.5 to 1.5
// times the mean.
const meanRetryDelay = 100 * time.Millisecond

type rowKey struct {
	table string
	key   string
}

func rowKeyOf(write lagoonbarrow.Write) rowKey {
	return rowKey{
		table: write.Table,
		key:   write.Key,
	}
}

// batcher groups Puts into batches. While one batch is in flight, new writes wait for
// the next. After a 429, which means that nothing was written, it sends the writes
// again in smaller batches, because a large one may never fit into the remaining limit.
type batcher struct {
	client *Client

	mutex sync.Mutex
	// sizeLimit is the current maximum number of writes in a batch. It is halved after
	// a 429 and grows by one after any other result, up to Config.MaxBatchWrites.
	sizeLimit int
	queue     []*pendingPut
	sending   bool
}

func newBatcher(client *Client) *batcher {
	return &batcher{
		client:    client,
		sizeLimit: client.config.MaxBatchWrites,
	}
}

func (b *batcher) put(ctx context.Context, write lagoonbarrow.Write) (lagoonbarrow.RowVersion, error) {
	if err := ctx.Err(); err != nil {
		return 0, errors.Wrapf(lagoonbarrow.ErrUnavailable, "platform: not sent: %v", err)
	}
	pending := &pendingPut{
		write:  write,
		result: make(chan putResult, 1),
	}
	if err := b.enqueue(pending); err != nil {
		return 0, err
	}
	select {
	case got := <-pending.result:
		return got.version, got.err
	case <-ctx.Done():
	}
	if b.withdraw(pending) {
		return 0, errors.Wrapf(lagoonbarrow.ErrUnavailable, "platform: not sent: %v", ctx.Err())
	}
	select {
	case got := <-pending.result:
		return got.version, got.err
	default:
		return 0, errors.Wrapf(lagoonbarrow.ErrOutcomeUnknown, "platform: no answer: %v", ctx.Err())
	}
}

func (b *batcher) enqueue(pending *pendingPut) error {
	if !b.client.gate.available() {
		return errors.Wrap(lagoonbarrow.ErrUnavailable, "platform: circuit breaker is open")
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.queue) >= b.client.config.MaxWaiting {
		return errors.Wrap(lagoonbarrow.ErrUnavailable, "platform: too many writes wait")
	}
	if !b.sending && !b.client.launch(b.sendAll) {
		return errors.Wrap(lagoonbarrow.ErrUnavailable, "platform: client is stopped")
	}
	b.sending = true
	b.queue = append(b.queue, pending)
	return nil
}

// withdraw cancels a write. It reports whether the write was not yet sent.
func (b *batcher) withdraw(pending *pendingPut) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	pending.withdrawn = true
	return !pending.sent
}

// sendAll sends batches until no write is waiting.
func (b *batcher) sendAll() {
	for b.continueSending() {
		acquired, err := b.client.gate.acquire(b.client.ctx)
		if err != nil {
			b.failWaiting(err)
			continue
		}
		batch := b.nextBatch()
		if len(batch) == 0 {
			b.client.gate.release(acquired, resultNotSent)
			continue
		}
		b.send(acquired, batch)
	}
}

// requeue puts the writes of a batch that was answered with 429 back at the front of
// the queue and then waits. Writes whose first 429 is older than Config.Timeout fail.
func (b *batcher) requeue(batch []*pendingPut, refusal error) {
	b.mutex.Lock()
	b.sizeLimit = max(b.sizeLimit/2, 1)
	var retried, expired []*pendingPut
	now := time.Now()
	for _, pending := range batch {
		if pending.limitedSince.IsZero() {
			pending.limitedSince = now
		}
		if now.Sub(pending.limitedSince) > b.client.config.Timeout {
			expired = append(expired, pending)
			continue
		}
		pending.sent = false
		retried = append(retried, pending)
	}
	b.queue = append(retried, b.queue...)
	b.mutex.Unlock()
	finish(expired, putResult{
		err: refusal,
	})
	timer := time.NewTimer(meanRetryDelay/2 + rand.N(meanRetryDelay))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-b.client.ctx.Done():
	}
}

// grow raises the size limit after any result except 429.
func (b *batcher) grow() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.sizeLimit = min(b.sizeLimit+1, b.client.config.MaxBatchWrites)
}

// continueSending reports whether writes are waiting. If none are, it marks sendAll
// as ended.
func (b *batcher) continueSending() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.sending = len(b.queue) > 0
	return b.sending
}

// failWaiting fails all waiting writes. None of them was sent.
func (b *batcher) failWaiting(err error) {
	b.mutex.Lock()
	failing := b.queue
	b.queue = nil
	for _, pending := range failing {
		pending.sent = true
	}
	b.mutex.Unlock()
	finish(failing, putResult{
		err: err,
	})
}

func finish(batch []*pendingPut, result putResult) {
	for _, pending := range batch {
		pending.result <- result
	}
}

// nextBatch removes the writes of the next batch from the queue, in order. A batch
// holds at most one write of a row, and later writes of the row stay in the queue.
func (b *batcher) nextBatch() []*pendingPut {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var batch, rest []*pendingPut
	size := 0
	rows := map[rowKey]bool{}
	for _, pending := range b.queue {
		if pending.withdrawn {
			continue
		}
		row := rowKeyOf(pending.write)
		full := len(batch) == b.sizeLimit
		tooLarge := len(batch) > 0 && size+len(pending.write.Value) > b.client.config.MaxBatchBytes
		if full || tooLarge || rows[row] {
			rest = append(rest, pending)
			rows[row] = true
			continue
		}
		rows[row] = true
		size += len(pending.write.Value)
		pending.sent = true
		batch = append(batch, pending)
	}
	b.queue = rest
	return batch
}

func (b *batcher) send(acquired permit, batch []*pendingPut) {
	writes := make([]lagoonbarrow.Write, 0, len(batch))
	for _, pending := range batch {
		writes = append(writes, pending.write)
	}
	body, err := json.Marshal(batchRequest{
		Writes: writes,
	})
	if err != nil {
		b.client.gate.release(acquired, resultNotSent)
		finish(batch, putResult{
			err: errors.Wrap(lagoonbarrow.ErrInvalid, "platform: encode writes"),
		})
		return
	}
	var results []writeResult
	began := time.Now()
	err = b.client.execute(acquired, request{
		method: fasthttp.MethodPost,
		path:   "/v1/batch",
		body:   body,
	}, func(got response) error {
		var decodeErr error
		results, decodeErr = decodeNonAtomic(got, writes)
		return decodeErr
	})
	b.client.metrics.recordWrite(began, len(writes))
	if errors.Is(err, errLimited) {
		b.requeue(batch, err)
		return
	}
	b.grow()
	if err != nil {
		finish(batch, putResult{
			err: err,
		})
		return
	}
	for i, pending := range batch {
		pending.result <- resultOf(results[i])
	}
}

// decodeNonAtomic decodes the response to a batch that is not atomic.
func decodeNonAtomic(got response, writes []lagoonbarrow.Write) ([]writeResult, error) {
	if got.status != fasthttp.StatusOK {
		return nil, errors.Wrapf(lagoonbarrow.ErrInvalid, "platform: status %d for a batch", got.status)
	}
	results, err := decodeBatch(got.body, writes)
	if err != nil {
		return nil, err
	}
	for _, result := range results {
		if result.Outcome == outcomeNotWritten {
			return nil, errors.Wrap(lagoonbarrow.ErrInvalid, "platform: write left out of a batch that is not atomic")
		}
	}
	return results, nil
}

func resultOf(result writeResult) putResult {
	if result.Outcome == outcomeConflict {
		return putResult{
			version: result.Version,
			err:     errors.Wrapf(lagoonbarrow.ErrConflict, "platform: row is at version %d", result.Version),
		}
	}
	return putResult{
		version: result.Version,
	}
}

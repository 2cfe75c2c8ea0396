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

// putResult is the end of one Put.
type putResult struct {
	version lagoonbarrow.RowVersion
	err     error
}

// pendingPut is a Put that waits for a batch or is part of one.
type pendingPut struct {
	write  lagoonbarrow.Write
	result chan putResult
	// sent is set when the write became part of a batch.
	sent bool
	// withdrawn is set when the caller gave up.
	withdrawn bool
	// refused is when the platform first refused a batch with this write with 429.
	refused time.Time
}

// limitedDelay is the mean wait after a 429; each is drawn from half of it to one
// and a half.
const limitedDelay = 100 * time.Millisecond

type rowName struct {
	table string
	key   string
}

func nameOf(write lagoonbarrow.Write) rowName {
	return rowName{
		table: write.Table,
		key:   write.Key,
	}
}

// batcher groups Puts: while one batch is under way, the next collects. After a
// 429, which means that nothing was written, it sends the writes again in
// smaller batches: a large one may never fit into what the platform's limit
// leaves over.
type batcher struct {
	client *Client

	mutex sync.Mutex
	// size is the present bound on a batch: it is halved by a 429 and grows by
	// one with each answer, up to Config.BatchWrites.
	size    int
	queue   []*pendingPut
	sending bool
}

func newBatcher(client *Client) *batcher {
	return &batcher{
		client: client,
		size:   client.config.BatchWrites,
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
	if len(b.queue) >= b.client.config.Waiting {
		return errors.Wrap(lagoonbarrow.ErrUnavailable, "platform: too many writes wait")
	}
	if !b.sending && !b.client.launch(b.sendAll) {
		return errors.Wrap(lagoonbarrow.ErrUnavailable, "platform: client is stopped")
	}
	b.sending = true
	b.queue = append(b.queue, pending)
	return nil
}

// withdraw takes a write back and reports whether it was still waiting.
func (b *batcher) withdraw(pending *pendingPut) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	pending.withdrawn = true
	return !pending.sent
}

// sendAll sends batches until no write waits.
func (b *batcher) sendAll() {
	for b.more() {
		taken, err := b.client.gate.acquire(b.client.ctx)
		if err != nil {
			b.failWaiting(err)
			continue
		}
		batch := b.collect()
		if len(batch) == 0 {
			b.client.gate.release(taken, unused)
			continue
		}
		b.send(taken, batch)
	}
}

// again queues the writes of a batch that was refused with 429, before those
// that wait, and waits a little. Writes that were first refused longer than
// Config.Timeout ago end.
func (b *batcher) again(batch []*pendingPut, refusal error) {
	b.mutex.Lock()
	b.size = max(b.size/2, 1)
	var back, over []*pendingPut
	now := time.Now()
	for _, pending := range batch {
		if pending.refused.IsZero() {
			pending.refused = now
		}
		if now.Sub(pending.refused) > b.client.config.Timeout {
			over = append(over, pending)
			continue
		}
		pending.sent = false
		back = append(back, pending)
	}
	b.queue = append(back, b.queue...)
	b.mutex.Unlock()
	finish(over, putResult{
		err: refusal,
	})
	timer := time.NewTimer(limitedDelay/2 + rand.N(limitedDelay))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-b.client.ctx.Done():
	}
}

// grow raises the bound on a batch after an answer.
func (b *batcher) grow() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.size = min(b.size+1, b.client.config.BatchWrites)
}

// more reports whether writes wait, and otherwise ends the sending.
func (b *batcher) more() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.sending = len(b.queue) > 0
	return b.sending
}

// failWaiting ends all waiting writes; none of them was sent.
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

// collect takes the writes of the next batch from the queue, in order. A
// second write of a row stays for a later batch, and so do those behind it for
// the same row.
func (b *batcher) collect() []*pendingPut {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var batch, rest []*pendingPut
	size := 0
	rows := map[rowName]bool{}
	for _, pending := range b.queue {
		if pending.withdrawn {
			continue
		}
		name := nameOf(pending.write)
		full := len(batch) == b.size
		tooLarge := len(batch) > 0 && size+len(pending.write.Value) > b.client.config.BatchBytes
		if full || tooLarge || rows[name] {
			rest = append(rest, pending)
			rows[name] = true
			continue
		}
		rows[name] = true
		size += len(pending.write.Value)
		pending.sent = true
		batch = append(batch, pending)
	}
	b.queue = rest
	return batch
}

func (b *batcher) send(taken ticket, batch []*pendingPut) {
	writes := make([]lagoonbarrow.Write, 0, len(batch))
	for _, pending := range batch {
		writes = append(writes, pending.write)
	}
	body, err := json.Marshal(batchRequest{
		Writes: writes,
	})
	if err != nil {
		b.client.gate.release(taken, unused)
		finish(batch, putResult{
			err: errors.Wrap(lagoonbarrow.ErrInvalid, "platform: encode writes"),
		})
		return
	}
	var results []writeResult
	began := time.Now()
	err = b.client.serve(taken, request{
		method: fasthttp.MethodPost,
		path:   "/v1/batch",
		body:   body,
	}, func(got reply) error {
		var decodeErr error
		results, decodeErr = decodeEach(got, writes)
		return decodeErr
	})
	b.client.metrics.write(began, len(writes))
	if errors.Is(err, errLimited) {
		b.again(batch, err)
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

// decodeEach reads the answer to a batch whose writes stand for themselves.
func decodeEach(got reply, writes []lagoonbarrow.Write) ([]writeResult, error) {
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

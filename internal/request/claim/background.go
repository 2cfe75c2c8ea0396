package claim

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
)

// dueJob is a job and the time of its next try.
type dueJob struct {
	job *job
	due time.Time
}

// dueHeap orders jobs by due time and implements heap.Interface.
type dueHeap []dueJob

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].due.Before(h[j].due) }
func (h dueHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *dueHeap) Push(item any) { *h = append(*h, item.(dueJob)) }

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	*h = (*h)[:last]
	return item
}

// backgroundWriter tries jobs again until each one is completed or abandoned.
type backgroundWriter struct {
	claims *Claims
	// workers are the tasks of a pond pool; they run until ctx ends.
	workers []pond.Task
	// ctx ends when the remaining jobs are abandoned.
	ctx    context.Context
	cancel context.CancelFunc
	// wake signals a worker that the queue has changed.
	wake chan struct{}
	// idle is closed when the last job ends after stopping was set.
	idle chan struct{}

	mutex sync.Mutex
	queue dueHeap
	// bytes is the size of the answers in all queued and running jobs.
	bytes    int
	running  int
	stopping bool
}

func newBackgroundWriter(claims *Claims) *backgroundWriter {
	ctx, cancel := context.WithCancel(context.Background())
	return &backgroundWriter{
		claims: claims,
		ctx:    ctx,
		cancel: cancel,
		wake:   make(chan struct{}, 1),
		idle:   make(chan struct{}),
	}
}

func (b *backgroundWriter) start() {
	pool := pond.NewPool(b.claims.config.Workers)
	for range b.claims.config.Workers {
		b.workers = append(b.workers, pool.Submit(b.work))
	}
}

// stop waits up to Config.StopTimeout for all jobs to end and abandons the rest.
func (b *backgroundWriter) stop() {
	b.mutex.Lock()
	b.stopping = true
	for i := range b.queue {
		b.queue[i].due = time.Time{}
	}
	empty := len(b.queue)+b.running == 0
	b.mutex.Unlock()
	b.signal()
	if !empty && b.workers != nil {
		b.waitIdle()
	}
	b.cancel()
	for _, worker := range b.workers {
		_ = worker.Wait()
	}
	b.abandonQueued()
}

func (b *backgroundWriter) waitIdle() {
	timer := time.NewTimer(b.claims.config.StopTimeout)
	defer timer.Stop()
	select {
	case <-b.idle:
	case <-timer.C:
	}
}

func (b *backgroundWriter) abandonQueued() {
	b.mutex.Lock()
	remaining := b.queue
	b.queue = nil
	b.mutex.Unlock()
	for _, item := range remaining {
		b.claims.recordAbandoned(item.job, "the process stopped")
	}
}

// add queues a job that is due immediately. A job that does not fit is abandoned.
func (b *backgroundWriter) add(j *job) {
	b.mutex.Lock()
	reason := ""
	switch {
	case b.stopping:
		reason = "the process is stopping"
	case len(b.queue)+b.running >= b.claims.config.QueueLength:
		reason = "the background queue is full"
	default:
		b.reserveBytes(j)
		b.push(j, time.Time{})
	}
	b.mutex.Unlock()
	if reason != "" {
		b.claims.recordAbandoned(j, reason)
		return
	}
	b.signal()
}

// reserveBytes adds the size of the job's answer to bytes. An answer that
// would exceed Config.QueueBytes is reduced to its status. The caller holds the lock.
func (b *backgroundWriter) reserveBytes(j *job) {
	size := j.row.Answer.size()
	if b.bytes+size > b.claims.config.QueueBytes {
		j.row.Answer = j.row.Answer.statusOnly()
		size = 0
	}
	b.bytes += size
}

// push queues a job. The caller holds the lock.
func (b *backgroundWriter) push(j *job, due time.Time) {
	heap.Push(&b.queue, dueJob{
		job: j,
		due: due,
	})
	b.claims.metrics.queued.Update(float64(len(b.queue)))
}

func (b *backgroundWriter) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// work runs due jobs until ctx ends.
func (b *backgroundWriter) work() {
	for {
		next, wait := b.nextDue()
		if next != nil {
			b.run(next)
			continue
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-b.wake:
		case <-b.ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// idleWait is how long a worker sleeps when nothing is queued. New jobs wake it earlier.
const idleWait = time.Minute

// nextDue removes and returns a due job, or returns the time until the next one is due.
func (b *backgroundWriter) nextDue() (*job, time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.queue) == 0 || b.ctx.Err() != nil {
		return nil, idleWait
	}
	wait := time.Until(b.queue[0].due)
	if wait > 0 {
		return nil, wait
	}
	item := heap.Pop(&b.queue).(dueJob)
	b.running++
	b.claims.metrics.queued.Update(float64(len(b.queue)))
	if len(b.queue) > 0 {
		b.signal()
	}
	return item.job, 0
}

// run tries a job once and queues it again unless it is done.
func (b *backgroundWriter) run(j *job) {
	ctx, cancel := context.WithTimeout(b.ctx, b.claims.config.CompleteTimeout)
	done, _ := b.claims.tryJob(ctx, j)
	cancel()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.running--
	if done {
		b.bytes -= j.row.Answer.size()
	} else {
		delay := b.claims.retryDelay(j.tries)
		j.tries++
		b.push(j, time.Now().Add(delay))
		b.signal()
	}
	if b.stopping && len(b.queue)+b.running == 0 {
		close(b.idle)
	}
}

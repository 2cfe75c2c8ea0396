package claim

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
)

// dueJob is a job with the time of its next try.
type dueJob struct {
	job *job
	due time.Time
}

// dueHeap orders jobs by time; it implements heap.Interface.
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

// background repeats jobs until they are settled.
type background struct {
	claims *Claims
	// workers are the tasks of a pond pool; they run until ctx ends.
	workers []pond.Task
	// ctx ends when the remaining jobs are given up.
	ctx    context.Context
	cancel context.CancelFunc
	// wake tells a worker that the queue has changed.
	wake chan struct{}
	// idle is closed when the last job ends after stopping was set.
	idle chan struct{}

	mutex sync.Mutex
	queue dueHeap
	// bytes is the size of the answers in all jobs, running ones included.
	bytes    int
	running  int
	stopping bool
}

func newBackground(claims *Claims) *background {
	ctx, cancel := context.WithCancel(context.Background())
	return &background{
		claims: claims,
		ctx:    ctx,
		cancel: cancel,
		wake:   make(chan struct{}, 1),
		idle:   make(chan struct{}),
	}
}

func (b *background) start() {
	pool := pond.NewPool(b.claims.config.Workers)
	for range b.claims.config.Workers {
		b.workers = append(b.workers, pool.Submit(b.work))
	}
}

// stop waits for the queue up to Config.StopTimeout and gives up the rest.
func (b *background) stop() {
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
	b.giveUp()
}

func (b *background) waitIdle() {
	timer := time.NewTimer(b.claims.config.StopTimeout)
	defer timer.Stop()
	select {
	case <-b.idle:
	case <-timer.C:
	}
}

func (b *background) giveUp() {
	b.mutex.Lock()
	left := b.queue
	b.queue = nil
	b.mutex.Unlock()
	for _, item := range left {
		b.claims.noteAbandoned(item.job, "the process stopped")
	}
}

// add queues a job to be tried at once. A job that does not fit is given up.
func (b *background) add(added *job) {
	b.mutex.Lock()
	refused := ""
	switch {
	case b.stopping:
		refused = "the process is stopping"
	case len(b.queue)+b.running >= b.claims.config.QueueLength:
		refused = "the background queue is full"
	default:
		b.reserve(added)
		b.push(added, time.Time{})
	}
	b.mutex.Unlock()
	if refused != "" {
		b.claims.noteAbandoned(added, refused)
		return
	}
	b.signal()
}

// reserve counts the job's answer, and reduces it when there is no room for it.
// The caller holds the lock.
func (b *background) reserve(added *job) {
	size := added.row.Answer.size()
	if b.bytes+size > b.claims.config.QueueBytes {
		added.row.Answer = added.row.Answer.reduced()
		size = 0
	}
	b.bytes += size
}

// push queues a job. The caller holds the lock.
func (b *background) push(added *job, due time.Time) {
	heap.Push(&b.queue, dueJob{
		job: added,
		due: due,
	})
	b.claims.metrics.queued.Update(float64(len(b.queue)))
}

func (b *background) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// work runs due jobs until the background ends.
func (b *background) work() {
	for {
		next, wait := b.take()
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

// idleWait is how long a worker sleeps when nothing is queued; it is woken earlier.
const idleWait = time.Minute

// take returns a due job, or the time until the next one is due.
func (b *background) take() (*job, time.Duration) {
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

// run tries a job once and queues it again unless it is over.
func (b *background) run(current *job) {
	ctx, cancel := context.WithTimeout(b.ctx, b.claims.config.CompleteTimeout)
	done, _ := b.claims.tryJob(ctx, current)
	cancel()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.running--
	if done {
		b.bytes -= current.row.Answer.size()
	} else {
		delay := b.claims.retryDelay(current.try)
		current.try++
		b.push(current, time.Now().Add(delay))
		b.signal()
	}
	if b.stopping && len(b.queue)+b.running == 0 {
		close(b.idle)
	}
}

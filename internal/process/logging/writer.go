// Package logging writes log lines without ever blocking the process.
package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the lines that wait to be written.
	maxQueuedLines = 1024
	// closeTimeout bounds the time in which Close writes them. Without it, a process whose output
	// nobody reads would not end.
	closeTimeout = 200 * time.Millisecond
)

// Writer passes lines to a goroutine that writes them. Lines that don't fit into its
// queue are dropped and counted, and the count is written as a separate line.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	stop    chan struct{}
	ended   chan struct{}
	dropped atomic.Int64
}

// NewWriter returns a writer that must be closed.
func NewWriter(out io.Writer) *Writer {
	writer := &Writer{
		out:   out,
		lines: make(chan []byte, maxQueuedLines),
		stop:  make(chan struct{}),
		ended: make(chan struct{}),
	}
	go writer.run()
	return writer
}

// Write queues a line, or drops it when the queue is full. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *Writer) run() {
	defer close(w.ended)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-w.stop:
			w.drain()
			return
		}
	}
}

// drain writes the queued lines.
func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		default:
			return
		}
	}
}

func (w *Writer) writeLine(line []byte) {
	// There is no other place to report that writing the log failed.
	_, _ = w.out.Write(line)
	if dropped := w.dropped.Swap(0); dropped > 0 {
		fmt.Fprintf(w.out, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"count\":%d}\n", dropped)
	}
}

// Close writes the queued lines, for closeTimeout at most. Other goroutines may still call Write
// after it, but their lines are lost.
func (w *Writer) Close() {
	close(w.stop)
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-w.ended:
	case <-timer.C:
	}
}

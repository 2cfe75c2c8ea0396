// Package logging writes log lines without ever blocking the process.
package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// queuedLines bounds the lines that wait to be written.
const queuedLines = 1024

// Writer hands lines to a goroutine that writes them. Lines that don't fit its
// queue are dropped and counted; the count is written as a line of its own.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	stop    chan struct{}
	dropped atomic.Int64
	ended   sync.WaitGroup
}

// NewWriter returns a writer that must be closed.
func NewWriter(out io.Writer) *Writer {
	writer := &Writer{
		out:   out,
		lines: make(chan []byte, queuedLines),
		stop:  make(chan struct{}),
	}
	writer.ended.Add(1)
	go writer.run()
	return writer
}

// Write queues a line. It never fails.
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
	defer w.ended.Done()
	for {
		select {
		case line := <-w.lines:
			w.put(line)
		case <-w.stop:
			w.drain()
			return
		}
	}
}

// drain writes what is queued.
func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			w.put(line)
		default:
			return
		}
	}
}

func (w *Writer) put(line []byte) {
	// Nothing is left to report a failure of the log to.
	_, _ = w.out.Write(line)
	if dropped := w.dropped.Swap(0); dropped > 0 {
		fmt.Fprintf(w.out, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"count\":%d}\n", dropped)
	}
}

// Close writes the queued lines. Parts that end later may still write; their lines
// are lost.
func (w *Writer) Close() {
	close(w.stop)
	w.ended.Wait()
}

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
	dropped atomic.Int64
	ended   sync.WaitGroup
}

// NewWriter returns a writer that must be closed.
func NewWriter(out io.Writer) *Writer {
	writer := &Writer{
		out:   out,
		lines: make(chan []byte, queuedLines),
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
	for line := range w.lines {
		// Nothing is left to report a failure of the log to.
		_, _ = w.out.Write(line)
		if dropped := w.dropped.Swap(0); dropped > 0 {
			fmt.Fprintf(w.out, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"count\":%d}\n", dropped)
		}
	}
}

// Close writes the queued lines. Nothing may be written after it.
func (w *Writer) Close() {
	close(w.lines)
	w.ended.Wait()
}

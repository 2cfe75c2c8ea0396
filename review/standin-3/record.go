package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file and to the standard output.
type record struct {
	started time.Time

	mu     sync.Mutex
	file   *os.File
	writer *bufio.Writer
	// broken counts the breaks of the rule.
	broken int
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		started: time.Now(),
		file:    file,
		writer:  bufio.NewWriter(file),
	}, nil
}

// note writes a line to the file.
func (r *record) note(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, arguments...)
}

// printf writes a line to the file and to the standard output.
func (r *record) printf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

// breakRule records a break of the rule.
func (r *record) breakRule(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken++
	r.write("BROKEN: "+format, arguments...)
}

// write writes a line with the time since the start. The caller holds the mutex.
func (r *record) write(format string, arguments ...any) {
	fmt.Fprintf(r.writer, "%8.3f  ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.writer, format+"\n", arguments...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}

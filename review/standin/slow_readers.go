package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

// The load of the case of the slow readers.
const (
	// readsPerSecond is the rate of the requests of one machine with a long answer.
	readsPerSecond = 20
	// longAnswerBytes is the size of their answers.
	longAnswerBytes = 8_000_000
	// slowRate is how fast a slow client reads, in bytes a second.
	slowRate = 1_000_000
	// readDuration is how long the clients send requests.
	readDuration = 15 * time.Second
	// keptClients is the number of other clients, which keep their connections.
	keptClients = 10
	// memoryInterval is the time between two looks at the memory of the process.
	memoryInterval = 20 * time.Millisecond
	// allowedLost is how often a connection may be closed without an answer.
	allowedLost = 3
)

// slowReaders lets clients read long answers slowly. The platform kills a process that
// exceeds the memory of its settings.
func slowReaders(record *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(record, []string{"reads", "reads", "writes"})
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	f.putManifest(3, "6s")
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	n := f.nodes[2]
	var lost atomic.Int64
	stop := make(chan struct{})
	for i := range keptClients {
		go f.keepReading(n, i, stop, &lost)
	}
	go f.readLongAnswers(n, trouble, stop)
	peak := f.limitMemory(n)
	close(stop)
	time.Sleep(readDeadline + time.Second)
	record.say("the process used %d MB at most; its limit is %d MB", peak>>20, memoryLimitBytes>>20)
	record.say("%d connections were closed without an answer to a request that a server was running", lost.Load())
	return lost.Load() > allowedLost, nil
}

// limitMemory kills the process when it exceeds its memory, as the platform does, and
// returns the most that it has used.
func (f *fleet) limitMemory(n *node) (peak int) {
	until := time.Now().Add(readDuration)
	for time.Now().Before(until) {
		used := n.memory()
		peak = max(peak, used)
		if used > memoryLimitBytes {
			f.record.say("the process %s uses %d MB, and the platform kills it", n.name, used>>20)
			n.signal(syscall.SIGKILL)
			return peak
		}
		time.Sleep(memoryInterval)
	}
	return peak
}

// readLongAnswers sends requests with long answers, each on its own connection.
func (f *fleet) readLongAnswers(n *node, slowly bool, stop <-chan struct{}) {
	rate := 0
	if slowly {
		rate = slowRate
	}
	path := fmt.Sprintf("/read/minutes?work-ms=100&bytes=%d", longAnswerBytes)
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Second / readsPerSecond):
		}
		go f.sendOne(n, http.MethodGet, path, fmt.Sprintf("long-%05d", i), readDeadline, rate)
	}
}

// keepReading sends one request after the other on a kept connection, and counts the ones
// that a server runs whose connection is closed without an answer.
func (f *fleet) keepReading(n *node, number int, stop <-chan struct{}, lost *atomic.Int64) {
	c, err := dial(n.outbound())
	if err != nil {
		f.record.add("kept connection %d: %v", number, err)
		return
	}
	defer c.close()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprintf("kept-%02d-%05d", number, i)
		f.record.add("%s is sent on kept connection %d", id, number)
		if err := c.send(http.MethodGet, "/read/agenda?work-ms=1000", id, readDeadline); err != nil {
			return
		}
		result := c.receive(readDeadline+time.Second, 0)
		f.record.add("%s is answered: %s", id, result)
		if result.err == nil {
			continue
		}
		if f.running(id) {
			lost.Add(1)
		}
		return
	}
}

// running reports whether a server has begun to run a request.
func (f *fleet) running(id string) bool {
	for _, s := range f.servers {
		if s.hasRun(id) {
			return true
		}
	}
	return false
}

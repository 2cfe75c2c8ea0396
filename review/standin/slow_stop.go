package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The load of the case of the slow readers beside a stop.
const (
	// stopReaders is the number of clients that read an answer while the process stops.
	stopReaders = 2
	// stopAnswerBytes is the size of their answers.
	stopAnswerBytes = 20_000_000
	// stopReadRate is how fast they read, in bytes a second: 4.8 s for an answer.
	stopReadRate = 4_200_000
	// readerInterval is the time between two of them.
	readerInterval = 400 * time.Millisecond
	// stopAfter is the time from the first request to SIGTERM.
	stopAfter = 600 * time.Millisecond
)

// slowStop stops a process by SIGTERM while clients read their answers slowly.
func slowStop(record *record, trouble bool) (broken bool, err error) {
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
	answers := make([]answer, stopReaders)
	var readers sync.WaitGroup
	for i := range answers {
		readers.Go(func() {
			path := fmt.Sprintf("/read/minutes?work-ms=100&bytes=%d", stopAnswerBytes)
			time.Sleep(time.Duration(i) * readerInterval)
			answers[i] = f.sendOne(n, http.MethodGet, path, fmt.Sprintf("slow-%d", i), readDeadline, stopReadRate)
		})
	}
	time.Sleep(stopAfter)
	if trouble {
		record.say("SIGTERM to %s", n.name)
		stopped := time.Now()
		n.signal(syscall.SIGTERM)
		go func() {
			<-n.ended()
			record.say("%s ended %s after SIGTERM, with a grace of %s", n.name, time.Since(stopped).Round(time.Millisecond), graceBound)
		}()
	}
	readers.Wait()
	incomplete := 0
	for i, a := range answers {
		if a.bytes < stopAnswerBytes {
			incomplete++
			record.say("slow-%d got %d of %d bytes: %v", i, a.bytes, stopAnswerBytes, a.err)
		}
	}
	record.say("%d of %d answers were not complete", incomplete, stopReaders)
	return incomplete > 0, nil
}

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The load of the case and its disruption, within the largest dose of garble in the site files:
// share 0.6 of the servers, x 0.05 of their answers, for 5 s.
const (
	damagedRunTime = 12 * time.Second
	damageFrom     = 4 * time.Second
	damageUntil    = 9 * time.Second
	damageShare    = 0.05
	damagedClients = 8
	damagedWork    = 10 * time.Millisecond
)

// damagedConfiguration is the operator's configuration: one idempotent route.
const damagedConfiguration = `{"version":3,"services":[{"name":"protokoly","health-path":"/health"},{"name":"porzadek","health-path":"/health"}],` +
	`"hosts":[{"host":"one.example","paths":[{"name":"minutes-read","prefix":"/minutes/","kind":"idempotent","timeout":"5s","target-latency":"1500ms",` +
	`"priority":2,"max-attempts":2,"service":"protokoly"}]}]}`

// playDamagedVersion lets one of two servers spoil a byte in the first line of some answers, some
// of which it also breaks off.
func playDamagedVersion(f *fleet) error {
	f.store.Put("op", "config", []byte(damagedConfiguration))
	var damaging atomic.Bool
	var spoiled sync.Map
	sound := func(request exchange) []byte {
		time.Sleep(damagedWork)
		f.record.note("%s runs", request.id)
		return []byte(chunkedAnswer(request.id))
	}
	faulty := func(request exchange) []byte {
		answer := sound(request)
		if !damaging.Load() || rand.Float64() >= damageShare {
			return answer
		}
		kind, damaged := spoil(string(answer), request.id)
		f.record.note("%s is answered with the first line %q, %s", request.id, firstLine(damaged), kind)
		spoiled.Store(request.id, kind)
		return []byte(damaged)
	}
	for _, machine := range []struct {
		service string
		respond responder
	}{
		{"protokoly", sound},
		{"protokoly", faulty},
		{"porzadek", sound},
	} {
		if _, err := f.start(machine.service, machine.respond); err != nil {
			return err
		}
	}
	if err := f.awaitReady(); err != nil {
		return err
	}
	if trouble() {
		time.AfterFunc(damageFrom, func() { damaging.Store(true) })
		time.AfterFunc(damageUntil, func() { damaging.Store(false) })
	}
	counts := f.sendReads(&spoiled)
	counts.report(f.record)
	if counts.whole.Load() == 0 {
		return fmt.Errorf("no request was served")
	}
	return nil
}

// readCounts counts the answers that clients have got.
type readCounts struct {
	whole, failed, spoiledSeen, spoiledFailed atomic.Int64
}

func (c *readCounts) report(r *record) {
	r.printf("whole answers %d, other answers %d; of spoiled answers %d reached the client as a success, %d as a failure",
		c.whole.Load(), c.failed.Load(), c.spoiledSeen.Load(), c.spoiledFailed.Load())
}

// sendReads sends requests for damagedRunTime and checks each answer.
func (f *fleet) sendReads(spoiled *sync.Map) *readCounts {
	counts := &readCounts{}
	end := time.Now().Add(damagedRunTime)
	var clients sync.WaitGroup
	for number := range damagedClients {
		clients.Go(func() {
			c := newClient(f.machines[2])
			for i := 0; time.Now().Before(end); i++ {
				f.sendRead(c, fmt.Sprintf("c%d-%d", number, i), spoiled, counts)
			}
		})
	}
	clients.Wait()
	return counts
}

func (f *fleet) sendRead(c *client, id string, spoiled *sync.Map, counts *readCounts) {
	answer := c.send(sending{
		id:     id,
		method: http.MethodGet,
		path:   "/minutes/x",
	})
	kind, wasSpoiled := spoiled.Load(id)
	success := answer.status >= 200 && answer.status < 300
	switch {
	case success && answer.body == wholeBody(id):
		counts.whole.Add(1)
	case success:
		counts.spoiledSeen.Add(1)
		f.record.breakRule("MIXED: %s got status %d with signature %q and %d bytes that are not the server's whole body of %d bytes (%v): it begins with %q and ends with %q",
			id, answer.status, answer.signature, len(answer.body), bodyBytes, kind, answer.body[:min(12, len(answer.body))], answer.body[max(0, len(answer.body)-12):])
	case wasSpoiled:
		counts.spoiledFailed.Add(1)
	default:
		counts.failed.Add(1)
		f.record.note("%s got status %d, error %v", id, answer.status, answer.err)
	}
}

// spoil replaces the last digit of the version in the first line of an answer. The answer ends its
// connection: half of them say so, and half break off in the second chunk.
func spoil(answer, id string) (kind, damaged string) {
	digits := "023456789"
	damaged = strings.Replace(answer, "HTTP/1.1", "HTTP/1."+string(digits[rand.IntN(len(digits))]), 1)
	if rand.IntN(2) == 0 {
		return "whole and the last of its connection", strings.Replace(damaged, "Request-Id: "+id, "Connection: close\r\nRequest-Id: "+id, 1)
	}
	damaged = damaged[:len(damaged)-bodyBytes/4]
	return "broken off", strings.Replace(damaged, "Request-Id: "+id, "Connection: close\r\nRequest-Id: "+id, 1)
}

func firstLine(answer string) string {
	line, _, _ := strings.Cut(answer, "\r\n")
	return line
}

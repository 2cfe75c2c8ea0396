package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// foreignSequence is the count in the heartbeat of the other writer: a time in
	// milliseconds.
	foreignSequence = 1_780_000_000_000
	// drainOverrun is how long the server goes on serving after the bound "drain".
	drainOverrun = 4 * time.Second
)

// foreignHeartbeat delivers a heartbeat of another writer that lacks two fields, and lets the
// server that it names leave later.
func foreignHeartbeat(record *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(record, []string{"writes", "writes", "reads"})
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	f.putManifest(3, "5s")
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	for _, n := range f.nodes {
		go f.sendWrites(n, stop)
	}
	time.Sleep(time.Second)
	leaving := f.servers[0]
	if trouble {
		foreign := fmt.Sprintf(`{"address":"%s:%s","born":%d,"info":{"service":%q,"slots":%d},"status":{"state":"ready","sequence":%d,"cold-remaining":"0ms"}}`,
			leaving.node.ip, serverPort, leaving.born.UnixMilli(), leaving.node.service, leaving.slots, foreignSequence)
		record.say("another writer sends a heartbeat for %s without a zone and a version: %d", leaving.id, leaving.deliver(foreign))
	}
	time.Sleep(2 * heartbeatInterval)
	close(leaving.stopBeat)
	leaving.setState("draining")
	if status := leaving.deliver(leaving.heartbeat()); status != http.StatusOK {
		return false, fmt.Errorf("the leaving was not acknowledged: %d", status)
	}
	acknowledged := time.Now()
	record.say("server %s says that it is draining, and its machine has acknowledged it", leaving.id)
	for until := acknowledged.Add(drainBound + drainOverrun); time.Now().Before(until); {
		time.Sleep(min(heartbeatInterval, time.Until(until)))
		record.add("server %s says again that it is draining: %d", leaving.id, leaving.deliver(leaving.heartbeat()))
	}
	record.say("server %s is gone: %d", leaving.id, leaving.leave())
	leaving.exit()
	late := leaving.arrivalsAfter(acknowledged.Add(drainBound))
	record.say("%d requests reached %s later than %s after its leaving was acknowledged", len(late), leaving.id, drainBound)
	time.Sleep(time.Second)
	record.say("%d writes ran at %s and were cut when it ended", leaving.cut(), leaving.id)
	return len(late) > 0, nil
}

package main

import (
	"fmt"
	"time"
)

// foreignSequence is the count in the heartbeat of the other writer: a time in milliseconds.
const foreignSequence = 1_780_000_000_000

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
	return f.checkDrain(leaving)
}

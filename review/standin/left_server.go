package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"lagoonbarrow/platform/standin"
)

// The times of the case of the server that has left.
const (
	// outage is how long the store is down.
	outage = 4500 * time.Millisecond
	// stopDelay is the time from the acknowledged leaving to SIGTERM.
	stopDelay = 100 * time.Millisecond
	// restartDelay is the time until the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
	// heartbeatDelay is how late the last heartbeat of the server arrives.
	heartbeatDelay = 5500 * time.Millisecond
	// serveOn is how long the server goes on serving after it has left.
	serveOn = 12 * time.Second
)

// leftServer lets a server leave while the store is down, and restarts the process that has
// acknowledged it.
func leftServer(record *record, trouble bool) (broken bool, err error) {
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
	inTouch := time.Now()
	if trouble {
		f.startOutage()
		inTouch = inTouch.Add(outage + contactBound)
	}
	close(leaving.stopBeat)
	late := leaving.heartbeat()
	time.Sleep(200 * time.Millisecond)
	if status := leaving.leave(); status != http.StatusOK {
		return false, fmt.Errorf("the leaving was not acknowledged: %d", status)
	}
	acknowledged := time.Now()
	record.say("server %s leaves, and its machine has acknowledged it", leaving.id)
	if trouble {
		if err := f.restart(leaving.node); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(acknowledged.Add(heartbeatDelay)))
	record.say("the heartbeat that %s sent before it left arrives late: %d", leaving.id, leaving.deliver(late))
	time.Sleep(time.Until(acknowledged.Add(serveOn)))
	leaving.exit()
	record.say("server %s exits", leaving.id)

	from := acknowledged.Add(drainBound)
	if inTouch.After(from) {
		from = inTouch
	}
	count := len(leaving.arrivalsAfter(from))
	record.say("%d requests reached %s later than %s after its leaving was acknowledged, when all machines were in touch",
		count, leaving.id, from.Sub(acknowledged).Round(time.Millisecond))
	time.Sleep(time.Second)
	record.say("%d writes ran at %s and were cut when it ended", leaving.cut(), leaving.id)
	return count > 0, nil
}

// startOutage lets the store answer 503 for the outage.
func (f *fleet) startOutage() {
	f.record.say("the store answers 503 for %s", outage)
	f.store.SetFaults(standin.Faults{
		Failure: standin.FailBusy,
	})
	time.AfterFunc(outage, func() {
		f.store.SetFaults(standin.Faults{})
		f.record.say("the store is back")
	})
}

// restart stops the process of a machine by SIGTERM and starts it again, as the platform does.
func (f *fleet) restart(n *node) error {
	time.Sleep(stopDelay)
	f.record.say("SIGTERM to %s", n.name)
	stopped := time.Now()
	n.signal(syscall.SIGTERM)
	select {
	case <-n.ended():
	case <-time.After(graceBound):
		n.kill()
	}
	f.record.say("the process of %s ended %s after SIGTERM", n.name, time.Since(stopped).Round(time.Millisecond))
	time.Sleep(restartDelay)
	if err := n.start(); err != nil {
		return err
	}
	f.record.say("the process of %s was started again", n.name)
	return nil
}

package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// clockStep is how far the clock of the server's machine is ahead.
	clockStep = 2 * time.Second
	// aheadTime is how long the server runs with that clock.
	aheadTime = 700 * time.Millisecond
	// crashTime is how long the server is down.
	crashTime = time.Second
	// drainOverrun is how long a leaving server goes on serving after the bound "drain".
	drainOverrun = 4 * time.Second
)

// clockBack restarts a server under its id when the clock of its machine has been set back,
// and lets it leave later.
func clockBack(record *record, trouble bool) (broken bool, err error) {
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
	leaving := f.servers[0]
	step := time.Duration(0)
	if trouble {
		step = clockStep
	}
	if err := leaving.crash(step); err != nil {
		return false, err
	}
	time.Sleep(aheadTime)
	if err := leaving.crash(0); err != nil {
		return false, err
	}
	// All clocks are right from here on, and all machines are in touch when traffic begins.
	time.Sleep(contactBound + time.Second)
	stop := make(chan struct{})
	defer close(stop)
	for _, n := range f.nodes {
		go f.sendWrites(n, stop)
	}
	time.Sleep(contactBound)
	return f.checkDrain(leaving)
}

// crash ends the server and starts it again under its id, with a clock that is ahead.
func (s *server) crash(ahead time.Duration) error {
	close(s.stopBeat)
	s.exit()
	s.record.say("server %s crashes", s.id)
	time.Sleep(crashTime)
	if err := s.start(); err != nil {
		return err
	}
	s.born = s.born.Add(ahead)
	s.sequence = 0
	s.record.say("server %s starts again under its id, with a clock that is %s ahead", s.id, ahead)
	go s.beat()
	return nil
}

// checkDrain lets a server leave and reports whether requests reach it later than the bound.
func (f *fleet) checkDrain(leaving *server) (broken bool, err error) {
	close(leaving.stopBeat)
	leaving.setState("draining")
	if status := leaving.deliver(leaving.heartbeat()); status != http.StatusOK {
		return false, fmt.Errorf("the leaving was not acknowledged: %d", status)
	}
	acknowledged := time.Now()
	f.record.say("server %s says that it is draining, and its machine has acknowledged it", leaving.id)
	for until := acknowledged.Add(drainBound + drainOverrun); time.Now().Before(until); {
		time.Sleep(min(heartbeatInterval, time.Until(until)))
		f.record.add("server %s says again that it is draining: %d", leaving.id, leaving.deliver(leaving.heartbeat()))
	}
	f.record.say("server %s is gone: %d", leaving.id, leaving.leave())
	leaving.exit()
	late := leaving.arrivalsAfter(acknowledged.Add(drainBound))
	f.record.say("%d requests reached %s later than %s after its leaving was acknowledged", len(late), leaving.id, drainBound)
	time.Sleep(time.Second)
	f.record.say("%d writes ran at %s and were cut when it ended", leaving.cut(), leaving.id)
	return len(late) > 0, nil
}

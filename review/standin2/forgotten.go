package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lagoonbarrow/platform/standin"
)

const (
	// outageTime is how long the store answers 503, as in the site file.
	outageTime = 4500 * time.Millisecond
	// leaveAt and killAt are when the server leaves and when all processes are killed, from
	// the start of the outage, and downTime how long a process is away after a kill.
	leaveAt  = 300 * time.Millisecond
	killAt   = 1500 * time.Millisecond
	downTime = 500 * time.Millisecond
	// lateAfter is how late the server's last heartbeat from before its leaving arrives.
	lateAfter = 6 * time.Second
	// lieTime is how long the server's answers at its health path are false, from the end of the
	// outage.
	lieTime = 6 * time.Second
	// drainTime and contactTime are bounds of the rule.
	drainTime   = 2500 * time.Millisecond
	contactTime = 3 * time.Second
	// serveTime is how long the server serves after it has left ("at times many seconds").
	serveTime = 16 * time.Second
	// readersEach is the number of clients of a machine.
	readersEach = 4
	// readInterval is the time between two requests of a client.
	readInterval = 20 * time.Millisecond
)

// playForgotten lets a server leave while the store is down, and kills all processes before the
// store is back. Later a heartbeat arrives that the server sent before it left. The server must
// get no request.
func playForgotten(log *record, trouble bool) (broken bool, err error) {
	f, err := newFleet("bookings", "bookings", "ratebook", "ratebook")
	if err != nil {
		return false, err
	}
	defer f.close()
	f.configure(route{
		Name:     "rate-browse",
		Prefix:   "/leny950/",
		Kind:     "idempotent",
		Timeout:  "1000ms",
		Target:   "1500ms",
		Priority: 1,
		Attempts: 2,
		Service:  "bookings",
	})
	if err := f.startAll(); err != nil {
		return false, err
	}
	stop := f.startReaders(log)
	defer stop()
	time.Sleep(contactTime)
	leaving := f.machines[0].server
	leaving.stopHeartbeats()
	late := leaving.nextHeartbeat()
	sentAt := time.Now()
	if trouble {
		f.store.SetFaults(standin.Faults{
			Failure: standin.FailBusy,
		})
		log.printf("the store answers 503")
	}
	began := time.Now()
	time.Sleep(leaveAt)
	ack := time.Now()
	if err := leaving.send(http.MethodDelete, ""); err != nil {
		return false, fmt.Errorf("the leaving was not acknowledged: %w", err)
	}
	log.printf("%s has left (DELETE), and its machine has acknowledged it", leaving.id)
	calmAt := ack
	if trouble {
		time.Sleep(time.Until(began.Add(killAt)))
		if calmAt, err = f.killAndRestart(log, began); err != nil {
			return false, err
		}
		leaving.lie(lieTime)
		log.printf("%s answers 200 at its health path for %v", leaving.id, lieTime)
	}
	time.Sleep(time.Until(sentAt.Add(lateAfter)))
	log.printf("the heartbeat that %s sent %.1f s ago arrives: %v", leaving.id, time.Since(sentAt).Seconds(), leaving.send(http.MethodPut, late))
	time.Sleep(time.Until(ack.Add(serveTime)))
	leaving.close()
	log.printf("%s has exited", leaving.id)
	stop()
	return checkForgotten(log, leaving, ack, calmAt)
}

// killAndRestart kills all processes, starts them again and ends the outage. It returns when the
// last disturbance ended.
func (f *fleet) killAndRestart(log *record, began time.Time) (calmAt time.Time, err error) {
	for _, m := range f.machines {
		m.signal(syscall.SIGKILL)
	}
	log.printf("all processes are killed")
	time.Sleep(downTime)
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return calmAt, err
		}
	}
	log.printf("all processes are started again")
	time.Sleep(time.Until(began.Add(outageTime)))
	f.store.SetFaults(standin.Faults{})
	log.printf("the store is back")
	return time.Now(), nil
}

// startReaders starts clients on all machines but the first, and returns what stops them.
func (f *fleet) startReaders(log *record) (stop func()) {
	var ended atomic.Bool
	var readers sync.WaitGroup
	for number := range readersEach * (len(f.machines) - 1) {
		m := f.machines[1+number/readersEach]
		client := &http.Client{
			Timeout: time.Second,
		}
		readers.Go(func() {
			for count := 0; !ended.Load(); count++ {
				id := fmt.Sprintf("%02d%014d", number, count)
				log.printf("%s at %s: status %d", id, m.name, sendRead(client, m, id))
				time.Sleep(readInterval)
			}
		})
	}
	return sync.OnceFunc(func() {
		ended.Store(true)
		readers.Wait()
	})
}

// sendRead sends an idempotent request and returns the status, or 0.
func sendRead(client *http.Client, m *machine, id string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+m.ip+requestPort+"/leny950/2f", nil)
	if err != nil {
		return 0
	}
	request.Host = host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "900")
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// checkForgotten reports whether requests reached the server that had left, later than the bound
// after the acknowledgement, when all machines had been in touch again.
func checkForgotten(log *record, leaving *server, ack, calmAt time.Time) (broken bool, err error) {
	before, after := 0, 0
	for _, ran := range leaving.allRuns() {
		if ran.at.Before(ack) {
			before++
		}
		if ran.at.After(ack.Add(drainTime)) && ran.at.After(calmAt.Add(contactTime)) {
			log.printf("%s reached %s %.3f s after the acknowledgement", ran.id, leaving.id, ran.at.Sub(ack).Seconds())
			after++
		}
	}
	log.summary("requests at the server before it left: %d; later than %v after the acknowledgement, with all machines in touch: %d", before, drainTime, after)
	if before == 0 {
		return false, fmt.Errorf("the server got no request before it left")
	}
	return after > 0, nil
}

package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"lagoonbarrow/platform/standin"
)

// The times of the case.
const (
	// copyAge is the age of the copy from which the store comes back.
	copyAge = 3 * time.Second
	// joinGap is the time between the first heartbeats of servers that join.
	joinGap = 50 * time.Millisecond
	// absenceDelay is the time from the registration of the last server to the store's absence.
	absenceDelay = 60 * time.Millisecond
	storeAbsence = time.Second
	// calmTime is the time from the store's return to the first request that is judged. It is the
	// bound "recovery" of the site, the longest one for machines that are back.
	calmTime = 15 * time.Second
	// judgedRequests is the number of requests on each route, and judgedPause the time between
	// two of them.
	judgedRequests = 100
	judgedPause    = 100 * time.Millisecond
	// registrationTimeout bounds the wait for the rows of the servers that join.
	registrationTimeout = 10 * time.Second
	rowPollInterval     = time.Millisecond
)

// instanceTable is the table of the store in which nodes register.
const instanceTable = "lagoonbarrow-instances"

// lostRowsConfiguration returns a version of the operator's configuration. Version 5 adds a route,
// to a service that has no servers yet.
func lostRowsConfiguration(version int) []byte {
	routes := `{"name":"minutes-read","prefix":"/minutes/","kind":"idempotent","timeout":"5s","target-latency":"1500ms","priority":2,"max-attempts":2,"service":"protokoly"}`
	if version >= addedVersion {
		routes += `,{"name":"resolution-lookup","prefix":"/lookup/","kind":"idempotent","timeout":"5s","target-latency":"300ms","priority":1,"max-attempts":2,"service":"rejestr"}`
	}
	return fmt.Appendf(nil, `{"version":%d,"services":[{"name":"protokoly","health-path":"/health"},{"name":"porzadek","health-path":"/health"},{"name":"rejestr","health-path":"/health"}],`+
		`"hosts":[{"host":"one.example","paths":[%s]}]}`, version, routes)
}

// The versions of the configuration.
const (
	firstVersion = 3
	addedVersion = 5
)

// firstMachines are the services of the machines that are there from the beginning, and
// joiningMachines those of the machines that join, 0.3 times as many.
var (
	firstMachines   = slices.Repeat([]string{"protokoly", "porzadek"}, 5)
	joiningMachines = []string{"porzadek", "rejestr", "rejestr"}
)

// playLostRows adds a route, lets machines join, and takes the store away just after they have
// registered. The store comes back from a copy from before.
func playLostRows(f *fleet) error {
	f.store.Put("op", "config", lostRowsConfiguration(firstVersion))
	respond := func(request exchange) []byte {
		f.record.note("%s runs", request.id)
		return []byte(chunkedAnswer(request.id))
	}
	for _, service := range firstMachines {
		if _, err := f.start(service, respond); err != nil {
			return err
		}
	}
	if err := f.awaitReady(); err != nil {
		return err
	}
	f.store.Put("op", "config", lostRowsConfiguration(addedVersion))
	var joining []*machine
	for _, service := range joiningMachines {
		m, err := f.startSilent(service, respond)
		if err != nil {
			return err
		}
		joining = append(joining, m)
	}
	if err := f.awaitReady(); err != nil {
		return err
	}
	before := f.store.Copy()
	time.Sleep(copyAge)
	for _, m := range joining {
		f.record.printf("the server of %s beside %s sends its first heartbeat", m.server.config.service, m.name)
		go m.sendHeartbeats()
		time.Sleep(joinGap)
	}
	if err := f.awaitRows(joining); err != nil {
		return err
	}
	time.Sleep(absenceDelay)
	if trouble() {
		f.drill(before)
	}
	time.Sleep(calmTime)
	return f.judgeRoutes(joining)
}

// drill takes the store away for a moment and brings it back from a copy.
func (f *fleet) drill(from standin.Copy) {
	f.record.printf("the store is away")
	f.store.SetFaults(standin.Faults{
		Failure: standin.FailSilent,
	})
	time.Sleep(storeAbsence)
	f.store.Restore(from)
	f.store.SetFaults(standin.Faults{})
	f.record.printf("the store is back from a copy that is %s old", copyAge)
}

// awaitRows waits until the store has acknowledged the rows of machines.
func (f *fleet) awaitRows(machines []*machine) error {
	deadline := time.Now().Add(registrationTimeout)
	for _, m := range machines {
		for f.store.Value(instanceTable, m.name) == nil {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s has no row", m.name)
			}
			time.Sleep(rowPollInterval)
		}
	}
	return nil
}

// judgeRoutes sends requests on the first route and on the one that was added, at machines that
// were there from the beginning.
func (f *fleet) judgeRoutes(joined []*machine) error {
	for _, m := range joined {
		f.record.printf("%s, whose server lives and is acknowledged, has the row %q in the store", m.name, f.store.Value(instanceTable, m.name))
	}
	first, added := 0, 0
	for i := range judgedRequests {
		c := newClient(f.machines[i%len(firstMachines)])
		first += f.sendJudged(c, fmt.Sprintf("first-%d", i), "/minutes/x")
		added += f.sendJudged(c, fmt.Sprintf("added-%d", i), "/lookup/x")
		time.Sleep(judgedPause)
	}
	f.record.printf("served on the first route %d of %d, on the added route %d of %d", first, judgedRequests, added, judgedRequests)
	if first == 0 {
		return fmt.Errorf("no request was served on the first route")
	}
	if 4*added < first {
		f.record.breakRule("CONFIG: in steady state the added route is served less than a quarter as often as the first one")
	}
	return nil
}

// sendJudged sends a request and returns 1 if it was served.
func (f *fleet) sendJudged(c *client, id, path string) int {
	answer := c.send(sending{
		id:     id,
		method: http.MethodGet,
		path:   path,
	})
	f.record.note("%s at %s got status %d", id, c.machine.name, answer.status)
	if answer.status == http.StatusOK && answer.body == wholeBody(id) {
		return 1
	}
	return 0
}

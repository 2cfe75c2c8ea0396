package forward

import (
	"math/rand/v2"
	"time"
)

const (
	// queuePart is the part of the latency objective that a client's request may wait
	// for a slot. A longer wait would leave too little for the service itself, and a
	// refusal tells the client to come back while there is still time.
	queuePart = 0.25
	// passingPart is the same at an instance when others are left to be asked.
	passingPart = 0.02
	// nestedPart is the part of the time left that a call of a running request may
	// wait. Its failure would waste the work that was spent on the request.
	nestedPart = 0.6
	// leastReturn and mostReturn bound the time after which a client is asked to come
	// back; leastReturn spares servers repeats within the length of one request.
	leastReturn = 100 * time.Millisecond
	mostReturn  = 2 * time.Second
	// firstReturn and lastReturn are the parts of the latency objective after which
	// clients return whose calls would be refused: spread, since many are refused at
	// once, and early enough to be served within the objective.
	firstReturn = 0.25
	lastReturn  = 0.6
	// returnSpread spreads the return of clients that were refused together.
	returnSpread = 0.5
)

// maxWait returns how long a request may wait for a slot at an instance. It answers
// the load of more requests than a service has slots for.
func maxWait(request *Request, last bool) time.Duration {
	part := passingPart
	if last {
		part = queuePart
	}
	wait := time.Duration(part * float64(request.Route.Objective))
	if request.Nested && last {
		wait = time.Duration(nestedPart * float64(time.Until(request.Deadline)))
	}
	return wait
}

// ReturnTime returns when a client should come back whose calls would be refused
// below. It answers the load of a service below that has too few slots.
func ReturnTime(objective time.Duration) time.Duration {
	part := firstReturn + (lastReturn-firstReturn)*rand.Float64()
	return max(leastReturn, time.Duration(part*float64(objective)))
}

// returnTime returns when a refused client should come back: when a slot can be
// expected, spread by a random number from 0 to 1.
func returnTime(expected time.Duration, random float64) time.Duration {
	base := min(max(expected, leastReturn), mostReturn)
	return base + time.Duration(returnSpread*random*float64(base))
}

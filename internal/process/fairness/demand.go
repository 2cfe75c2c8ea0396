package fairness

import (
	"maps"
	"math"
	"sync"
	"time"

	"lagoonbarrow"
)

const (
	// usualTime is the time over which the usual demand of a customer is averaged.
	usualTime = 30 * time.Second
	// raisedTime replaces it while the demand is above the usual, so that a burst does not
	// become the usual demand, and one that lasts does after some minutes.
	raisedTime = 5 * time.Minute
	// learningTime is the time before the usual demand of a customer is known.
	learningTime = 2 * time.Second
	// raisedFactor is the multiple of the usual demand above which a customer exceeds it. If the
	// demand of the others at the node has grown more, as when clients move between nodes, the
	// customer's may have grown as much. Bursts of routes raise that of all by half.
	raisedFactor = 2
	// deviations is the number of standard deviations that the demand at a node must be above
	// the usual too, as nodes get only a few requests of a small customer.
	deviations = 3
	// minCount is the least number of requests in a span that shows an excess.
	minCount = 12
	// usualUsage is the usual fraction of its rate that a customer uses.
	usualUsage = 1 / 1.6
	// usageTime is the time in which a usage decays. The usage falls when the requests in
	// excess are refused, and they would be let through again at once.
	usageTime = 4 * time.Second
	// idleTime is the time without requests after which a customer is forgotten.
	idleTime = 5 * time.Minute
	// excessSteps is the number of steps of the part of the requests in excess.
	excessSteps = 1 << 16
)

// spans are the times over which the present demand is averaged. The short one notices a
// large customer within a second, and the long one a smaller customer at all.
var spans = [...]time.Duration{time.Second, 4 * time.Second}

// Demand determines which requests of a customer are in excess of its usual demand. It serves
// load of a customer that sends many times its usual demand: the requests in excess are
// refused before those of other customers. It has an entry for each customer that has sent
// requests in the last minutes, and customers are those of the configuration.
type Demand struct {
	mu        sync.Mutex
	customers map[lagoonbarrow.CustomerID]*customerDemand
	prunedAt  time.Time
	// kept are the requests of all customers that are not in excess, and usual is the sum of
	// their usual demands.
	kept  counts
	usual float64
}

// counts are the requests in each span, decaying exponentially.
type counts struct {
	at     time.Time
	values [len(spans)]float64
}

// add decays the counts to the present and adds some requests.
func (c *counts) add(requests float64, now time.Time) {
	elapsed := max(0, now.Sub(c.at).Seconds())
	c.at = now
	for i, span := range spans {
		c.values[i] = c.values[i]*math.Exp(-elapsed/span.Seconds()) + requests
	}
}

// customerDemand is the demand of one customer at this node.
type customerDemand struct {
	since  time.Time
	counts counts
	// usual is the average of requests a second, known after the learning time.
	usual float64
	// usage is the fraction of the rate that all nodes together use.
	usage   float64
	usageAt time.Time
	excess  float64
}

// NewDemand returns a Demand without customers.
func NewDemand() *Demand {
	return &Demand{
		customers: map[lagoonbarrow.CustomerID]*customerDemand{},
	}
}

// Arrive records a request of a customer, refused later or not, and reports whether it is in
// excess of the usual demand. The hash of its id decides which requests are.
func (d *Demand) Arrive(id lagoonbarrow.CustomerID, requestHash uint64, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	customer, found := d.customers[id]
	if !found {
		d.prune(now)
		customer = &customerDemand{
			since: now,
			counts: counts{
				at: now,
			},
		}
		d.customers[id] = customer
	}
	elapsed := max(0, now.Sub(customer.counts.at).Seconds())
	customer.counts.add(1, now)
	customer.excess = max(d.localExcess(customer, now), customer.usageExcess(now))
	usual := customer.usual
	customer.updateUsual(elapsed, now)
	d.usual += customer.usual - usual
	excess := float64(requestHash>>32%excessSteps) < customer.excess*excessSteps
	if !excess {
		d.kept.add(1, now)
	}
	return excess
}

// ObserveUsage records the fraction of its rate that a customer uses.
func (d *Demand) ObserveUsage(id lagoonbarrow.CustomerID, usage float64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if customer, found := d.customers[id]; found {
		customer.usage = max(usage, customer.recentUsage(now))
		customer.usageAt = now
	}
}

func (d *Demand) prune(now time.Time) {
	if now.Sub(d.prunedAt) < idleTime/2 {
		return
	}
	d.prunedAt = now
	maps.DeleteFunc(d.customers, func(_ lagoonbarrow.CustomerID, customer *customerDemand) bool {
		idle := now.Sub(customer.counts.at) > idleTime
		if idle {
			d.usual -= customer.usual
		}
		return idle
	})
}

// updateUsual adds a request after the given time to the usual demand.
func (c *customerDemand) updateUsual(elapsed float64, now time.Time) {
	if now.Sub(c.since) < learningTime {
		c.usual += 1 / learningTime.Seconds()
		return
	}
	average := usualTime
	if c.excess > 0 {
		average = raisedTime
	}
	c.usual = c.usual*math.Exp(-elapsed/average.Seconds()) + 1/average.Seconds()
}

// localExcess returns the part of a customer's requests at this node in excess of its usual
// demand. With growth of the others' demand of g, it is 0 up to the usual times max(2, g).
func (d *Demand) localExcess(c *customerDemand, now time.Time) float64 {
	if now.Sub(c.since) < learningTime {
		return 0
	}
	excess := 0.0
	for i, span := range spans {
		count := c.counts.values[i]
		usual := c.usual * span.Seconds()
		if others := (d.usual - c.usual) * span.Seconds(); others > 0 {
			usual *= max(1, (d.kept.values[i]-count*(1-c.excess))/others/raisedFactor)
		}
		bound := raisedFactor * usual
		if count > max(minCount, bound+deviations*math.Sqrt(bound)) {
			excess = max(excess, 1-usual/count)
		}
	}
	return excess
}

// usageExcess returns the part of the requests at all nodes in excess of the usual demand.
func (c *customerDemand) usageExcess(now time.Time) float64 {
	usage := c.recentUsage(now)
	if usage <= 1 {
		return 0
	}
	return 1 - usualUsage/usage
}

// recentUsage returns the highest usage of the last seconds.
func (c *customerDemand) recentUsage(now time.Time) float64 {
	return c.usage * math.Exp(-now.Sub(c.usageAt).Seconds()/usageTime.Seconds())
}

// ExcessPriority returns the priority of a request of a customer in excess of its usual
// demand. A request of a critical route keeps its importance and comes last in it. Others come
// after the usual demand of all customers, in the order of their importance.
func ExcessPriority(customer *lagoonbarrow.Customer, route lagoonbarrow.Importance, requestHash uint64) lagoonbarrow.Priority {
	level := customer.Priority(route, requestHash).Importance()
	if route == lagoonbarrow.ImportanceCritical {
		return lagoonbarrow.NewCustomerPriority(level, lagoonbarrow.ImportanceNone, requestHash)
	}
	return lagoonbarrow.NewCustomerPriority(lagoonbarrow.ImportanceNone, level, requestHash)
}

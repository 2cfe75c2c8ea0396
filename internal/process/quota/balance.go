package quota

import (
	"math"
	"slices"
	"time"

	"lagoonbarrow"
)

const (
	// tokenLife is how long a token may be used after its request was sent. It adds to what
	// a window admits.
	tokenLife = 250 * time.Millisecond
	// aheadTime is the time for which a node asks for tokens ahead.
	aheadTime = 100 * time.Millisecond
	// maxBatches bounds the grants of one customer that a node holds. Messages of one group
	// follow each other, and tokens are valid for tokenLife.
	maxBatches = 64
	// uncertainPatience is how long requests wait for a keeper that can't tell whether a
	// customer exceeds its rate. After it they are refused at once, as in a lasting partition.
	uncertainPatience = 2 * time.Second
	// minAheadDemand is the demand of one customer, in requests per second, from which a node
	// asks for tokens ahead. At 2 a second, two of five such tokens are used in time.
	minAheadDemand = 2
	// patience is the longest wait for the next token in which requests within the rate go on
	// waiting. Longer ones are refused at once.
	patience = 100 * time.Millisecond
)

// tokenBatch holds the tokens of one grant.
type tokenBatch struct {
	keeper  lagoonbarrow.InstanceID
	process processID
	expires time.Duration
	tokens  int
	// taken is the number of tokens taken, which requests that were not run give back.
	taken int
}

// balance holds the tokens of one customer on a node. The caller passes the fast time and
// serializes the calls. It addresses the load of a customer whose requests arrive at many
// nodes, few at each of them.
type balance struct {
	batches []tokenBatch
	waiting []*waiter
	// arrived is the number of requests, and expired that of tokens that expired unused, since
	// the last message.
	arrived int
	expired int
	demand  average
	// holdUntil is when the node asks again. Until then requests are refused.
	holdUntil time.Duration
	// askAt is when the node asks again for requests that go on waiting.
	askAt time.Duration
	// uncertainSince is since when the keeper can't tell whether the customer exceeds its rate.
	uncertainSince time.Duration
	// limited is set while the demand of all nodes exceeds the rate.
	limited bool
	last    standing
	// recordedAt is when a refusal was last recorded as an event, if recorded is set.
	recordedAt time.Duration
	recorded   bool
}

// standing is what the last reply of a keeper said about a customer.
type standing struct {
	keeper    lagoonbarrow.InstanceID
	repliedAt time.Duration
	usage     float64
	pressure  float64
	// uncertain is set if the keeper can't tell whether the customer exceeds its rate.
	uncertain bool
}

// take takes a token if there is one.
func (b *balance) take(now time.Duration) bool {
	b.dropExpired(now)
	for i := range b.batches {
		if b.batches[i].tokens > 0 {
			b.batches[i].tokens--
			b.batches[i].taken++
			return true
		}
	}
	return false
}

// giveBack returns a token that was taken. It counts as the one that expires first, and is
// lost if all of those have expired.
func (b *balance) giveBack(now time.Duration) bool {
	b.dropExpired(now)
	for i := range b.batches {
		if b.batches[i].taken > 0 {
			b.batches[i].tokens++
			b.batches[i].taken--
			return true
		}
	}
	return false
}

func (b *balance) dropExpired(now time.Duration) {
	b.batches = slices.DeleteFunc(b.batches, func(held tokenBatch) bool {
		if held.expires > now {
			return false
		}
		b.expired += held.tokens
		return true
	})
}

// tokens returns the number of tokens left.
func (b *balance) tokens(now time.Duration) int {
	b.dropExpired(now)
	sum := 0
	for i := range b.batches {
		sum += b.batches[i].tokens
	}
	return sum
}

// add adds granted tokens.
func (b *balance) add(now time.Duration, granted tokenBatch) {
	b.dropExpired(now)
	if granted.tokens > 0 && granted.expires > now && len(b.batches) < maxBatches {
		b.batches = append(b.batches, granted)
	}
}

// arrive counts a request.
func (b *balance) arrive(now time.Duration) {
	b.arrived++
	b.demand.add(now, 1)
}

// target returns the number of tokens to hold for the requests expected next.
func (b *balance) target(now time.Duration) int {
	perSecond := b.demand.perSecond(now)
	if b.limited {
		return min(int(perSecond*limitedInterval.Seconds()+0.5), maxTokens)
	}
	if perSecond < minAheadDemand {
		return 0
	}
	return min(int(math.Ceil(perSecond*aheadTime.Seconds())), maxTokens)
}

// low reports whether the tokens should be renewed before a request has to wait.
func (b *balance) low(now time.Duration) bool {
	if now < b.holdUntil || now < b.askAt || b.limited {
		return false
	}
	target := b.target(now)
	return target > 0 && b.tokens(now) <= target/4
}

// entry returns the entry of the next message, and whether it is needed. Tokens that the
// expected requests will not use before they expire are removed from the balance and
// returned, if the keeper that granted them is asked.
func (b *balance) entry(now time.Duration, customer lagoonbarrow.CustomerID, to lagoonbarrow.InstanceID, process processID) (requestEntry, bool) {
	entry := requestEntry{
		Customer: customer,
		Returned: b.removeSpare(now, to, process),
	}
	if now >= b.holdUntil && now >= b.askAt {
		held := b.tokens(now)
		entry.Waiting = min(len(b.waiting), maxTokens)
		if entry.Waiting > 0 || b.low(now) {
			entry.Ahead = max(0, b.target(now)-held)
		}
	}
	if entry.Waiting == 0 && entry.Ahead == 0 && entry.Returned == 0 {
		return entry, false
	}
	entry.Arrived = min(b.arrived, maxTokens)
	entry.Expired = min(b.expired, maxTokens)
	b.arrived = 0
	b.expired = 0
	return entry, true
}

// removeSpare removes the tokens that are likely to expire unused, and returns their number.
func (b *balance) removeSpare(now time.Duration, to lagoonbarrow.InstanceID, process processID) int {
	b.dropExpired(now)
	spare := 0
	perSecond := b.demand.perSecond(now)
	for i := range b.batches {
		held := &b.batches[i]
		if held.keeper != to || held.process != process {
			continue
		}
		expected := perSecond * (held.expires - now).Seconds()
		unused := min(max(int(float64(held.tokens)-expected+0.5), 0), held.tokens)
		held.tokens -= unused
		spare += unused
	}
	return min(spare, maxTokens)
}

// apply applies what a keeper says, and returns the waiting requests that are refused.
func (b *balance) apply(now time.Duration, said *replyEntry, from standing) []*waiter {
	before := b.last
	b.last = from
	b.last.usage = said.Usage
	b.last.pressure = said.Pressure
	b.last.uncertain = from.uncertain || said.Fresh || said.Unknown
	b.limited = said.Wait > 0 && said.Pressure > 1
	b.holdUntil, b.askAt = 0, 0
	if wasUncertain := before.uncertain && before.repliedAt > 0; b.last.uncertain && !wasUncertain {
		b.uncertainSince = now
	}
	if said.Wait == 0 && !said.Unknown {
		return nil
	}
	lasting := b.last.uncertain && now-b.uncertainSince >= uncertainPatience
	if !lasting && (b.last.uncertain || (!b.limited && said.Wait <= patience)) {
		b.askAt = now + max(min(said.Wait, patience), uncertainInterval)
		return nil
	}
	b.holdUntil = now + said.Wait
	if lasting {
		b.holdUntil = now + limitedInterval
	}
	refused := b.waiting
	b.waiting = nil
	return refused
}

// serveWaiting passes tokens to waiting requests in the order of their arrival.
func (b *balance) serveWaiting(now time.Duration) {
	for len(b.waiting) > 0 && b.take(now) {
		first := b.waiting[0]
		b.waiting = b.waiting[1:]
		first.usage = b.last.usage
		first.done <- nil
	}
}

// abandon removes a request that no longer waits.
func (b *balance) abandon(request *waiter) {
	b.waiting = slices.DeleteFunc(b.waiting, func(waiting *waiter) bool { return waiting == request })
}

// exceeded reports whether the customer is known to have used up its rate.
func (b *balance) exceeded(now time.Duration) bool {
	return (now < b.holdUntil || now < b.askAt) && !b.last.uncertain
}

// retryAfter returns when a refused request may get a token. The more the demand exceeds the
// rate, the longer all refused requests together take.
func (b *balance) retryAfter(now time.Duration) time.Duration {
	after := max(b.holdUntil-now, b.askAt-now, minHold)
	if excess := b.last.pressure - 1; excess > 0 && !b.last.uncertain {
		after += min(time.Duration(min(excess, 10)*float64(limitedInterval)), maxHold)
	}
	return after
}

// idle reports whether nothing in the balance is needed any more.
func (b *balance) idle(now time.Duration) bool {
	return len(b.waiting) == 0 && b.tokens(now) == 0 && len(b.batches) == 0 && now >= b.holdUntil && b.demand.perSecond(now) < 0.01
}

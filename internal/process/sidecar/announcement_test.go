package sidecar

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"lagoonbarrow/platform/standin"
)

const (
	// limitWindow is the time in which a server may get limitFactor times what its limit
	// allows, and limitSlack requests more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitDelay is the time after which a limit that was named is in force.
	limitDelay = 3 * time.Second
	// leaveDelay is the time after which a server that has announced that it leaves gets
	// no more requests.
	leaveDelay = 2 * time.Second
)

// sendSteadily sends reads through all members until stop is closed, and waits for them.
func (f *fleet) sendSteadily(perSecond int, stop <-chan struct{}) *sync.WaitGroup {
	var senders sync.WaitGroup
	for i, m := range f.members {
		senders.Go(func() {
			var requests sync.WaitGroup
			ticker := time.NewTicker(time.Second * time.Duration(len(f.members)) / time.Duration(perSecond))
			defer ticker.Stop()
			for number := 0; ; number++ {
				select {
				case <-stop:
					requests.Wait()
					return
				case <-ticker.C:
				}
				requests.Go(func() { m.send("GET", "/read/x", fmt.Sprintf("read-%d-%d", i, number)) })
			}
		})
	}
	return &senders
}

// Guards against a server that gets more requests than the limit that it names, while
// another server has room for them.
func TestServerGetsNoMoreThanItsLimit(t *testing.T) {
	const limit = 10
	f := newFleet(t, 5*time.Millisecond, nil)
	limited, free := f.members[0].server, f.members[1].server
	limited.Announce(standin.Announcement{
		Limit: fmt.Sprint(limit),
	})
	stop := make(chan struct{})
	senders := f.sendSteadily(90, stop)
	time.Sleep(limitDelay)
	inForce := time.Now()
	time.Sleep(limitWindow + time.Second)
	close(stop)
	senders.Wait()
	allowed := int(limitFactor*limit*limitWindow.Seconds()) + limitSlack
	if got := standin.MostArrivals(limited.ArrivalsAfter(inForce), limitWindow); got > allowed {
		t.Errorf("%d requests in %s, %d are allowed", got, limitWindow, allowed)
	}
	if got := standin.MostArrivals(free.ArrivalsAfter(inForce), limitWindow); got < 3*allowed {
		t.Errorf("only %d requests in %s at the server with room", got, limitWindow)
	}
}

// Guards against a server that leaves and says so in its answers only, and is used on.
func TestServerThatAnnouncesItsLeavingGetsNothingNew(t *testing.T) {
	f := newFleet(t, 5*time.Millisecond, nil)
	leaving := f.members[0].server
	leaving.Announce(standin.Announcement{
		Leaving: true,
	})
	stop := make(chan struct{})
	senders := f.sendSteadily(60, stop)
	time.Sleep(leaveDelay)
	left := time.Now()
	time.Sleep(time.Second)
	close(stop)
	senders.Wait()
	if got := len(leaving.ArrivalsAfter(left)); got > 0 {
		t.Errorf("%d requests arrived at the server that leaves", got)
	}
}

package bench

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/peer"
	"lagoonbarrow/internal/process/platform"
	"lagoonbarrow/internal/process/roster"
	"lagoonbarrow/internal/process/timeline"
	"lagoonbarrow/internal/standin/fleet"
)

const (
	// plannedMembers and plannedServices give the size of the fleet that users plan.
	plannedMembers  = 7800
	plannedServices = 1300
	plannedZones    = 5
	// tableSettle is the time for which the node runs with its full table. CPU time is
	// measured over this time and memory at its end.
	tableSettle = 20 * time.Second
)

// tableCost measures a node process whose member table holds the planned fleet.
// The members are only records in this process, which answers probes for the seed
// alone, so the node soon suspects the others. The result includes the cost of many
// table changes, but not the cost of the network.
func tableCost(r *runner) []Row {
	services := []fleet.Service{
		{
			Name:        "minutes",
			Instances:   1,
			Slots:       20,
			ServiceTime: time.Millisecond,
		},
	}
	f := fleet.Start(r, r.config.Binary, "[log]\nlevel = error\n[control]\nprobe-interval = 1s\n", services...)
	node := f.Nodes[0]
	_, alone := processUsage(r, node.PID())
	stopSeed := startSeed(r, f)
	f.Await("the node reads the seed's table", fleet.StartTimeout, func() bool {
		return memberCount(node) > plannedMembers/2
	})
	before, _ := processUsage(r, node.PID())
	time.Sleep(tableSettle)
	after, resident := processUsage(r, node.PID())
	stopSeed()
	share := 100 * (after - before).Seconds() / tableSettle.Seconds()
	r.Logf("alone %.1f MiB; with %d members %.1f MiB and %.2f %% of a core", alone/(1<<20), plannedMembers, resident/(1<<20), share)
	return []Row{
		{
			Measure:  fmt.Sprintf("memory of a node with %d members in its table", plannedMembers),
			Baseline: fmt.Sprintf("one member: %.1f MB", alone/1e6),
			Result:   fmt.Sprintf("%.1f MB, %.2f %% of a core", resident/1e6, share),
			Target:   "32 MB, 1.9 % of a core",
			Met:      resident <= 32e6 && share <= 1.9,
		},
	}
}

// startSeed starts and registers a roster that lists the planned fleet, and returns
// a function that stops it.
func startSeed(r *runner, f *fleet.Fleet) func() {
	table := platform.New(platform.Config{
		Address: f.PlatformAddress(),
	})
	if err := table.Start(); err != nil {
		r.Fatal(err)
	}
	address := fleet.FreePort(r)
	key := []byte(fleet.PeerKey)
	const id = "seed-0"
	client, err := peer.NewClient(peer.ClientConfig{
		PeerKey:   key,
		Self:      id,
		Advertise: address,
	})
	if err != nil {
		r.Fatal(err)
	}
	self := plannedMember(0, address)
	self.ID = id
	members, err := roster.New(roster.Config{
		Self:      self,
		Table:     table,
		Transport: client,
		Recorder: timeline.New(timeline.Config{
			Clock:         timeline.NewClock(time.Now),
			EventsPerRing: 1,
		}),
	})
	if err != nil {
		r.Fatal(err)
	}
	for number := 1; number < plannedMembers; number++ {
		members.Merge(plannedMember(number, address))
	}
	server, err := peer.NewServer(peer.ServerConfig{
		Address:  address,
		PeerKey:  key,
		Self:     id,
		Calls:    callRefuser{},
		Messages: peer.MessageHandlers(members),
	})
	if err != nil {
		r.Fatal(err)
	}
	if _, err := server.Start(); err != nil {
		r.Fatal(err)
	}
	if err := members.Start(context.Background()); err != nil {
		r.Fatal(err)
	}
	members.SetState(lagoonbarrow.StateReady)
	var stopped atomic.Bool
	return func() {
		if stopped.Swap(true) {
			return
		}
		members.Stop()
		_ = server.Stop(context.Background())
		client.Close()
		_ = table.Stop()
	}
}

// plannedMember returns a record of the planned fleet with names and addresses of
// usual length.
func plannedMember(number int, address lagoonbarrow.Address) lagoonbarrow.Instance {
	return lagoonbarrow.Instance{
		ID:          lagoonbarrow.InstanceID(fmt.Sprintf("settlement-%04d-%d", number%plannedServices, number)),
		Service:     lagoonbarrow.ServiceName(fmt.Sprintf("settlement-%04d", number%plannedServices)),
		Zone:        lagoonbarrow.Zone(fmt.Sprintf("north-%c", 'a'+number%plannedZones)),
		Region:      "north",
		Peer:        address,
		Admin:       address,
		Slots:       70,
		Incarnation: 1 << 40,
		State:       lagoonbarrow.StateReady,
	}
}

// callRefuser refuses all calls because the seed has no backend server.
type callRefuser struct{}

// HandleCall implements lagoonbarrow.CallHandler.
func (callRefuser) HandleCall(_ context.Context, call *lagoonbarrow.Call) *lagoonbarrow.Answer {
	return lagoonbarrow.NewRefusal(call.ID, lagoonbarrow.ReasonNotReady)
}

// memberCount returns the number of live members that the node lists.
func memberCount(node *fleet.Node) int {
	answer := node.AdminRequest("GET", "/v1/members", nil, nil)
	return strings.Count(string(answer.Body), `"peer"`)
}

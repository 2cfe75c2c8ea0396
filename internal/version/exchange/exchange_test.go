package exchange

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"lagoonbarrow"
)

// silent is the version of a node that gives no answer.
const silent = lagoonbarrow.ConfigurationVersion(0)

// fakeSender delivers queries to other nodes, of which each has a version in force.
type fakeSender struct {
	versions []lagoonbarrow.ConfigurationVersion

	mu      sync.Mutex
	queries int
}

// Send implements lagoonbarrow.MessageSender.
func (f *fakeSender) Send(ctx context.Context, to lagoonbarrow.Address, message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	f.mu.Lock()
	f.queries++
	f.mu.Unlock()
	index := 0
	_, _ = fmt.Sscanf(string(to), "node-%d", &index)
	version := f.versions[index]
	if version == silent {
		<-ctx.Done()
		return lagoonbarrow.Message{}, lagoonbarrow.ErrAnswerLost
	}
	handler := &Handler{
		Current: func() *lagoonbarrow.Configuration {
			return &lagoonbarrow.Configuration{
				Version: version,
				Encoded: fmt.Append(nil, version),
			}
		},
	}
	return handler.HandleMessage(ctx, "", message)
}

// node is an exchange with its configuration in force.
type node struct {
	exchange *Exchange
	sender   *fakeSender

	mu       sync.Mutex
	version  lagoonbarrow.ConfigurationVersion
	outdated bool
}

// startNode starts an exchange of a node that has a version in force, beside nodes that have
// others.
func startNode(version lagoonbarrow.ConfigurationVersion, others ...lagoonbarrow.ConfigurationVersion) *node {
	n := &node{
		version: version,
		sender: &fakeSender{
			versions: others,
		},
	}
	members := []lagoonbarrow.Instance{
		{
			ID: "self",
		},
	}
	for i := range others {
		name := fmt.Sprintf("node-%d", i)
		members = append(members, lagoonbarrow.Instance{
			ID:   lagoonbarrow.InstanceID(name),
			Peer: lagoonbarrow.Address(name),
		})
	}
	n.exchange = New(Config{
		Self:     "self",
		Members:  func() ([]lagoonbarrow.Instance, bool) { return members, true },
		Sender:   n.sender,
		Current:  n.current,
		Offer:    n.offer,
		Outdated: n.isOutdated,
		Logger:   hclog.NewNullLogger(),
	})
	n.exchange.Start()
	return n
}

func (n *node) current() *lagoonbarrow.Configuration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return &lagoonbarrow.Configuration{
		Version: n.version,
	}
}

func (n *node) offer(encoded []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	offered := lagoonbarrow.ConfigurationVersion(0)
	_, _ = fmt.Sscan(string(encoded), &offered)
	n.version = max(n.version, offered)
}

func (n *node) isOutdated() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.outdated
}

func (n *node) setOutdated() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.outdated = true
}

// Guards against a node that starts with an older configuration than others have in force.
func TestNodeStartsWithTheNewestConfigurationOfOtherNodes(t *testing.T) {
	tests := []struct {
		name   string
		others []lagoonbarrow.ConfigurationVersion
		// ready is the time in which the node has queried others.
		ready time.Duration
		want  lagoonbarrow.ConfigurationVersion
	}{
		{
			name:  "no other node",
			ready: time.Millisecond,
			want:  5,
		},
		{
			name:   "older ones",
			others: []lagoonbarrow.ConfigurationVersion{4, 3},
			ready:  time.Millisecond,
			want:   5,
		},
		{
			name:   "a newer one beside older ones",
			others: []lagoonbarrow.ConfigurationVersion{4, 7, 5},
			ready:  time.Millisecond,
			want:   7,
		},
		{
			name:   "a newer one beside silent ones",
			others: []lagoonbarrow.ConfigurationVersion{silent, 7, silent},
			ready:  queryTimeout,
			want:   7,
		},
		{
			name:   "silent ones",
			others: []lagoonbarrow.ConfigurationVersion{silent, silent, silent, silent},
			ready:  queryTimeout,
			want:   5,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := startNode(5, test.others...)
				time.Sleep(test.ready)
				synctest.Wait()
				if !n.exchange.Started() || n.current().Version != test.want {
					t.Errorf("started %t, version %d, want %d", n.exchange.Started(), n.current().Version, test.want)
				}
				n.exchange.Stop()
				time.Sleep(time.Minute)
			})
		})
	}
}

// Guards against queries without an end for a configuration that no node has any more.
func TestQueriesForALostConfigurationEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startNode(5, 5, 5, 5, 5, 5)
		time.Sleep(time.Second)
		n.setOutdated()
		n.exchange.Request()
		time.Sleep(time.Minute)
		n.exchange.Stop()
		synctest.Wait()
		if most := queriesPerRound * (maxRounds + 1); n.sender.queries > most {
			t.Errorf("%d queries, want %d at most", n.sender.queries, most)
		}
	})
}

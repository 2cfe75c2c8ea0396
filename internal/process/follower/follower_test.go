package follower

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"lagoonbarrow"
	"lagoonbarrow/platform"
	"lagoonbarrow/platform/standin"
)

// tableCopy holds the rows that a follower delivered, by key.
type tableCopy struct {
	mu   sync.Mutex
	rows map[string]string
	// version is the last version that the follower reported.
	version lagoonbarrow.RowVersion
}

func (c *tableCopy) replace(rows []lagoonbarrow.Row, version lagoonbarrow.RowVersion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version = version
	c.rows = map[string]string{}
	for _, row := range rows {
		c.rows[row.Key] = string(row.Value)
	}
}

func (c *tableCopy) apply(changes []lagoonbarrow.Change, version lagoonbarrow.RowVersion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version = version
	for _, change := range changes {
		delete(c.rows, change.Row.Key)
		if !change.Deleted {
			c.rows[change.Row.Key] = string(change.Row.Value)
		}
	}
}

func (c *tableCopy) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprint(c.rows)
}

func (c *tableCopy) waitFor(t *testing.T, want string) {
	t.Helper()
	for range 1000 {
		if c.String() == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("the copy is %s, want %s", c.String(), want)
}

func startFollower(t *testing.T) (*tableCopy, *standin.Store, *Follower) {
	t.Helper()
	server, err := standin.NewStore(1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	replica := &tableCopy{}
	follower := New(Config{
		Feed: platform.NewStore(platform.StoreConfig{
			Address: server.Address(),
			Logger:  hclog.NewNullLogger(),
		}),
		Table:       "table",
		PollTimeout: 200 * time.Millisecond,
		Replace:     replica.replace,
		Apply:       replica.apply,
		Logger:      hclog.NewNullLogger(),
	})
	follower.Start()
	t.Cleanup(follower.Stop)
	replica.waitFor(t, "map[]")
	return replica, server, follower
}

// Guards against a copy that stays outdated after a fault of the store during changes of
// the table.
func TestCopyIsCurrentAfterStoreFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults standin.Faults
	}{
		{"none", standin.Faults{}},
		{"busy", standin.Faults{
			Failure: standin.FailBusy,
		}},
		{"reset", standin.Faults{
			Failure: standin.FailReset,
		}},
		{"silent", standin.Faults{
			Failure: standin.FailSilent,
		}},
		{"silent feeds", standin.Faults{
			SilentFeeds: true,
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			replica, server, _ := startFollower(t)
			server.Put("table", "a", []byte("1"))
			replica.waitFor(t, "map[a:1]")
			server.SetFaults(test.faults)
			server.Put("table", "a", []byte("2"))
			server.Put("table", "b", []byte("3"))
			server.Remove("table", "b")
			time.Sleep(300 * time.Millisecond)
			server.DropHistory()
			server.SetFaults(standin.Faults{})
			replica.waitFor(t, "map[a:2]")
		})
	}
}

// Guards against a node that waits for its silent feed although another node has
// reported a change.
func TestRefreshDoesNotWaitForTheFeed(t *testing.T) {
	replica, server, follower := startFollower(t)
	server.SetFaults(standin.Faults{
		SilentFeeds: true,
	})
	time.Sleep(300 * time.Millisecond)
	server.Put("table", "a", []byte("1"))
	follower.Refresh()
	replica.waitFor(t, "map[a:1]")
}

// Guards against a table whose later version isn't reported because none of its rows has changed.
func TestVersionsWithoutChangesAreReported(t *testing.T) {
	replica, server, _ := startFollower(t)
	server.Put("table", "a", []byte("1"))
	replica.waitFor(t, "map[a:1]")
	want := lagoonbarrow.NewRowVersion(1, server.Put("other", "b", []byte("2")))
	for range 1000 {
		replica.mu.Lock()
		reported := replica.version
		replica.mu.Unlock()
		if reported == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("version %s was not reported", want)
}

// partialFeed is a feed that has lost the history once and then has changes, but no rows.
type partialFeed struct {
	mu    sync.Mutex
	calls int
}

// Rows implements lagoonbarrow.ChangeFeed. Only the first call succeeds.
func (p *partialFeed) Rows(context.Context, string) ([]lagoonbarrow.Row, lagoonbarrow.RowVersion, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if p.calls > 1 {
		return nil, 0, lagoonbarrow.ErrUnavailable
	}
	return nil, 1, nil
}

// Changes implements lagoonbarrow.ChangeFeed. The first call loses the history.
func (p *partialFeed) Changes(_ context.Context, table string, after lagoonbarrow.RowVersion, _ time.Duration) ([]lagoonbarrow.Change, lagoonbarrow.RowVersion, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if p.calls == 2 {
		return nil, 0, lagoonbarrow.ErrHistoryLost
	}
	change := lagoonbarrow.Change{
		Row: lagoonbarrow.Row{
			Table:   table,
			Key:     "a",
			Version: after + 1,
			Value:   []byte("1"),
		},
	}
	return []lagoonbarrow.Change{change}, after + 1, nil
}

// Guards against a node that follows nothing because the store has dropped its history and
// then turns the node away, although other nodes have the changes.
func TestChangesAreFollowedWhileTheRowsCanNotBeRead(t *testing.T) {
	replica := &tableCopy{}
	follower := New(Config{
		Feed:       &partialFeed{},
		Table:      "table",
		Replace:    replica.replace,
		Apply:      replica.apply,
		BatchDelay: time.Second,
		Logger:     hclog.NewNullLogger(),
	})
	follower.Start()
	t.Cleanup(follower.Stop)
	replica.waitFor(t, "map[a:1]")
}

// forgetfulFeed is a feed without any history. It counts the calls.
type forgetfulFeed struct {
	calls atomic.Int64
}

// Rows implements lagoonbarrow.ChangeFeed.
func (f *forgetfulFeed) Rows(context.Context, string) ([]lagoonbarrow.Row, lagoonbarrow.RowVersion, error) {
	f.calls.Add(1)
	return nil, 1, nil
}

// Changes implements lagoonbarrow.ChangeFeed.
func (f *forgetfulFeed) Changes(context.Context, string, lagoonbarrow.RowVersion, time.Duration) ([]lagoonbarrow.Change, lagoonbarrow.RowVersion, error) {
	f.calls.Add(1)
	time.Sleep(time.Millisecond)
	return nil, 0, lagoonbarrow.ErrHistoryLost
}

// Guards against calls without a pause to a store that loses the history again and again.
func TestRepeatedlyLostHistoryIsNotReadInALoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			length            = 10 * time.Second
			maxCallsPerSecond = 10
		)
		feed := &forgetfulFeed{}
		replica := &tableCopy{}
		follower := New(Config{
			Feed:    feed,
			Table:   "table",
			Replace: replica.replace,
			Apply:   replica.apply,
			Logger:  hclog.NewNullLogger(),
		})
		follower.Start()
		time.Sleep(length)
		follower.Stop()
		synctest.Wait()
		if calls := feed.calls.Load(); calls > maxCallsPerSecond*int64(length/time.Second) {
			t.Errorf("%d calls in %s", calls, length)
		}
	})
}

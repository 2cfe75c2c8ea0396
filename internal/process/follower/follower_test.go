package follower

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"lagoonbarrow"
	"lagoonbarrow/platform"
	"lagoonbarrow/platform/standin"
)

// table is a copy of a table.
type table struct {
	mu   sync.Mutex
	rows map[string]string
}

func (c *table) replace(rows []lagoonbarrow.Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rows = map[string]string{}
	for _, row := range rows {
		c.rows[row.Key] = string(row.Value)
	}
}

func (c *table) apply(changes []lagoonbarrow.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range changes {
		delete(c.rows, change.Row.Key)
		if !change.Deleted {
			c.rows[change.Row.Key] = string(change.Row.Value)
		}
	}
}

func (c *table) text() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprint(c.rows)
}

func (c *table) await(t *testing.T, want string) {
	t.Helper()
	for range 1000 {
		if c.text() == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("the copy is %s, want %s", c.text(), want)
}

func follow(t *testing.T) (*table, *standin.Store, *Follower) {
	t.Helper()
	server, err := standin.NewStore(1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	held := &table{}
	follower := New(Config{
		Feed: platform.NewStore(platform.StoreConfig{
			Address: server.Address(),
			Logger:  hclog.NewNullLogger(),
		}),
		Table:   "table",
		Wait:    200 * time.Millisecond,
		Replace: held.replace,
		Apply:   held.apply,
		Logger:  hclog.NewNullLogger(),
	})
	follower.Start()
	t.Cleanup(follower.Stop)
	held.await(t, "map[]")
	return held, server, follower
}

// Guards against a copy that stays old after the store failed in any way while the
// table was changed.
func TestCopyIsCurrentAfterTrouble(t *testing.T) {
	rows := []struct {
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
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			held, server, _ := follow(t)
			server.Put("table", "a", []byte("1"))
			held.await(t, "map[a:1]")
			server.SetFaults(row.faults)
			server.Put("table", "a", []byte("2"))
			server.Put("table", "b", []byte("3"))
			server.Remove("table", "b")
			time.Sleep(300 * time.Millisecond)
			server.DropHistory()
			server.SetFaults(standin.Faults{})
			held.await(t, "map[a:2]")
		})
	}
}

// Guards against a node that waits for its silent feed although another node has
// told of a change.
func TestRefreshDoesNotWaitForTheFeed(t *testing.T) {
	held, server, follower := follow(t)
	server.SetFaults(standin.Faults{
		SilentFeeds: true,
	})
	time.Sleep(300 * time.Millisecond)
	server.Put("table", "a", []byte("1"))
	follower.Refresh()
	held.await(t, "map[a:1]")
}

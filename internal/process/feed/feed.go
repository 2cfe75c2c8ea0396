package feed

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"lagoonbarrow"
)

const (
	// sources is the number of nodes that are asked before the store. With two, the
	// loss of one doesn't send all others to the store.
	sources = 2
	// zoneMembers is the number of nodes from which on an availability zone has a reader
	// of its own. Below it the calls to the store cost more than the bytes between zones.
	zoneMembers = 16
	// maxAge is the age above which a node's knowledge counts as stale. Readers hear
	// from the store more often.
	maxAge = 1500 * time.Millisecond
	// answerTime is the time that a node's answer may take beyond the wait. A frozen or
	// cut off reader is left after it.
	answerTime = 300 * time.Millisecond
	// avoidTime is how long a node that gave no useful answer is not asked.
	avoidTime = 3 * time.Second
	// startTime is the same for a node that has read nothing yet, or all rows anew after
	// the version asked for. Both are usual at a start and over in a moment.
	startTime = 300 * time.Millisecond
)

// Sender sends control messages to nodes.
type Sender interface {
	Send(ctx context.Context, to lagoonbarrow.Address, message lagoonbarrow.Message) (lagoonbarrow.Message, error)
}

// Config configures a Feed.
type Config struct {
	Self  lagoonbarrow.InstanceID
	Zone  lagoonbarrow.Zone
	Store lagoonbarrow.ChangeFeed
	// Members returns the known nodes, in a slice of the caller's own.
	Members func() []lagoonbarrow.Instance
	Sender  Sender
	Cache   *Cache
	Logger  hclog.Logger
	// Now tells the time; time.Now by default.
	Now func() time.Time
}

// Feed implements lagoonbarrow.ChangeFeed over the store and other nodes.
type Feed struct {
	config Config

	mu sync.Mutex
	// avoided holds the nodes that gave no useful answer, until when.
	avoided map[lagoonbarrow.InstanceID]time.Time
}

var _ lagoonbarrow.ChangeFeed = (*Feed)(nil)

// New returns a feed.
func New(config Config) *Feed {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Feed{
		config:  config,
		avoided: map[lagoonbarrow.InstanceID]time.Time{},
	}
}

// Rows returns all rows of a table from the store. Nodes read all rows at their start
// and after they lost the history, when their own knowledge of the others is old.
func (f *Feed) Rows(ctx context.Context, table string) ([]lagoonbarrow.Row, lagoonbarrow.RowVersion, error) {
	rows, version, err := f.config.Store.Rows(ctx, table)
	if err == nil {
		f.config.Cache.Replace(table, rows, version, 0)
	}
	return rows, version, err
}

// Changes waits for changes at a reader, or at the store if this node is one or no
// reader gives a useful answer.
func (f *Feed) Changes(ctx context.Context, table string, after lagoonbarrow.RowVersion, wait time.Duration) ([]lagoonbarrow.Change, lagoonbarrow.RowVersion, error) {
	for _, reader := range f.sources() {
		if reader.ID == f.config.Self {
			break
		}
		answer, err := f.ask(ctx, reader, question{
			Table: table,
			After: after,
			Wait:  wait,
		})
		if err == nil {
			err = answer.check(after)
		}
		if err != nil {
			f.leave(reader.ID, table, err)
			continue
		}
		changes := answer.received(table)
		f.config.Cache.Apply(table, changes, answer.Version, answer.Age)
		return changes, answer.Version, nil
	}
	changes, version, err := f.config.Store.Changes(ctx, table, after, wait)
	if err == nil {
		f.config.Cache.Apply(table, changes, max(version, after), 0)
	}
	return changes, version, err
}

func (f *Feed) ask(ctx context.Context, reader lagoonbarrow.Instance, asked question) (*reply, error) {
	body, err := msgpack.Marshal(asked)
	if err != nil {
		return nil, errors.Wrap(err, "feed: encode question")
	}
	ctx, cancel := context.WithTimeout(ctx, asked.Wait+answerTime)
	defer cancel()
	back, err := f.config.Sender.Send(ctx, reader.Peer, lagoonbarrow.Message{
		Kind: kindChanges,
		Body: body,
	})
	if err != nil {
		return nil, err
	}
	answer := &reply{}
	err = msgpack.Unmarshal(back.Body, answer)
	return answer, errors.Wrap(err, "feed: decode reply")
}

// leave doesn't ask a node for some time.
func (f *Feed) leave(id lagoonbarrow.InstanceID, table string, cause error) {
	length := avoidTime
	if errors.Is(cause, lagoonbarrow.ErrHistoryLost) {
		length = startTime
	}
	f.config.Logger.Info("a node gave no useful answer about changes", "node", id, "table", table, "not-asked-for", length.String(), "cause", cause)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.avoided[id] = f.config.Now().Add(length)
}

// sources returns the nodes to ask, in this order, as this node sees it: the reader
// of its own zone first, so that a change crosses to a zone once. A node that finds
// itself there reads the store. Nodes that see others may read it too.
func (f *Feed) sources() []lagoonbarrow.Instance {
	members := f.usable()
	slices.SortFunc(members, func(a, b lagoonbarrow.Instance) int {
		if xxhash.Sum64String(string(a.ID)) < xxhash.Sum64String(string(b.ID)) {
			return -1
		}
		return 1
	})
	var own, others []lagoonbarrow.Instance
	for _, reader := range readers(members) {
		if reader.ofZone && reader.Zone == f.config.Zone {
			own = append(own, reader.Instance)
			continue
		}
		others = append(others, reader.Instance)
	}
	all := append(own, others...)
	return all[:min(sources, len(all))]
}

// usable returns the members that are not avoided.
func (f *Feed) usable() []lagoonbarrow.Instance {
	members := f.config.Members()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Now()
	for id, until := range f.avoided {
		if now.After(until) {
			delete(f.avoided, id)
		}
	}
	return slices.DeleteFunc(members, func(m lagoonbarrow.Instance) bool {
		_, avoided := f.avoided[m.ID]
		return avoided
	})
}

// reader is a node that may read the store for others.
type reader struct {
	lagoonbarrow.Instance
	// ofZone is set for the reader of a zone that has one of its own.
	ofZone bool
}

// readers returns the candidates in the order of the members: the first of each
// zone that has enough members, and all of the other zones.
func readers(members []lagoonbarrow.Instance) []reader {
	sizes := map[lagoonbarrow.Zone]int{}
	for _, member := range members {
		sizes[member.Zone]++
	}
	var found []reader
	taken := map[lagoonbarrow.Zone]bool{}
	for _, member := range members {
		large := sizes[member.Zone] >= zoneMembers
		if large && taken[member.Zone] {
			continue
		}
		taken[member.Zone] = true
		found = append(found, reader{
			Instance: member,
			ofZone:   large,
		})
	}
	return found
}

package feed

import (
	"cmp"
	"context"
	"maps"
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

// Config configures a Feed.
type Config struct {
	Self  lagoonbarrow.InstanceID
	Zone  lagoonbarrow.Zone
	Store lagoonbarrow.ChangeFeed
	// Members returns the known nodes, in a slice of the caller's own.
	Members func() []lagoonbarrow.Instance
	Sender  lagoonbarrow.MessageSender
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
	candidates := readers(f.usable(), f.config.Zone)
	slices.SortFunc(candidates, reader.compare)
	var first []lagoonbarrow.Instance
	for _, candidate := range candidates[:min(sources, len(candidates))] {
		first = append(first, *candidate.member)
	}
	return first
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
	member *lagoonbarrow.Instance
	// own is set for the reader that the asking node's zone has to itself.
	own bool
	// hash orders the nodes alike everywhere.
	hash uint64
}

// compare orders the own zone's reader before others.
func (r reader) compare(other reader) int {
	if r.own != other.own {
		if r.own {
			return -1
		}
		return 1
	}
	return cmp.Compare(r.hash, other.hash)
}

// readers returns the candidates for a node in the zone: the first of each zone that
// has enough members, and all of the other zones.
func readers(members []lagoonbarrow.Instance, zone lagoonbarrow.Zone) []reader {
	sizes := map[lagoonbarrow.Zone]int{}
	for i := range members {
		sizes[members[i].Zone]++
	}
	var found []reader
	firsts := map[lagoonbarrow.Zone]reader{}
	for i := range members {
		candidate := reader{
			member: &members[i],
			hash:   xxhash.Sum64String(string(members[i].ID)),
		}
		name := members[i].Zone
		if sizes[name] < zoneMembers {
			found = append(found, candidate)
			continue
		}
		candidate.own = name == zone
		first, known := firsts[name]
		if !known || candidate.compare(first) < 0 {
			firsts[name] = candidate
		}
	}
	return slices.AppendSeq(found, maps.Values(firsts))
}

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

	"lagoonbarrow"
	"lagoonbarrow/internal/process/panics"
)

const (
	// maxSources is the number of nodes that are queried before the store. With two, the
	// loss of one doesn't send all others to the store.
	maxSources = 2
	// minReaderZoneSize is the number of nodes from which an availability zone has its
	// own reader. In smaller zones the calls to the store cost more than the bytes
	// between zones.
	minReaderZoneSize = 16
	// maxAge is the age above which a node's copy counts as stale. Readers receive a
	// response from the store more often.
	maxAge = 1500 * time.Millisecond
)

// Config configures a Feed.
type Config struct {
	Self  lagoonbarrow.InstanceID
	Zone  lagoonbarrow.Zone
	Store lagoonbarrow.ChangeFeed
	// Members returns the known nodes in a new slice, which the feed may modify.
	Members func() []lagoonbarrow.Instance
	Sender  lagoonbarrow.MessageSender
	Cache   *Cache
	Logger  hclog.Logger
	// Now returns the current time. The default is time.Now.
	Now func() time.Time
}

// Feed implements lagoonbarrow.ChangeFeed over the store and other nodes.
type Feed struct {
	config Config
	panics *panics.Reporter

	mu sync.Mutex
	// avoided holds the nodes that gave no useful reply.
	avoided map[lagoonbarrow.InstanceID]avoidance
	// storeFailedAt is the time of the last call to the store if it failed.
	storeFailedAt time.Time
	// fallback is a node that had a recent copy when the sources and the store had none. It
	// is the second source until fallbackUntil.
	fallback      lagoonbarrow.InstanceID
	fallbackUntil time.Time
}

var _ lagoonbarrow.ChangeFeed = (*Feed)(nil)

// New returns a feed with this configuration.
func New(config Config) *Feed {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Feed{
		config:  config,
		panics:  panics.NewReporter(config.Logger),
		avoided: map[lagoonbarrow.InstanceID]avoidance{},
	}
}

// Rows returns all rows of a table from the store, or from this node's copy if that is
// newer. Nodes read all rows at their start and after they lost the history, when their
// list of the other nodes is outdated.
func (f *Feed) Rows(ctx context.Context, table string) ([]lagoonbarrow.Row, lagoonbarrow.RowVersion, error) {
	response := f.callTwice(ctx, 0, func(ctx context.Context, _ time.Duration) storeResponse {
		return f.readRows(ctx, table)
	})
	if response.err != nil {
		return nil, 0, response.err
	}
	f.recordStoreSuccess()
	if !f.config.Cache.Replace(table, response.rows, response.version, response.age) {
		f.config.Logger.Warn("the store's rows are older than the copy of the table", "table", table, "version", response.version.String())
		rows, version := f.config.Cache.rows(table)
		return rows, version, nil
	}
	return response.rows, response.version, nil
}

// storeUsable reports whether the store may be called again after a failed call.
func (f *Feed) storeUsable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeFailedAt.IsZero() || f.config.Now().Sub(f.storeFailedAt) >= storeRetryInterval
}

func (f *Feed) recordStoreFailure() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeFailedAt = f.config.Now()
	f.config.Cache.storeFailing.Store(true)
}

func (f *Feed) recordStoreSuccess() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeFailedAt = time.Time{}
	f.fallback = ""
	f.config.Cache.storeFailing.Store(false)
}

// apply applies changes from a node, or from the store if source is empty, to the copy of
// a table, and returns them with the rows that have a new version for another reason. It
// logs how long the copy was without confirmation if that was too long.
func (f *Feed) apply(table string, changes []lagoonbarrow.Change, version lagoonbarrow.RowVersion, age time.Duration, source lagoonbarrow.InstanceID) []lagoonbarrow.Change {
	if unconfirmed := f.config.Cache.age(table); unconfirmed > maxAge {
		f.config.Logger.Warn("the copy of a table was not confirmed for long", "table", table, "unconfirmed", unconfirmed.String(), "source", source, "age", age.String(), "changes", len(changes))
	}
	return f.config.Cache.Apply(table, changes, version, age)
}

// avoid excludes a node from queries for a time that depends on the cause.
func (f *Feed) avoid(id lagoonbarrow.InstanceID, table string, cause error) {
	f.mu.Lock()
	now := f.config.Now()
	next := f.avoided[id].next(cause, now)
	f.avoided[id] = next
	f.mu.Unlock()
	f.config.Logger.Info("a node gave no useful answer about changes", "node", id, "table", table, "not-asked-for", next.until.Sub(now).String(), "cause", cause)
}

// stopAvoiding forgets that a node could not be reached, after a useful reply.
func (f *Feed) stopAvoiding(id lagoonbarrow.InstanceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.avoided, id)
}

// setFallback makes a node the second source for a time.
func (f *Feed) setFallback(id lagoonbarrow.InstanceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.avoided, id)
	f.fallback = id
	f.fallbackUntil = f.config.Now().Add(fallbackDuration)
}

// extendFallback keeps the second source after a useful reply.
func (f *Feed) extendFallback(id lagoonbarrow.InstanceID) {
	if f.currentFallback() == id {
		f.setFallback(id)
	}
}

// currentFallback returns the node that is the second source, or "".
func (f *Feed) currentFallback() lagoonbarrow.InstanceID {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.config.Now().After(f.fallbackUntil) {
		return ""
	}
	return f.fallback
}

// sources returns the nodes to query, in this order, according to this node's members.
// The reader of its own zone is first, so that a change crosses to a zone once. A node
// that finds itself in the list reads the store. Nodes whose members differ may read it
// too.
func (f *Feed) sources() []lagoonbarrow.Instance {
	members := f.usable()
	candidates := readers(members, f.config.Zone)
	slices.SortFunc(candidates, reader.compare)
	var selected []lagoonbarrow.Instance
	for _, candidate := range candidates[:min(maxSources, len(candidates))] {
		selected = append(selected, *candidate.member)
	}
	fallback := f.currentFallback()
	if fallback == "" || len(selected) == 0 || selected[0].ID == fallback {
		return selected
	}
	for _, member := range members {
		if member.ID == fallback {
			return append(selected[:1], member)
		}
	}
	return selected
}

// usable returns the members that are not avoided.
func (f *Feed) usable() []lagoonbarrow.Instance {
	members := f.config.Members()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Now()
	for id, avoided := range f.avoided {
		// The next avoidance of a node that still can't be reached builds on the last one.
		if now.Sub(avoided.until) > maxAvoidDuration {
			delete(f.avoided, id)
		}
	}
	return slices.DeleteFunc(members, func(m lagoonbarrow.Instance) bool {
		return now.Before(f.avoided[m.ID].until)
	})
}

// avoidedLast returns the members with the avoided ones after the others.
func (f *Feed) avoidedLast(members []lagoonbarrow.Instance) []lagoonbarrow.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Now()
	var usable, avoided []lagoonbarrow.Instance
	for _, member := range members {
		if now.Before(f.avoided[member.ID].until) {
			avoided = append(avoided, member)
			continue
		}
		usable = append(usable, member)
	}
	return append(usable, avoided...)
}

// reader is a node that may read the store for others.
type reader struct {
	member *lagoonbarrow.Instance
	// ownZone is set for the reader of the querying node's zone, if the zone has one.
	ownZone bool
	// hash gives the candidates the same order on all nodes.
	hash uint64
}

// compare orders the reader of the querying node's zone before the others.
func (r reader) compare(other reader) int {
	if r.ownZone != other.ownZone {
		if r.ownZone {
			return -1
		}
		return 1
	}
	return cmp.Compare(r.hash, other.hash)
}

// readers returns the candidates for a node in the zone: the first node of each zone
// with at least minReaderZoneSize members, and all nodes of smaller zones.
func readers(members []lagoonbarrow.Instance, zone lagoonbarrow.Zone) []reader {
	sizes := map[lagoonbarrow.Zone]int{}
	for i := range members {
		sizes[members[i].Zone]++
	}
	var candidates []reader
	zoneReaders := map[lagoonbarrow.Zone]reader{}
	for i := range members {
		candidate := reader{
			member: &members[i],
			hash:   xxhash.Sum64String(string(members[i].ID)),
		}
		name := members[i].Zone
		if sizes[name] < minReaderZoneSize {
			candidates = append(candidates, candidate)
			continue
		}
		candidate.ownZone = name == zone
		first, exists := zoneReaders[name]
		if !exists || candidate.compare(first) < 0 {
			zoneReaders[name] = candidate
		}
	}
	return slices.AppendSeq(candidates, maps.Values(zoneReaders))
}

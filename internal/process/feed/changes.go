package feed

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/frame"
)

// The steps of a search for changes are bounded by the age of the node's copy, so that
// their times don't add up. A change has to be in force on all nodes within 2 s.
const (
	// firstSourceSlack is how much older than the wait the copy may become before the
	// first source is abandoned, and secondSourceSlack the same for the second source.
	firstSourceSlack  = 400 * time.Millisecond
	secondSourceSlack = 600 * time.Millisecond
	// replyMargin is the part of a query's time that is left for its reply.
	replyMargin = 100 * time.Millisecond
	// minProgress is how much more recent than the node's own copy an old reply without
	// changes has to be. Less would repeat the query at once.
	minProgress = 50 * time.Millisecond
	// storeReplyTimeout is the time that a response of the store may take beyond the wait
	// while other nodes are queried only after it.
	storeReplyTimeout = 200 * time.Millisecond
	// storeRetryInterval is the time after a failed call to the store in which other nodes
	// are queried before it.
	storeRetryInterval = 3 * time.Second
	// slowReadTimeout bounds the last read of the store, which may be slow.
	slowReadTimeout = 2 * time.Second
	// recentSlack is how much older than the wait the copy of a node may be to count as
	// recent.
	recentSlack = 200 * time.Millisecond
)

// errNoProgress is the cause of a reply that is not more recent than the node's copy.
var errNoProgress = errors.Wrap(lagoonbarrow.ErrUnavailable, "feed: the node's copy is not more recent")

// search is one search for the changes of a table after a version.
type search struct {
	feed  *Feed
	table string
	after lagoonbarrow.RowVersion
	wait  time.Duration
	// queried holds this node and the nodes that were queried.
	queried map[lagoonbarrow.InstanceID]bool
	// fallbacksQueried is set once nodes were queried that are no sources.
	fallbacksQueried bool
}

// result holds the changes of a table up to a version.
type result struct {
	changes []lagoonbarrow.Change
	version lagoonbarrow.RowVersion
}

// Changes waits for changes. It queries the readers, then the store, then other nodes, in
// case the store doesn't serve this node. A reader itself queries the store.
func (f *Feed) Changes(ctx context.Context, table string, after lagoonbarrow.RowVersion, wait time.Duration) ([]lagoonbarrow.Change, lagoonbarrow.RowVersion, error) {
	s := &search{
		feed:  f,
		table: table,
		after: after,
		wait:  wait,
		queried: map[lagoonbarrow.InstanceID]bool{
			f.config.Self: true,
		},
	}
	found, err := s.run(ctx)
	if err != nil {
		return nil, 0, err
	}
	return found.changes, found.version, nil
}

// run takes the steps of the search in order until one succeeds.
func (s *search) run(ctx context.Context) (*result, error) {
	steps := []func(context.Context) (*result, error){
		s.querySources,
		s.queryFallbacksFirst,
		s.readStoreAndFallbacks,
	}
	var found *result
	var err error
	for _, step := range steps {
		found, err = step(ctx)
		if err == nil || errors.Is(err, lagoonbarrow.ErrHistoryLost) {
			return found, err
		}
		if ctx.Err() != nil {
			return nil, errors.Wrap(lagoonbarrow.ErrUnavailable, ctx.Err().Error())
		}
	}
	return nil, err
}

// querySources queries the sources in order. Each of them has time until the copy reaches
// an age. A source that is this node itself stands for the store.
func (s *search) querySources(ctx context.Context) (*result, error) {
	maxAges := [maxSources]time.Duration{s.wait + firstSourceSlack, s.wait + secondSourceSlack}
	err := errors.Wrap(lagoonbarrow.ErrUnavailable, "feed: no reader is known")
	for i, source := range s.feed.sources() {
		var found *result
		if source.ID == s.feed.config.Self {
			found, err = s.readStore(ctx)
		} else {
			found, err = s.querySource(ctx, source, max(maxAges[i]-s.age(), fallbackTimeout))
		}
		if err == nil || errors.Is(err, lagoonbarrow.ErrHistoryLost) || ctx.Err() != nil {
			return found, err
		}
	}
	return nil, err
}

// readStore waits for changes at the store for as long as the copy may stay without
// confirmation. It fails at once if a call to the store has failed a short time ago.
func (s *search) readStore(ctx context.Context) (*result, error) {
	if !s.feed.storeUsable() {
		return nil, errors.Wrap(lagoonbarrow.ErrUnavailable, "feed: the store has just failed")
	}
	wait := s.storeWait()
	limited, cancel := context.WithTimeout(ctx, wait+firstSourceSlack)
	defer cancel()
	return s.acceptResponse(ctx, s.feed.readChanges(limited, s.table, s.after, wait))
}

// storeWait returns how long a call to the store may wait for changes.
func (s *search) storeWait() time.Duration {
	return max(s.wait-s.age(), 0)
}

// readStoreAndFallbacks reads the store, which may be slow, and queries other nodes while it
// gives no response.
func (s *search) readStoreAndFallbacks(ctx context.Context) (*result, error) {
	wait := s.storeWait()
	limited, cancel := context.WithTimeout(ctx, wait+slowReadTimeout)
	defer cancel()
	read := make(chan storeResponse, 1)
	go s.feed.panics.Run(limited, "reads of the store", func(ctx context.Context) {
		read <- s.feed.callTwice(ctx, wait, func(ctx context.Context, wait time.Duration) storeResponse {
			return s.feed.readChanges(ctx, s.table, s.after, wait)
		})
	})
	interval := fallbackInterval
	timer := time.NewTimer(wait + storeReplyTimeout)
	defer timer.Stop()
	for {
		select {
		case response := <-read:
			found, err := s.acceptResponse(ctx, response)
			if err != nil && !errors.Is(err, lagoonbarrow.ErrHistoryLost) {
				return s.queryFallbacksAfter(ctx, err)
			}
			return found, err
		case <-timer.C:
			// The nodes may have a recent copy by now.
			s.queried = map[lagoonbarrow.InstanceID]bool{
				s.feed.config.Self: true,
			}
			found, err := s.queryFallbacks(limited)
			if err == nil {
				s.feed.recordStoreFailure()
				return found, nil
			}
			timer.Reset(interval)
			interval *= 2
		}
	}
}

// acceptResponse applies the changes in a response of the store to this node's copy.
func (s *search) acceptResponse(ctx context.Context, response storeResponse) (*result, error) {
	s.feed.recordResponse(ctx, response.err)
	if response.err != nil {
		return nil, response.err
	}
	return &result{
		changes: s.feed.apply(s.table, response.changes, response.version, response.age, ""),
		version: response.version,
	}, nil
}

// querySource queries a node that should have a recent copy, and avoids it if it has not.
func (s *search) querySource(ctx context.Context, node lagoonbarrow.Instance, timeout time.Duration) (*result, error) {
	s.queried[node.ID] = true
	wait := time.Duration(0)
	if s.wait > 0 {
		wait = max(timeout-replyMargin, 0)
	}
	reply, err := s.query(ctx, node, wait, timeout)
	if err == nil {
		err = s.check(reply)
	}
	if err != nil {
		// A query that ended with the caller says nothing about the node.
		if ctx.Err() == nil {
			s.feed.avoid(node.ID, s.table, err)
		}
		// The history that a node has lost, the store may still have.
		return nil, errors.Wrap(lagoonbarrow.ErrUnavailable, err.Error())
	}
	s.feed.stopAvoiding(node.ID)
	s.feed.extendFallback(node.ID)
	return s.acceptReply(reply, node.ID), nil
}

// age returns the time since the node's copy was last confirmed as the store's newest.
func (s *search) age() time.Duration {
	return s.feed.config.Cache.age(s.table)
}

// check returns an error unless the reply has changes or is recent.
func (s *search) check(reply *changesReply) error {
	if err := reply.check(s.after); err != nil {
		return err
	}
	if era := s.feed.config.Cache.era(s.table); reply.Version.Era() < era {
		return errors.Wrapf(lagoonbarrow.ErrUnavailable, "feed: the node's copy has version %s, from before the store was restored", reply.Version)
	}
	if len(reply.Changes) == 0 && reply.Age > s.wait+recentSlack && reply.Age > s.age()-minProgress {
		return errors.Wrapf(errNoProgress, "feed: copy of %s", reply.Age)
	}
	return nil
}

// acceptReply applies the reply of a node to this node's copy.
func (s *search) acceptReply(reply *changesReply, source lagoonbarrow.InstanceID) *result {
	return &result{
		changes: s.feed.apply(s.table, reply.tableChanges(s.table), reply.Version, reply.Age, source),
		version: reply.Version,
	}
}

// query sends a request to a node, which may wait for changes, and returns its reply.
func (s *search) query(ctx context.Context, node lagoonbarrow.Instance, wait, timeout time.Duration) (*changesReply, error) {
	request, err := frame.EncodeMessage(kindChanges, changesRequest{
		Table: s.table,
		After: s.after,
		Wait:  wait,
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	started := s.feed.config.Now()
	response, err := s.feed.config.Sender.Send(ctx, node.Peer, request)
	if err != nil {
		return nil, err
	}
	reply := &changesReply{}
	if err := frame.DecodeMessage(response, reply); err != nil {
		return nil, err
	}
	reply.Age += lateness(s.feed.config.Now().Sub(started), wait)
	return reply, nil
}

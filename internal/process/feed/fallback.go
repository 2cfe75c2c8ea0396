package feed

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

const (
	// maxFallbacks is the number of further nodes that are queried in one round.
	maxFallbacks = 4
	// fallbackTimeout bounds the query to one of them, which doesn't wait for changes.
	fallbackTimeout = 200 * time.Millisecond
	// fallbackStagger is the time without a reply after which the next one is queried.
	fallbackStagger = 60 * time.Millisecond
	// fallbackInterval is the time between the first two rounds. It doubles with each round.
	fallbackInterval = 400 * time.Millisecond
	// fallbackDuration is how long a node that had a recent copy serves as second source
	// after its last useful reply.
	fallbackDuration = 10 * time.Second
)

// queryFallbacksFirst queries other nodes if the store has failed a short time ago.
func (s *search) queryFallbacksFirst(ctx context.Context) (*result, error) {
	if s.feed.storeUsable() {
		return nil, errors.Wrap(lagoonbarrow.ErrUnavailable, "feed: the store is queried first")
	}
	return s.queryFallbacks(ctx)
}

// queryFallbacksAfter queries other nodes, unless some were queried before the store. If
// they have nothing recent, it returns the store's error with theirs.
func (s *search) queryFallbacksAfter(ctx context.Context, storeErr error) (*result, error) {
	if s.fallbacksQueried {
		return nil, storeErr
	}
	found, err := s.queryFallbacks(ctx)
	return found, errors.Wrap(err, storeErr.Error())
}

// fallbackReply is the reply of a node that is not a source.
type fallbackReply struct {
	node  lagoonbarrow.InstanceID
	reply *changesReply
	err   error
}

// queryFallbacks queries a few other nodes. It answers the load of a store that serves some
// nodes only: any node that it serves, and each that has queried one, has a recent copy. It
// doesn't wait for the reply of a silent node before it queries the next one.
func (s *search) queryFallbacks(ctx context.Context) (*result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.fallbacksQueried = true
	nodes := s.fallbacks()
	replies := make(chan fallbackReply, len(nodes))
	ticker := time.NewTicker(fallbackStagger)
	defer ticker.Stop()
	err := errors.Wrap(lagoonbarrow.ErrUnavailable, "feed: no other node is known")
	for begun, ended := 0, 0; ended < len(nodes); {
		if begun == ended {
			s.queryFallback(ctx, nodes[begun], replies)
			begun++
		}
		select {
		case reply := <-replies:
			ended++
			if reply.err == nil {
				s.feed.setFallback(reply.node)
				return s.acceptReply(reply.reply, reply.node), nil
			}
			err = reply.err
			if errors.Is(err, lagoonbarrow.ErrNotSent) && ctx.Err() == nil {
				s.feed.avoid(reply.node, s.table, err)
			}
		case <-ticker.C:
			if begun < len(nodes) {
				s.queryFallback(ctx, nodes[begun], replies)
				begun++
			}
		}
	}
	return nil, errors.Wrap(lagoonbarrow.ErrUnavailable, err.Error())
}

// queryFallback begins a query that doesn't wait for changes.
func (s *search) queryFallback(ctx context.Context, node lagoonbarrow.Instance, replies chan<- fallbackReply) {
	s.queried[node.ID] = true
	go s.feed.panics.Run(ctx, "query of a node", func(ctx context.Context) {
		reply, err := s.query(ctx, node, 0, fallbackTimeout)
		if err == nil {
			err = s.check(reply)
		}
		replies <- fallbackReply{
			node:  node.ID,
			reply: reply,
			err:   err,
		}
	})
}

// fallbacks returns random nodes that were not queried yet, the avoided ones last.
func (s *search) fallbacks() []lagoonbarrow.Instance {
	members := slices.DeleteFunc(s.feed.config.Members(), func(m lagoonbarrow.Instance) bool { return s.queried[m.ID] })
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	members = s.feed.avoidedLast(members)
	return members[:min(maxFallbacks, len(members))]
}

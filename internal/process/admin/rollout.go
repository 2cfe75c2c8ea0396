package admin

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
	"lagoonbarrow/internal/version/contract"
)

// maxListedNodes limits each list of nodes in a roll-out answer. The counts include
// all nodes.
const maxListedNodes = 200

// Rollout reports on how many live nodes a revision is in force, and lists the others.
type Rollout struct {
	Customer lagoonbarrow.CustomerID      `json:"customer"`
	Version  lagoonbarrow.ContractVersion `json:"version"`
	Revision lagoonbarrow.Revision        `json:"revision"`
	Live     int                          `json:"live"`
	InForce  int                          `json:"in-force"`
	// Complete is set if the revision is in force on all live nodes.
	Complete      bool         `json:"everywhere"`
	BehindCount   int          `json:"behind-count"`
	NoAnswerCount int          `json:"no-answer-count"`
	Behind        []NodeStatus `json:"behind"`
	NoAnswer      []NodeStatus `json:"no-answer"`
}

// NodeStatus is the status of one node in a roll-out.
type NodeStatus struct {
	Instance lagoonbarrow.InstanceID `json:"instance"`
	Zone     lagoonbarrow.Zone       `json:"zone"`
	State    string                  `json:"state"`
	Revision lagoonbarrow.Revision   `json:"revision,omitempty"`
	Ready    bool                    `json:"ready"`
	Error    string                  `json:"error,omitempty"`
}

func (s *Server) getRollout(ctx *fasthttp.RequestCtx, parameters []string) {
	requestCtx, cancel := s.requestContext()
	defer cancel()
	record, err := s.config.Store.Get(requestCtx, lagoonbarrow.CustomerID(parameters[0]))
	if err != nil {
		writeFailure(ctx, err)
		return
	}
	state, err := s.rollouts.get(requestCtx, record, s.queryRollout)
	if err != nil {
		writeFailure(ctx, err)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, state)
}

// rolloutCache caches the last roll-out result and runs one query to all nodes at
// a time.
type rolloutCache struct {
	mutex   sync.Mutex
	last    Rollout
	expires time.Time
}

func (r *rolloutCache) get(ctx context.Context, record lagoonbarrow.ContractRecord, query func(context.Context, lagoonbarrow.ContractRecord) Rollout) (Rollout, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.last.Revision == record.Revision && time.Now().Before(r.expires) {
		return r.last, nil
	}
	// If the wait for the lock used up the request timeout, no node could answer
	// in time.
	if ctx.Err() != nil {
		return Rollout{}, errors.Wrap(lagoonbarrow.ErrUnavailable, "admin: roll-out: other questions took too long")
	}
	r.last = query(ctx, record)
	r.expires = time.Now().Add(rolloutCacheTimePerNode * time.Duration(r.last.Live))
	return r.last, nil
}

// queryRollout queries all live nodes, including this one, for their revision.
func (s *Server) queryRollout(ctx context.Context, record lagoonbarrow.ContractRecord) Rollout {
	live := s.config.Roster.Live()
	answers := make([]NodeStatus, len(live))
	var pending sync.WaitGroup
	for index := range live {
		pending.Add(1)
		task := func() {
			defer pending.Done()
			answers[index] = s.queryNode(ctx, live[index])
		}
		if err := s.pool.Go(task); err != nil {
			answers[index] = nodeStatus(live[index])
			answers[index].Error = err.Error()
			pending.Done()
		}
	}
	pending.Wait()
	return summarize(record, answers)
}

func nodeStatus(instance lagoonbarrow.Instance) NodeStatus {
	return NodeStatus{
		Instance: instance.ID,
		Zone:     instance.Zone,
		State:    instance.State.String(),
	}
}

func (s *Server) queryNode(ctx context.Context, instance lagoonbarrow.Instance) NodeStatus {
	answer := nodeStatus(instance)
	if instance.ID == s.config.Roster.Self().ID {
		answer.Revision = s.config.Contracts.Revision()
		answer.Ready = s.config.Contracts.Ready()
		return answer
	}
	ctx, cancel := context.WithTimeout(ctx, s.config.NodeTimeout)
	defer cancel()
	reply, err := s.config.Transport.Send(ctx, instance.Peer, contract.StatusRequest())
	if err != nil {
		answer.Error = err.Error()
		return answer
	}
	status, err := contract.DecodeStatus(reply)
	if err != nil {
		answer.Error = err.Error()
		return answer
	}
	answer.Revision = status.Revision
	answer.Ready = status.Ready
	return answer
}

// summarize counts a node that has not loaded the contracts as behind. Such a node
// accepts no work.
func summarize(record lagoonbarrow.ContractRecord, answers []NodeStatus) Rollout {
	sort.Slice(answers, func(i, j int) bool {
		return answers[i].Instance < answers[j].Instance
	})
	result := Rollout{
		Customer: record.Customer,
		Version:  record.Version,
		Revision: record.Revision,
		Live:     len(answers),
		Behind:   []NodeStatus{},
		NoAnswer: []NodeStatus{},
	}
	for _, answer := range answers {
		switch {
		case answer.Error != "":
			result.NoAnswerCount++
			result.NoAnswer = appendBounded(result.NoAnswer, answer)
		case !answer.Ready || answer.Revision < record.Revision:
			result.BehindCount++
			result.Behind = appendBounded(result.Behind, answer)
		default:
			result.InForce++
		}
	}
	result.Complete = result.InForce == result.Live
	return result
}

func appendBounded(list []NodeStatus, answer NodeStatus) []NodeStatus {
	if len(list) >= maxListedNodes {
		return list
	}
	return append(list, answer)
}

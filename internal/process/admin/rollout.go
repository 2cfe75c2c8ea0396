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

// maxListedNodes bounds the lists in a roll-out answer; the counts are whole.
const maxListedNodes = 200

// Rollout tells on which live nodes a revision is in force.
type Rollout struct {
	Customer lagoonbarrow.CustomerID      `json:"customer"`
	Version  lagoonbarrow.ContractVersion `json:"version"`
	Revision lagoonbarrow.Revision        `json:"revision"`
	Live     int                          `json:"live"`
	InForce  int                          `json:"in-force"`
	// Everywhere is set when all live nodes have the revision in force.
	Everywhere    bool         `json:"everywhere"`
	BehindCount   int          `json:"behind-count"`
	NoAnswerCount int          `json:"no-answer-count"`
	Behind        []NodeStatus `json:"behind"`
	NoAnswer      []NodeStatus `json:"no-answer"`
}

// NodeStatus is one node's part of a roll-out.
type NodeStatus struct {
	Instance lagoonbarrow.InstanceID `json:"instance"`
	Zone     lagoonbarrow.Zone       `json:"zone"`
	State    string                  `json:"state"`
	Revision lagoonbarrow.Revision   `json:"revision,omitempty"`
	Ready    bool                    `json:"ready"`
	Error    string                  `json:"error,omitempty"`
}

func (s *Server) getRollout(ctx *fasthttp.RequestCtx, parameters []string) {
	work, cancel := s.requestContext()
	defer cancel()
	record, err := s.config.Store.Get(work, lagoonbarrow.CustomerID(parameters[0]))
	if err != nil {
		writeFailure(ctx, err)
		return
	}
	state, err := s.rollouts.get(work, record, s.rollout)
	if err != nil {
		writeFailure(ctx, err)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, state)
}

// rollouts keeps the last answer about a roll-out and lets one question to all
// nodes run at a time.
type rollouts struct {
	mutex sync.Mutex
	last  Rollout
	until time.Time
}

func (r *rollouts) get(ctx context.Context, record lagoonbarrow.ContractRecord, ask func(context.Context, lagoonbarrow.ContractRecord) Rollout) (Rollout, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.last.Revision == record.Revision && time.Now().Before(r.until) {
		return r.last, nil
	}
	// With its time used up by the wait for the lock, the question would find
	// all nodes silent.
	if ctx.Err() != nil {
		return Rollout{}, errors.Wrap(lagoonbarrow.ErrUnavailable, "admin: roll-out: other questions took too long")
	}
	r.last = ask(ctx, record)
	r.until = time.Now().Add(rolloutReuse * time.Duration(r.last.Live))
	return r.last, nil
}

// rollout asks all live nodes, this one included, for their revision.
func (s *Server) rollout(ctx context.Context, record lagoonbarrow.ContractRecord) Rollout {
	live := s.config.Roster.Live()
	answers := make([]NodeStatus, len(live))
	var pending sync.WaitGroup
	for index := range live {
		pending.Add(1)
		task := func() {
			defer pending.Done()
			answers[index] = s.askNode(ctx, live[index])
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

func (s *Server) askNode(ctx context.Context, instance lagoonbarrow.Instance) NodeStatus {
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

// summarize counts a node that has not loaded the contracts as behind; it
// accepts no work until it has.
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
	result.Everywhere = result.InForce == result.Live
	return result
}

func appendBounded(list []NodeStatus, answer NodeStatus) []NodeStatus {
	if len(list) >= maxListedNodes {
		return list
	}
	return append(list, answer)
}

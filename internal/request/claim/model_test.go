package claim

import (
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"lagoonbarrow"
)

// The kinds of operations in a history. An operation named "maybe" may take
// effect at any time after its call, or never.
const (
	opAcquire = iota
	opBlocked
	opVoidAttempt
	opVoid
	opComplete
	opRun
	opMaybeClaim
	opMaybeVoid
	opMaybeEnd
)

// operation is the input of one step of a key's history.
type operation struct {
	kind     int
	attempt  lagoonbarrow.AttemptID
	expected lagoonbarrow.RowVersion
	// observed is the row that the operation returned.
	observed keyState
	// state is the state that opMaybeEnd writes.
	state lagoonbarrow.ClaimState
}

// keyState is the state of one key in the sequential specification: its row and
// the attempt that ran.
type keyState struct {
	version lagoonbarrow.RowVersion
	state   lagoonbarrow.ClaimState
	attempt lagoonbarrow.AttemptID
	ran     lagoonbarrow.AttemptID
}

func (s keyState) claimable(expected lagoonbarrow.RowVersion) bool {
	return s.version == expected && (s.state == "" || s.state == lagoonbarrow.ClaimVoided)
}

func (s keyState) heldBy(op operation) bool {
	return s.state == lagoonbarrow.ClaimHeld && s.attempt == op.attempt && s.version == op.expected
}

func (s keyState) next(state lagoonbarrow.ClaimState, attempt lagoonbarrow.AttemptID) keyState {
	s.version++
	s.state = state
	s.attempt = attempt
	return s
}

// ended returns the state after a held claim has been completed or voided. A
// claim that ran can't be voided, and a claim that did not run can't be completed.
func (s keyState) ended(op operation, state lagoonbarrow.ClaimState) []interface{} {
	ran := s.ran == op.attempt
	if !s.heldBy(op) || ran != (state == lagoonbarrow.ClaimCompleted) {
		return nil
	}
	return []interface{}{s.next(state, op.attempt)}
}

func (s keyState) matches(op operation) bool {
	return s.version == op.observed.version && s.state == op.observed.state && s.attempt == op.observed.attempt
}

func stepKey(state, input, _ interface{}) []interface{} {
	s := state.(keyState)
	op := input.(operation)
	switch op.kind {
	case opAcquire:
		if s.claimable(op.expected) {
			return []interface{}{s.next(lagoonbarrow.ClaimHeld, op.attempt)}
		}
	case opBlocked:
		if s.matches(op) {
			return []interface{}{s}
		}
	case opVoidAttempt:
		if s.state == lagoonbarrow.ClaimVoided && s.version > op.expected {
			return []interface{}{s}
		}
		if s.claimable(op.expected) {
			return []interface{}{s.next(lagoonbarrow.ClaimVoided, op.attempt)}
		}
	case opVoid:
		return s.ended(op, lagoonbarrow.ClaimVoided)
	case opComplete:
		return s.ended(op, lagoonbarrow.ClaimCompleted)
	case opRun:
		if s.state == lagoonbarrow.ClaimHeld && s.attempt == op.attempt && s.ran == "" {
			s.ran = op.attempt
			return []interface{}{s}
		}
	case opMaybeClaim:
		if s.claimable(op.expected) {
			return []interface{}{s, s.next(lagoonbarrow.ClaimHeld, op.attempt)}
		}
		return []interface{}{s}
	case opMaybeVoid:
		return s.maybeVoided(op)
	case opMaybeEnd:
		return append(s.ended(op, op.state), s)
	}
	return nil
}

// maybeVoided returns the possible states after a void that may take effect,
// either at the attempt's expected version or on its claim.
func (s keyState) maybeVoided(op operation) []interface{} {
	claimed := op
	claimed.expected++
	if s.claimable(op.expected) || (s.heldBy(claimed) && s.ran != op.attempt) {
		return []interface{}{s, s.next(lagoonbarrow.ClaimVoided, op.attempt)}
	}
	return []interface{}{s}
}

var keyModel = porcupine.NondeterministicModel{
	Init: func() []interface{} {
		return []interface{}{keyState{}}
	},
	Step: stepKey,
}

// history records the operations, runs and answers of each key.
type history struct {
	clock atomic.Int64

	mutex      sync.Mutex
	operations map[string][]porcupine.Operation
	ran        map[string][]lagoonbarrow.AttemptID
	notRun     map[lagoonbarrow.AttemptID]bool
	answers    map[string][]string
}

func newHistory() *history {
	return &history{
		operations: map[string][]porcupine.Operation{},
		ran:        map[string][]lagoonbarrow.AttemptID{},
		notRun:     map[lagoonbarrow.AttemptID]bool{},
		answers:    map[string][]string{},
	}
}

func (h *history) now() int64 {
	return h.clock.Add(1)
}

func (h *history) add(key string, began, ended int64, op operation) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.operations[key] = append(h.operations[key], porcupine.Operation{
		ClientId: len(h.operations[key]),
		Input:    op,
		Call:     began,
		Return:   ended,
	})
}

// addPossible adds an operation that may take effect at any later time.
func (h *history) addPossible(key string, began int64, op operation) {
	h.add(key, began, math.MaxInt64, op)
}

func (h *history) addRun(key string, attempt lagoonbarrow.AttemptID) {
	began := h.now()
	h.mutex.Lock()
	h.ran[key] = append(h.ran[key], attempt)
	h.mutex.Unlock()
	h.add(key, began, h.now(), operation{
		kind:    opRun,
		attempt: attempt,
	})
}

func (h *history) addNotRun(attempt lagoonbarrow.AttemptID) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.notRun[attempt] = true
}

func (h *history) addAnswer(key, body string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.answers[key] = append(h.answers[key], body)
}

func (h *history) ranAttempt(key string) lagoonbarrow.AttemptID {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if len(h.ran[key]) == 0 {
		return ""
	}
	return h.ran[key][0]
}

// check fails the test when a key ran twice, when an attempt ran that was
// declared not run, when a caller received another run's answer, or when no
// order of the operations matches the sequential specification.
func (h *history) check(t *testing.T) {
	t.Helper()
	for key, ran := range h.ran {
		if len(ran) > 1 {
			t.Errorf("key %s ran %d times: %v", key, len(ran), ran)
		}
		for _, attempt := range ran {
			if h.notRun[attempt] {
				t.Errorf("attempt %s ran and was declared not run", attempt)
			}
		}
	}
	for key, answers := range h.answers {
		for _, answer := range answers {
			if len(h.ran[key]) != 1 || answer != string(h.ran[key][0]) {
				t.Errorf("key %s: answer of %q, ran %v", key, answer, h.ran[key])
			}
		}
	}
	model := keyModel.ToModel()
	for key, operations := range h.operations {
		result := porcupine.CheckOperationsTimeout(model, operations, 20*time.Second)
		if result != porcupine.Ok {
			t.Errorf("key %s: history of %d operations is %s", key, len(operations), result)
		}
	}
}

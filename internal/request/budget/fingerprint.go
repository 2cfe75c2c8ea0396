package budget

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"lagoonbarrow"
)

// fingerprint recognises a repeat of a call by the same parent. The hash covers
// the body; a collision makes a separate call cost a token, which keeps the bound.
type fingerprint struct {
	service  lagoonbarrow.ServiceName
	method   string
	path     string
	bodyHash uint64
	// callKey is the value of HeaderCallKey, which tells intended calls apart.
	callKey string
}

func newFingerprint(call *lagoonbarrow.Call) fingerprint {
	return fingerprint{
		service:  call.Service,
		method:   call.Method,
		path:     call.Path,
		bodyHash: xxhash.Sum64(call.Body),
		callKey:  callKey(call),
	}
}

func callKey(call *lagoonbarrow.Call) string {
	for _, field := range call.Header {
		if strings.EqualFold(field.Name, lagoonbarrow.HeaderCallKey) {
			return field.Value
		}
	}
	return ""
}

// callState is what became of the calls with one fingerprint. States without a
// running, failed or unknown call are removed.
type callState struct {
	running int
	failed  bool
	// ran is set when a failed call was run by a backend server.
	ran bool
	// unknown is set when a failed call may have been run.
	unknown bool
}

func (s *callState) end(outcome lagoonbarrow.Outcome, failed bool) {
	s.running--
	if !failed && outcome == lagoonbarrow.OutcomeDone {
		s.failed = false
		s.ran = false
		s.unknown = false
		return
	}
	s.failed = true
	s.ran = s.ran || outcome == lagoonbarrow.OutcomeDone
	s.unknown = s.unknown || outcome == lagoonbarrow.OutcomeUnknown
}

func (s *callState) settled() bool {
	return s.running == 0 && !s.failed
}

// mayDouble reports whether repeating the call could run a write twice: an
// earlier one is running or has an unknown outcome. For work that must run at
// most once this holds also after an answer that reported a failure.
func (s *callState) mayDouble(call *lagoonbarrow.Call) bool {
	if call.Safe() {
		return false
	}
	if s.running > 0 || s.unknown {
		return true
	}
	return call.AtMostOnce && s.ran
}

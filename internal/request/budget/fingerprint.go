package budget

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"lagoonbarrow"
)

// fingerprint identifies repeats of a call by the same parent. The body is hashed.
// A collision makes a distinct call cost a token, so it can't exceed the bound.
type fingerprint struct {
	service  lagoonbarrow.ServiceName
	method   string
	path     string
	bodyHash uint64
	// callKey is the value of HeaderCallKey, which distinguishes otherwise equal calls.
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

// callState tracks the calls with one fingerprint. It is removed when none of them
// is running, has failed or has an unknown outcome.
type callState struct {
	running int
	failed  bool
	// ran is set when a backend server ran a failed call.
	ran bool
	// unknown is set when a backend server may have run a failed call.
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

// mayRunTwice reports whether repeating the call could run a write twice, because
// an earlier call is running or has an unknown outcome. For a call that must run at
// most once, a failure reported by the server counts too.
func (s *callState) mayRunTwice(call *lagoonbarrow.Call) bool {
	if call.Safe() {
		return false
	}
	if s.running > 0 || s.unknown {
		return true
	}
	return call.AtMostOnce && s.ran
}

package backend

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutines that outlive their call.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

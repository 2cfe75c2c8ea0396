package backend

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against servers that leave goroutines behind, since tests run many of
// them in one process.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

package frame

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutines that reading or writing leaves behind.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

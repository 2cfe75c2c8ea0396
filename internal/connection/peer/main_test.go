package peer

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutines that outlive their connection, server or client.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

package platform

import (
	"context"
	"testing"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/standin/script"
)

// Guards against a response without a length that counts as an object that was written, although
// the platform reset the connection while the object was being sent.
func TestResponseBeforeAResetIsNoResponse(t *testing.T) {
	client := New(Config{
		Address: script.Start(t, script.RespondAndReset("HTTP/1.1 200 OK\r\nETag: \"1\"\r\n\r\npart")),
	})
	defer func() { _ = client.Stop() }()
	etag, err := client.PutObject(context.Background(), "object", make([]byte, script.UploadBytes), "")
	if !errors.Is(err, lagoonbarrow.ErrOutcomeUnknown) {
		t.Errorf("ETag %q, error %v", etag, err)
	}
}

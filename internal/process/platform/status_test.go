package platform

import (
	"strconv"
	"testing"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/standin/script"
)

// writtenBody is the body of the response to a claim that was made.
const writtenBody = `{"results":[{"outcome":"written","version":1}]}`

// Guards against a response with an invalid status that counts as a success (000), and against a
// claim that is taken for made.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999", "20", "2000", "+20"} {
		t.Run(status, func(t *testing.T) {
			checkNoResponse(t, "HTTP/1.1 "+status+"\r\nContent-Length: "+strconv.Itoa(len(writtenBody))+"\r\n\r\n"+writtenBody)
		})
	}
}

// Guards against a response with a blank or a control byte in a field name that is taken for a
// claim that was made.
func TestInvalidFieldNameIsNoResponse(t *testing.T) {
	for _, line := range []string{"X Y: z\r\n", "X : y\r\n", " X: y\r\n", "\tX: y\r\n", "X\x01: y\r\n", "X\x7fY: z\r\n", "\nX: y\r\n"} {
		t.Run(strconv.Quote(line), func(t *testing.T) {
			checkNoResponse(t, "HTTP/1.1 200 OK\r\nY: z\r\n"+line+"Content-Length: "+strconv.Itoa(len(writtenBody))+"\r\n\r\n"+writtenBody)
		})
	}
}

// Guards against a response whose version was spoiled, which is taken for a claim that was made.
func TestSpoiledVersionIsNoResponse(t *testing.T) {
	length := " 200 OK\r\nContent-Length: " + strconv.Itoa(len(writtenBody)) + "\r\n\r\n" + writtenBody
	chunked := " 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(writtenBody)), 16) + "\r\n" + writtenBody + "\r\n0\r\n\r\n"
	for _, response := range []string{"HTTP/1.0" + chunked, "HTTP/1.2" + chunked, "HTTP/1.2" + length, "HTTP/2.1" + length, "HTTP/1." + length} {
		t.Run(strconv.Quote(response), func(t *testing.T) {
			checkNoResponse(t, response)
		})
	}
}

// checkNoResponse fails unless the outcome of a claim that gets the response is unknown.
func checkNoResponse(t *testing.T, response string) {
	t.Helper()
	client := New(Config{
		Address: script.Start(t, script.Respond(response)),
	})
	defer func() { _ = client.Stop() }()
	if err := put(client, "key", 0); !errors.Is(err, lagoonbarrow.ErrOutcomeUnknown) {
		t.Errorf("error %v", err)
	}
}

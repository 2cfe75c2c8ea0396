package cli

import (
	"strconv"
	"testing"

	"github.com/valyala/fasthttp"

	"lagoonbarrow"
	"lagoonbarrow/internal/standin/script"
)

// Guards against an operator's command that takes a response of a failing node with an invalid
// status, such as 000, for a success.
func TestInvalidStatusOfANodeIsAnError(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999", "20", "2000", "abc"} {
		t.Run(status, func(t *testing.T) {
			checkNoResponse(t, "HTTP/1.1 "+status+" OK\r\nContent-Length: 2\r\n\r\n{}")
		})
	}
}

// Guards against an operator's command that takes a response with a blank or a control byte in a
// field name for a success.
func TestInvalidFieldNameOfANodeIsAnError(t *testing.T) {
	for _, line := range []string{"X Y: z\r\n", "X : y\r\n", " X: y\r\n", "X\x01: y\r\n", "\nX: y\r\n"} {
		t.Run(strconv.Quote(line), func(t *testing.T) {
			checkNoResponse(t, "HTTP/1.1 200 OK\r\nY: z\r\n"+line+"Content-Length: 2\r\n\r\n{}")
		})
	}
}

// Guards against an operator's command that takes a response whose version was spoiled for a success.
func TestSpoiledVersionOfANodeIsAnError(t *testing.T) {
	const (
		length  = " 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}"
		chunked = " 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"
	)
	for _, response := range []string{"HTTP/1.0" + chunked, "HTTP/1.2" + chunked, "HTTP/1.2" + length, "HTTP/2.1" + length} {
		t.Run(strconv.Quote(response), func(t *testing.T) {
			checkNoResponse(t, response)
		})
	}
}

// checkNoResponse fails unless a call that gets the response fails.
func checkNoResponse(t *testing.T, response string) {
	t.Helper()
	client := &adminClient{
		address: string(script.Start(t, script.Respond(response))),
		http:    newHTTPClient(),
	}
	got, err := client.call(fasthttp.MethodGet, "/status", nil, lagoonbarrow.HeaderField{})
	if err == nil {
		t.Errorf("response %+v", got)
	}
}

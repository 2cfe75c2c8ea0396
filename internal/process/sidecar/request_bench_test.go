package sidecar

import (
	"testing"

	"github.com/valyala/fasthttp"
)

// BenchmarkRequest measures a request from a client to a backend server and back,
// with everything in one process.
func BenchmarkRequest(b *testing.B) {
	f := newFleet(b, 0, nil)
	target := "http://" + string(f.members[0].sidecar.settings.RequestAddress) + "/read/one"
	client := &fasthttp.Client{}
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	b.ReportAllocs()
	for b.Loop() {
		request.SetRequestURI(target)
		request.Header.SetHost("one.example")
		request.UseHostHeader = true
		request.Header.Set("Request-Id", "request")
		request.Header.Set("Deadline-Ms", "5000")
		if err := client.Do(request, response); err != nil {
			b.Fatal(err)
		}
		if response.StatusCode() != fasthttp.StatusOK {
			b.Fatalf("status %d", response.StatusCode())
		}
	}
}

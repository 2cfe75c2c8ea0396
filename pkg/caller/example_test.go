package caller_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"

	"lagoonbarrow/pkg/caller"
)

// addressOf returns the IP address and port of a test server.
func addressOf(server *httptest.Server) string {
	return strings.TrimPrefix(server.URL, "http://")
}

// This example files a resolution with an idempotency key. The first node is not
// ready, so the client sends the request to the second one under the same key.
func ExampleClient_Do() {
	starting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Lagoonbarrow-Outcome", "not-run")
		w.Header().Set("Lagoonbarrow-Reason", "not-ready")
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer starting.Close()
	ready := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Lagoonbarrow-Outcome", "done")
		fmt.Fprintf(w, "filed under %s", r.Header.Get("Idempotency-Key"))
	}))
	defer ready.Close()

	client, err := caller.New(caller.Config{
		Entries: []string{addressOf(starting), addressOf(ready)},
		APIKey:  "residents-key",
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer client.Close()
	response, err := client.Do(context.Background(), caller.Request{
		Method:         http.MethodPost,
		Path:           "/resolutions",
		Body:           []byte("signed"),
		IdempotencyKey: "resolution-18",
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(response.Status, string(response.Body), "after", response.Sends, "sends")
	// Output: 200 filed under resolution-18 after 2 sends
}

// This example handles each kind of refusal.
func ExampleRefusal() {
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Lagoonbarrow-Outcome", "not-run")
		w.Header().Set("Lagoonbarrow-Reason", "quota")
		w.Header().Set("Retry-After", "2")
		w.WriteHeader(http.StatusTooManyRequests)
	}))
	defer node.Close()
	client, err := caller.New(caller.Config{
		Entries: []string{addressOf(node)},
		APIKey:  "residents-key",
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer client.Close()
	_, err = client.Do(context.Background(), caller.Request{
		Method: http.MethodGet,
		Path:   "/minutes/2026-11",
	})
	var refused *caller.Refusal
	switch {
	case errors.Is(err, caller.ErrOverContract) && errors.As(err, &refused):
		fmt.Println("slow down, try again after", refused.RetryAfter)
	case errors.Is(err, caller.ErrRejected):
		fmt.Println("correct the request")
	case errors.Is(err, caller.ErrNotRun):
		fmt.Println("try again later")
	case errors.Is(err, caller.ErrUnknown):
		fmt.Println("repeat only under the same key")
	}
	// Output: slow down, try again after 2s
}

// This example shows a backend server that calls a downstream service through its node.
func ExampleDownstream_Do() {
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Lagoonbarrow-Outcome", "done")
		fmt.Fprintf(w, "%s for call %s", r.URL.Path, r.Header.Get("Lagoonbarrow-Call"))
	}))
	defer node.Close()
	downstream, err := caller.NewDownstream(caller.DownstreamConfig{
		Node: addressOf(node),
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer downstream.Close()
	backend := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		member, err := downstream.Do(r, caller.Call{
			Service: "members",
			Method:  http.MethodGet,
			Path:    "/member/17",
		})
		if errors.Is(err, caller.ErrNotRun) {
			caller.NotRun(w, 0)
			return
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		fmt.Fprint(w, string(member.Body))
	})

	// The node sends the call's id to the backend server in a header.
	request := httptest.NewRequest(http.MethodGet, "/minutes/2026-11", nil)
	request.Header.Set("Lagoonbarrow-Call", "c-1")
	answer := httptest.NewRecorder()
	backend.ServeHTTP(answer, request)
	fmt.Println(answer.Body)
	// Output: /members/member/17 for call c-1
}

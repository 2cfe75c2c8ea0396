package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// requestTimeout is how long a client waits for an answer, which is also its Deadline-Ms.
const requestTimeout = 5 * time.Second

// sending is a request of a client.
type sending struct {
	id     string
	method string
	path   string
	body   string
	// key is the key of the client's customer, or empty.
	key string
}

// received is the answer that a client has got. Its status is 0 if no whole answer has arrived.
type received struct {
	status    int
	signature string
	body      string
	// retryAfter is when the client should send the request again, or 0.
	retryAfter time.Duration
	err        error
}

// client sends requests to the request address of a machine.
type client struct {
	http    http.Client
	machine *machine
}

func newClient(m *machine) *client {
	return &client{
		machine: m,
		http: http.Client{
			Timeout:   requestTimeout + time.Second,
			Transport: &http.Transport{},
		},
	}
}

func (c *client) send(sent sending) received {
	request, err := http.NewRequest(sent.method, "http://"+net.JoinHostPort(c.machine.ip, requestPort)+sent.path, strings.NewReader(sent.body))
	if err != nil {
		return received{
			err: err,
		}
	}
	request.Host = "one.example"
	request.GetBody = nil
	request.Header.Set("Request-Id", sent.id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(requestTimeout.Milliseconds()))
	if sent.key != "" {
		request.Header.Set("Authorization", "Bearer "+sent.key)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return received{
			err: err,
		}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return received{
			err: err,
		}
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return received{
		status:     response.StatusCode,
		signature:  response.Header.Get("Response-Signature"),
		body:       string(body),
		retryAfter: time.Duration(seconds * float64(time.Second)),
	}
}

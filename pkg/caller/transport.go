package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

const (
	// dialTimeout bounds the wait for an address that does not answer. It is much
	// longer than a round trip within a region, which is about 10 ms from a client.
	dialTimeout = time.Second
	// idleTimeout is shorter than the minute after which nodes close idle
	// connections. Requests therefore seldom use a connection that is being closed.
	idleTimeout = 45 * time.Second
	// defaultBodyBytes is the default of the nodes' max-body-bytes setting.
	defaultBodyBytes = 4 << 20
)

// newHTTPClient returns a client that neither follows redirects nor decompresses
// bodies. Answers are returned as the backend server sent them.
func newHTTPClient(connections int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         newDial(),
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// message is one HTTP request to a node.
type message struct {
	address string
	method  string
	path    string
	header  http.Header
	body    []byte
	// bodyLimit bounds the body of the answer in bytes.
	bodyLimit int64
}

// exchange sends a message once and reads the complete answer.
func exchange(ctx context.Context, client *http.Client, sent message) (*Response, *Refusal) {
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			connected.Store(true)
			if conn, ok := info.Conn.(*connection); ok {
				conn.beginRequest()
			}
		},
	})
	request, err := newHTTPRequest(traced, sent)
	if err != nil {
		return nil, newMalformedRefusal(err.Error())
	}
	answer, err := client.Do(request)
	if err != nil && !connected.Load() {
		return nil, newNotSentRefusal(errors.Wrapf(err, "caller: connect to %s", sent.address))
	}
	if err != nil {
		return nil, &Refusal{
			Outcome: lagoonbarrow.OutcomeUnknown,
			Err:     errors.Wrapf(err, "caller: send request to %s", sent.address),
		}
	}
	defer func() {
		_ = answer.Body.Close()
	}()
	if !lagoonbarrow.IsFinalStatus(answer.StatusCode) {
		// The connection of an answer without a body is already kept for the next request.
		defer client.CloseIdleConnections()
		return nil, &Refusal{
			Outcome: lagoonbarrow.OutcomeUnknown,
			Err:     errors.Errorf("caller: answer of %s with status %d", sent.address, answer.StatusCode),
		}
	}
	return readAnswer(answer, sent.bodyLimit)
}

// newNotSentRefusal refuses a request that reached no node.
func newNotSentRefusal(err error) *Refusal {
	return &Refusal{
		Outcome: lagoonbarrow.OutcomeNotRun,
		Reason:  lagoonbarrow.ReasonUnreachable,
		Err:     err,
	}
}

// newMalformedRefusal refuses a request that can't be encoded as HTTP.
func newMalformedRefusal(text string) *Refusal {
	return &Refusal{
		Status:  statusBadRequest,
		Outcome: lagoonbarrow.OutcomeNotRun,
		Text:    text,
	}
}

func newHTTPRequest(ctx context.Context, sent message) (*http.Request, error) {
	if !strings.HasPrefix(sent.path, "/") {
		return nil, errors.Errorf("the path %q does not start with '/'", sent.path)
	}
	// net/http re-sends a request on its own if a reused connection was closed,
	// unless the body can't be rewound. Nodes would count that re-send, but this
	// package would not. Even an empty body is therefore one that can't be rewound.
	body := io.NopCloser(onlyReader{
		Reader: bytes.NewReader(sent.body),
	})
	request, err := http.NewRequestWithContext(ctx, sent.method, "http://"+sent.address+sent.path, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(sent.body))
	request.Header = sent.header
	return request, nil
}

// onlyReader hides all methods of a reader except Read.
type onlyReader struct {
	io.Reader
}

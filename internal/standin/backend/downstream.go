package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// answerBytes bounds a downstream answer's body.
const answerBytes = 64 << 20

// newDownstreamClient returns a client for calls to the node.
func newDownstreamClient(connections int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConns:        connections,
			MaxIdleConnsPerHost: connections,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// callDownstream calls all downstream services and returns their results.
func (s *Server) callDownstream(ctx context.Context, r *http.Request, content []byte) ([]Downstream, error) {
	services := s.config.Downstream
	if len(services) == 0 {
		return nil, nil
	}
	results := make([]Downstream, len(services))
	if s.config.Parallel {
		var calls sync.WaitGroup
		for i := range services {
			calls.Go(func() {
				results[i] = s.callWithRetries(ctx, i, r, content)
			})
		}
		calls.Wait()
	} else {
		for i := range services {
			results[i] = s.callWithRetries(ctx, i, r, content)
		}
	}
	if err := ctx.Err(); err != nil {
		return results, err
	}
	for _, result := range results {
		if result.Status != http.StatusOK {
			return results, errDownstream
		}
	}
	return results, nil
}

// callWithRetries makes the downstream call at a position of the list with the
// application's own retries.
func (s *Server) callWithRetries(ctx context.Context, position int, r *http.Request, content []byte) Downstream {
	var result Downstream
	for try := 0; try <= s.config.Retries; try++ {
		if ctx.Err() != nil {
			return result
		}
		result = s.callOnce(ctx, position, r, content)
		if result.Status == http.StatusOK {
			return result
		}
	}
	return result
}

func (s *Server) callOnce(ctx context.Context, position int, r *http.Request, content []byte) Downstream {
	s.counts.downstreamCalls.Add(1)
	service := s.config.Downstream[position]
	result := Downstream{
		Service: service,
	}
	request, err := s.downstreamRequest(ctx, service, r, content)
	if err != nil {
		result.Error = err.Error()
		return result
	}
	if slices.Contains(s.config.Downstream[:position], service) {
		// The same call again is meant, and not a repeat of the first.
		request.Header.Set(lagoonbarrow.HeaderCallKey, strconv.Itoa(position))
	}
	response, err := s.client.Do(request)
	if err == nil {
		result.Status = response.StatusCode
		result.Outcome = response.Header.Get(lagoonbarrow.HeaderOutcome)
		_, err = io.Copy(io.Discard, io.LimitReader(response.Body, answerBytes))
		_ = response.Body.Close()
	}
	if err != nil {
		result.Status = 0
		result.Error = err.Error()
	}
	if result.Status != http.StatusOK {
		s.counts.downstreamFailures.Add(1)
	}
	return result
}

// downstreamRequest repeats the request for a downstream service, with the call id
// that the node needs to find the running call.
func (s *Server) downstreamRequest(ctx context.Context, service lagoonbarrow.ServiceName, r *http.Request, content []byte) (*http.Request, error) {
	node, _ := s.node.Load().(lagoonbarrow.Address)
	query := r.URL.Query()
	// The size is that of the outermost answer only.
	query.Del("size")
	target := &url.URL{
		Scheme:   "http",
		Host:     string(node),
		Path:     "/" + string(service) + "/" + strings.TrimPrefix(r.URL.Path, "/"),
		RawQuery: query.Encode(),
	}
	// net/http repeats a request on its own when a reused connection was closed,
	// unless the request has a body that can't be rewound. Such repeats would be
	// counted as the application's, so even an empty body is one of that kind.
	body := io.NopCloser(onlyReader{
		Reader: bytes.NewReader(content),
	})
	request, err := http.NewRequestWithContext(ctx, r.Method, target.String(), body)
	if err != nil {
		return nil, errors.Wrap(err, "backend: downstream request")
	}
	if len(content) > 0 {
		request.ContentLength = int64(len(content))
	}
	for _, name := range []string{lagoonbarrow.HeaderCall, lagoonbarrow.HeaderRequest, "Content-Type"} {
		if value := r.Header.Get(name); value != "" {
			request.Header.Set(name, value)
		}
	}
	return request, nil
}

// onlyReader hides all other methods of a reader.
type onlyReader struct {
	io.Reader
}

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

// maxAnswerBytes bounds a downstream answer's body.
const maxAnswerBytes = 64 << 20

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
func (s *Server) callDownstream(ctx context.Context, r *http.Request, content []byte) ([]DownstreamResult, error) {
	services := s.config.Downstream
	if len(services) == 0 {
		return nil, nil
	}
	results := make([]DownstreamResult, len(services))
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

// callWithRetries calls the service at index of Config.Downstream and retries on
// failure, as an application with its own retries does.
func (s *Server) callWithRetries(ctx context.Context, index int, r *http.Request, content []byte) DownstreamResult {
	var result DownstreamResult
	for attempt := 0; attempt <= s.config.Retries; attempt++ {
		if ctx.Err() != nil {
			return result
		}
		result = s.callOnce(ctx, index, r, content)
		if result.Status == http.StatusOK {
			return result
		}
	}
	return result
}

func (s *Server) callOnce(ctx context.Context, index int, r *http.Request, content []byte) DownstreamResult {
	s.counts.downstreamCalls.Add(1)
	service := s.config.Downstream[index]
	result := DownstreamResult{
		Service: service,
	}
	request, err := s.downstreamRequest(ctx, service, r, content)
	if err != nil {
		result.Error = err.Error()
		return result
	}
	if slices.Contains(s.config.Downstream[:index], service) {
		// Without a call key the node would treat the second call to a service as a
		// retry of the first.
		request.Header.Set(lagoonbarrow.HeaderCallKey, strconv.Itoa(index))
	}
	response, err := s.client.Do(request)
	if err == nil {
		result.Status = response.StatusCode
		result.Outcome = response.Header.Get(lagoonbarrow.HeaderOutcome)
		_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswerBytes))
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

// downstreamRequest copies the request for a downstream service. The node finds
// the running call by its call ID.
func (s *Server) downstreamRequest(ctx context.Context, service lagoonbarrow.ServiceName, r *http.Request, content []byte) (*http.Request, error) {
	node, _ := s.node.Load().(lagoonbarrow.Address)
	query := r.URL.Query()
	// Only the outermost answer is padded.
	query.Del("size")
	target := &url.URL{
		Scheme:   "http",
		Host:     string(node),
		Path:     "/" + string(service) + "/" + strings.TrimPrefix(r.URL.Path, "/"),
		RawQuery: query.Encode(),
	}
	// net/http retries a request on a closed idle connection unless its body can't be
	// rewound. Such retries would be counted as the application's, so even an empty
	// body is sent as one that can't be rewound.
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

// onlyReader hides all methods of a reader except Read.
type onlyReader struct {
	io.Reader
}

package platform

import (
	"encoding/json"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"lagoonbarrow"
)

// batchRequest is the body of POST /v1/batch.
type batchRequest struct {
	Atomic bool                 `json:"atomic"`
	Writes []lagoonbarrow.Write `json:"writes"`
}

// batchResponse is the body of the response to POST /v1/batch. The status is 409 if an
// atomic batch had a conflict and nothing was written.
type batchResponse struct {
	Results []Result `json:"results"`
}

// scanResponse is the body of the response to a scan.
type scanResponse struct {
	Rows []lagoonbarrow.Row `json:"rows"`
}

// errorResponse is the body of an error response.
type errorResponse struct {
	Error string `json:"error"`
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.counters.bytesIn.Add(uint64(len(ctx.Request.Body())))
	parts, ok := splitPath(string(ctx.URI().PathOriginal()))
	if !ok {
		writeError(ctx, fasthttp.StatusNotFound, "no such path")
		return
	}
	switch {
	case len(parts) == 1 && parts[0] == "faults":
		s.handleFaults(ctx)
	case len(parts) == 1 && parts[0] == "stats":
		writeJSON(ctx, fasthttp.StatusOK, s.Stats())
	case len(parts) == 1 && parts[0] == "batch":
		s.handleBatch(ctx)
	case len(parts) == 3 && parts[0] == "tables" && parts[2] == "rows":
		s.handleScan(ctx, parts[1])
	case len(parts) == 4 && parts[0] == "tables" && parts[2] == "rows":
		s.handleGet(ctx, parts[1], parts[3])
	case len(parts) == 2 && parts[0] == "objects":
		s.handleObject(ctx, parts[1])
	default:
		writeError(ctx, fasthttp.StatusNotFound, "no such path")
	}
	s.counters.bytesOut.Add(uint64(len(ctx.Response.Body())))
}

// splitPath returns the unescaped parts of a path below /v1/.
func splitPath(path string) ([]string, bool) {
	rest, found := strings.CutPrefix(path, "/v1/")
	if !found {
		return nil, false
	}
	parts := strings.Split(rest, "/")
	for i, part := range parts {
		unescaped, err := url.PathUnescape(part)
		if err != nil || !validName(unescaped) {
			return nil, false
		}
		parts[i] = unescaped
	}
	return parts, true
}

func validName(name string) bool {
	return name != "" && len(name) <= maxKeyBytes
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		ctx.Error("encode: "+err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}

func writeError(ctx *fasthttp.RequestCtx, status int, reason string) {
	writeJSON(ctx, status, errorResponse{
		Error: reason,
	})
}

func (s *Server) handleFaults(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		faults, _ := s.injector.get()
		writeJSON(ctx, fasthttp.StatusOK, faults)
		return
	}
	var faults Faults
	if err := json.Unmarshal(ctx.PostBody(), &faults); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if faults.Down != "" && faults.Down != DownRefuse && faults.Down != DownHang {
		writeError(ctx, fasthttp.StatusBadRequest, `down must be "", "refuse" or "hang"`)
		return
	}
	s.injector.set(faults)
	s.config.Logger.Info("faults changed", "faults", faults)
	writeJSON(ctx, fasthttp.StatusOK, faults)
}

// admitRead applies the faults and the limit to a read request. It returns false if
// it has rejected the request.
func (s *Server) admitRead(ctx *fasthttp.RequestCtx) bool {
	return s.admit(ctx, s.reads, 1)
}

// admit applies the faults and the limit to a request. It returns false if it has
// rejected the request.
func (s *Server) admit(ctx *fasthttp.RequestCtx, limit *limiter, tokens int) bool {
	if s.injector.waitOutage() {
		s.counters.refused.Add(1)
		writeError(ctx, fasthttp.StatusServiceUnavailable, "unavailable")
		return false
	}
	faults, _ := s.injector.get()
	s.injector.sleep(time.Duration(faults.Slow))
	if !limit.allow(tokens) {
		s.counters.refused.Add(1)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
		writeError(ctx, fasthttp.StatusTooManyRequests, "request limit reached")
		return false
	}
	return true
}

// maybeDropResponse closes the connection without a response with the given probability.
func (s *Server) maybeDropResponse(ctx *fasthttp.RequestCtx, probability float64) {
	if !s.injector.chance(probability) {
		return
	}
	s.counters.lostAnswers.Add(1)
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {
		// fasthttp closes the connection when the handler returns.
	})
}

func (s *Server) maybeDropReadResponse(ctx *fasthttp.RequestCtx) {
	faults, _ := s.injector.get()
	s.maybeDropResponse(ctx, faults.LoseReads)
}

func (s *Server) maybeDropWriteResponse(ctx *fasthttp.RequestCtx) {
	faults, _ := s.injector.get()
	s.maybeDropResponse(ctx, faults.LoseAnswers)
}

func (s *Server) handleGet(ctx *fasthttp.RequestCtx, table, key string) {
	if !ctx.IsGet() {
		writeError(ctx, fasthttp.StatusMethodNotAllowed, "rows are written by POST /v1/batch")
		return
	}
	if !s.admitRead(ctx) {
		return
	}
	s.counters.reads.Add(1)
	row, found := s.store.get(table, key)
	if found {
		writeJSON(ctx, fasthttp.StatusOK, row)
	} else {
		writeError(ctx, fasthttp.StatusNotFound, "no such row")
	}
	s.maybeDropReadResponse(ctx)
}

func (s *Server) handleScan(ctx *fasthttp.RequestCtx, table string) {
	if !ctx.IsGet() {
		writeError(ctx, fasthttp.StatusMethodNotAllowed, "rows are written by POST /v1/batch")
		return
	}
	limit, err := scanLimit(string(ctx.QueryArgs().Peek("limit")))
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "limit must be a number above 0")
		return
	}
	if !s.admitRead(ctx) {
		return
	}
	s.counters.reads.Add(1)
	after := string(ctx.QueryArgs().Peek("after"))
	writeJSON(ctx, fasthttp.StatusOK, scanResponse{
		Rows: s.store.scan(table, after, limit),
	})
	s.maybeDropReadResponse(ctx)
}

func scanLimit(text string) (int, error) {
	if text == "" {
		return maxScanRows, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit <= 0 {
		return 0, lagoonbarrow.ErrInvalid
	}
	return min(limit, maxScanRows), nil
}

func (s *Server) handleBatch(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		writeError(ctx, fasthttp.StatusMethodNotAllowed, "use POST")
		return
	}
	var request batchRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if reason := validateBatch(request); reason != "" {
		writeError(ctx, fasthttp.StatusBadRequest, reason)
		return
	}
	if !s.admit(ctx, s.writes, len(request.Writes)) {
		return
	}
	s.counters.batches.Add(1)
	s.injector.delayWrite()
	status := fasthttp.StatusOK
	results := s.apply(request, &status)
	s.countResults(results)
	writeJSON(ctx, status, batchResponse{
		Results: results,
	})
	s.maybeDropWriteResponse(ctx)
}

// apply writes the batch. It sets the status if an atomic batch had a conflict.
func (s *Server) apply(request batchRequest, status *int) []Result {
	if !request.Atomic {
		return s.store.writeEach(request.Writes)
	}
	results, applied := s.store.writeAll(request.Writes)
	if !applied {
		*status = fasthttp.StatusConflict
	}
	return results
}

// countResults adds the results of a batch to the counters.
func (s *Server) countResults(results []Result) {
	for _, result := range results {
		switch result.Outcome {
		case OutcomeWritten:
			s.counters.writes.Add(1)
		case OutcomeConflict:
			s.counters.conflicts.Add(1)
		}
	}
}

// validateBatch returns the reason why a batch is invalid, or an empty string.
func validateBatch(request batchRequest) string {
	if len(request.Writes) == 0 || len(request.Writes) > maxBatchWrites {
		return "a batch holds 1 to " + strconv.Itoa(maxBatchWrites) + " writes"
	}
	type rowKey struct {
		table string
		key   string
	}
	written := map[rowKey]bool{}
	for _, write := range request.Writes {
		if !validName(write.Table) || !validName(write.Key) {
			return "table and key must not be empty or too long"
		}
		key := rowKey{
			table: write.Table,
			key:   write.Key,
		}
		if request.Atomic && written[key] {
			return "an atomic batch writes a row once"
		}
		written[key] = true
	}
	return ""
}

func (s *Server) handleObject(ctx *fasthttp.RequestCtx, name string) {
	switch {
	case ctx.IsGet():
		s.handleGetObject(ctx, name)
	case ctx.IsPut():
		s.handlePutObject(ctx, name)
	default:
		writeError(ctx, fasthttp.StatusMethodNotAllowed, "use GET or PUT")
	}
}

func (s *Server) handleGetObject(ctx *fasthttp.RequestCtx, name string) {
	if !s.admitRead(ctx) {
		return
	}
	s.counters.reads.Add(1)
	found, ok := s.store.getObject(name)
	if ok {
		ctx.Response.Header.Set(fasthttp.HeaderETag, found.etag)
		ctx.SetContentType("application/octet-stream")
		ctx.SetBody(found.body)
	} else {
		writeError(ctx, fasthttp.StatusNotFound, "no such object")
	}
	s.maybeDropReadResponse(ctx)
}

// handlePutObject writes an object. The request must have either If-Match, or
// If-None-Match: * for an object that must not exist.
func (s *Server) handlePutObject(ctx *fasthttp.RequestCtx, name string) {
	expected := string(ctx.Request.Header.Peek(fasthttp.HeaderIfMatch))
	mustNotExist := string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) == "*"
	if mustNotExist == (expected != "") {
		writeError(ctx, fasthttp.StatusBadRequest, "If-Match or If-None-Match: * is required")
		return
	}
	body := append([]byte(nil), ctx.PostBody()...)
	if !s.admit(ctx, s.writes, 1) {
		return
	}
	s.injector.delayWrite()
	etag, written := s.store.putObject(name, expected, body)
	ctx.Response.Header.Set(fasthttp.HeaderETag, etag)
	if written {
		s.counters.writes.Add(1)
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	} else {
		s.counters.conflicts.Add(1)
		writeError(ctx, fasthttp.StatusPreconditionFailed, "the object has another ETag")
	}
	s.maybeDropWriteResponse(ctx)
}

package admin

import (
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// Limits of the number of events in one answer.
const (
	defaultEventLimit = 1000
	maxEventLimit     = 10000
)

// memberView is an instance with its state as text.
type memberView struct {
	lagoonbarrow.Instance
	State string `json:"state"`
}

func (s *Server) getHealth(ctx *fasthttp.RequestCtx, _ []string) {
	writeCheck(ctx, s.config.Healthy)
}

func (s *Server) getReady(ctx *fasthttp.RequestCtx, _ []string) {
	writeCheck(ctx, s.config.Ready)
}

func writeCheck(ctx *fasthttp.RequestCtx, check func() error) {
	if check == nil {
		writeJSON(ctx, fasthttp.StatusOK, map[string]string{"status": "ok"})
		return
	}
	if err := check(); err != nil {
		writeError(ctx, fasthttp.StatusServiceUnavailable, err.Error())
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, map[string]string{"status": "ok"})
}

func (s *Server) getMetrics(ctx *fasthttp.RequestCtx, _ []string) {
	if s.config.Metrics == nil {
		writeError(ctx, fasthttp.StatusNotFound, "no metrics")
		return
	}
	s.config.Metrics(ctx)
}

func (s *Server) getStatus(ctx *fasthttp.RequestCtx, _ []string) {
	if s.config.Status == nil {
		writeError(ctx, fasthttp.StatusNotFound, "no status")
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, s.config.Status())
}

func (s *Server) getMembers(ctx *fasthttp.RequestCtx, _ []string) {
	live := s.config.Roster.Live()
	members := make([]memberView, 0, len(live))
	for _, instance := range live {
		members = append(members, memberView{
			Instance: instance,
			State:    instance.State.String(),
		})
	}
	writeJSON(ctx, fasthttp.StatusOK, members)
}

func (s *Server) getEvents(ctx *fasthttp.RequestCtx, _ []string) {
	filter, err := parseFilter(ctx.QueryArgs(), time.Now())
	if err != nil {
		writeFailure(ctx, err)
		return
	}
	events := []event.Event{}
	if s.config.Events != nil {
		events = append(events, s.config.Events(filter)...)
	}
	if len(events) > filter.Limit {
		events = events[len(events)-filter.Limit:]
	}
	writeJSON(ctx, fasthttp.StatusOK, events)
}

func parseFilter(arguments *fasthttp.Args, now time.Time) (EventFilter, error) {
	filter := EventFilter{
		Request:  lagoonbarrow.RequestID(arguments.Peek("request")),
		Customer: lagoonbarrow.CustomerID(arguments.Peek("customer")),
		Limit:    defaultEventLimit,
	}
	version, err := parseNumber(string(arguments.Peek("contract-version")))
	if err != nil {
		return filter, errors.Wrap(lagoonbarrow.ErrInvalid, "admin: contract-version is not a number")
	}
	filter.ContractVersion = lagoonbarrow.ContractVersion(version)
	filter.Since, err = parseSince(string(arguments.Peek("since")), now)
	if err != nil {
		return filter, errors.Wrap(lagoonbarrow.ErrInvalid, "admin: since is neither a duration nor an RFC 3339 time")
	}
	limit, err := parseNumber(string(arguments.Peek("limit")))
	if err != nil {
		return filter, errors.Wrap(lagoonbarrow.ErrInvalid, "admin: limit is not a number")
	}
	if limit > 0 {
		filter.Limit = int(min(limit, maxEventLimit))
	}
	return filter, nil
}

// parseSince parses an RFC 3339 time, or a duration before now.
func parseSince(text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if ago, err := time.ParseDuration(text); err == nil {
		return now.Add(-ago), nil
	}
	return time.Parse(time.RFC3339Nano, text)
}

// parseNumber parses an optional number. An empty text is 0.
func parseNumber(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

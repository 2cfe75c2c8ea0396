package admin

import (
	"net/url"
	"strings"

	"github.com/valyala/fasthttp"
)

// access is a level of permission. Each level includes the lower ones.
type access int

const (
	accessNone access = iota
	accessRead
	accessChange
)

// route is a path pattern with a handler for each method. A segment "*" matches any
// non-empty segment, which becomes a parameter.
type route struct {
	pattern  []string
	handlers map[string]handler
}

type serveFunc func(ctx *fasthttp.RequestCtx, parameters []string)

type handler struct {
	access access
	serve  serveFunc
}

func public(serve serveFunc) handler {
	return handler{
		access: accessNone,
		serve:  serve,
	}
}

func requireRead(serve serveFunc) handler {
	return handler{
		access: accessRead,
		serve:  serve,
	}
}

func requireChange(serve serveFunc) handler {
	return handler{
		access: accessChange,
		serve:  serve,
	}
}

func (s *Server) routes() []route {
	return []route{
		{
			pattern: []string{"healthz"},
			handlers: map[string]handler{
				"GET": public(s.getHealth),
			},
		},
		{
			pattern: []string{"readyz"},
			handlers: map[string]handler{
				"GET": public(s.getReady),
			},
		},
		{
			pattern: []string{"metrics"},
			handlers: map[string]handler{
				"GET": public(s.getMetrics),
			},
		},
		{
			pattern: []string{"v1", "contracts"},
			handlers: map[string]handler{
				"GET": requireRead(s.listContracts),
			},
		},
		{
			pattern: []string{"v1", "contracts", "*"},
			handlers: map[string]handler{
				"GET":    requireRead(s.getContract),
				"PUT":    requireChange(s.putContract),
				"DELETE": requireChange(s.deleteContract),
			},
		},
		{
			pattern: []string{"v1", "contracts", "*", "rollout"},
			handlers: map[string]handler{
				"GET": requireRead(s.getRollout),
			},
		},
		{
			pattern: []string{"v1", "status"},
			handlers: map[string]handler{
				"GET": requireRead(s.getStatus),
			},
		},
		{
			pattern: []string{"v1", "members"},
			handlers: map[string]handler{
				"GET": requireRead(s.getMembers),
			},
		},
		{
			pattern: []string{"v1", "events"},
			handlers: map[string]handler{
				"GET": requireRead(s.getEvents),
			},
		},
		{
			pattern: []string{"v1", "claims", "*", "*"},
			handlers: map[string]handler{
				"GET":  requireRead(s.getClaim),
				"POST": requireChange(s.settleClaim),
			},
		},
	}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	segments, valid := pathSegments(string(ctx.URI().PathOriginal()))
	if !valid {
		writeError(ctx, fasthttp.StatusBadRequest, "malformed path")
		return
	}
	for _, candidate := range s.routeTable {
		parameters, matches := match(candidate.pattern, segments)
		if !matches {
			continue
		}
		s.dispatch(ctx, candidate, parameters)
		return
	}
	writeError(ctx, fasthttp.StatusNotFound, "no such resource")
}

func (s *Server) dispatch(ctx *fasthttp.RequestCtx, matched route, parameters []string) {
	handler, found := matched.handlers[string(ctx.Method())]
	if !found {
		writeError(ctx, fasthttp.StatusMethodNotAllowed, "method not allowed")
		return
	}
	if !s.authorize(ctx, handler.access) {
		return
	}
	handler.serve(ctx, parameters)
}

// pathSegments splits the path before it unescapes the segments, so that a claim key
// may contain an escaped slash.
func pathSegments(path string) ([]string, bool) {
	segments := strings.Split(strings.Trim(path, "/"), "/")
	for index, segment := range segments {
		plain, err := url.PathUnescape(segment)
		if err != nil {
			return nil, false
		}
		segments[index] = plain
	}
	return segments, true
}

// match reports whether the segments match a pattern, and returns the parameters.
func match(pattern, segments []string) ([]string, bool) {
	if len(pattern) != len(segments) {
		return nil, false
	}
	var parameters []string
	for index, part := range pattern {
		switch {
		case part == "*" && segments[index] != "":
			parameters = append(parameters, segments[index])
		case part != segments[index]:
			return nil, false
		}
	}
	return parameters, true
}

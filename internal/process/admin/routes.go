package admin

import (
	"net/url"
	"strings"

	"github.com/valyala/fasthttp"
)

// access is what a request needs to be allowed to do.
type access int

const (
	accessOpen access = iota
	accessRead
	accessChange
)

// route is one path pattern. A segment "*" matches any one segment.
type route struct {
	pattern  []string
	handlers map[string]handler
}

type serveFunc func(ctx *fasthttp.RequestCtx, parameters []string)

type handler struct {
	access access
	serve  serveFunc
}

func open(serve serveFunc) handler {
	return handler{
		access: accessOpen,
		serve:  serve,
	}
}

func read(serve serveFunc) handler {
	return handler{
		access: accessRead,
		serve:  serve,
	}
}

func change(serve serveFunc) handler {
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
				"GET": open(s.getHealth),
			},
		},
		{
			pattern: []string{"readyz"},
			handlers: map[string]handler{
				"GET": open(s.getReady),
			},
		},
		{
			pattern: []string{"metrics"},
			handlers: map[string]handler{
				"GET": open(s.getMetrics),
			},
		},
		{
			pattern: []string{"v1", "contracts"},
			handlers: map[string]handler{
				"GET": read(s.listContracts),
			},
		},
		{
			pattern: []string{"v1", "contracts", "*"},
			handlers: map[string]handler{
				"GET":    read(s.getContract),
				"PUT":    change(s.putContract),
				"DELETE": change(s.deleteContract),
			},
		},
		{
			pattern: []string{"v1", "contracts", "*", "rollout"},
			handlers: map[string]handler{
				"GET": read(s.getRollout),
			},
		},
		{
			pattern: []string{"v1", "status"},
			handlers: map[string]handler{
				"GET": read(s.getStatus),
			},
		},
		{
			pattern: []string{"v1", "members"},
			handlers: map[string]handler{
				"GET": read(s.getMembers),
			},
		},
		{
			pattern: []string{"v1", "events"},
			handlers: map[string]handler{
				"GET": read(s.getEvents),
			},
		},
		{
			pattern: []string{"v1", "claims", "*", "*"},
			handlers: map[string]handler{
				"GET":  read(s.getClaim),
				"POST": change(s.settleClaim),
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
	for _, candidate := range s.table {
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

// pathSegments splits the path before it is unescaped, so that a claim key may
// hold an escaped slash.
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

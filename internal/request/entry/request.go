package entry

import (
	"net/url"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/header"
)

// forwardableHeaders copies the headers that may be forwarded. It also omits the
// headers in drop, which are lower-case names.
func forwardableHeaders(ctx *fasthttp.RequestCtx, drop ...string) []lagoonbarrow.HeaderField {
	// The Connection header lists further hop-by-hop headers.
	for _, line := range ctx.Request.Header.PeekAll(fasthttp.HeaderConnection) {
		for _, name := range strings.Split(string(line), ",") {
			drop = append(drop, strings.ToLower(strings.TrimSpace(name)))
		}
	}
	var fields []lagoonbarrow.HeaderField
	for name, value := range ctx.Request.Header.All() {
		lower := strings.ToLower(string(name))
		if header.IsHopByHop(lower) || header.IsInternal(lower) || slices.Contains(drop, lower) {
			continue
		}
		fields = append(fields, lagoonbarrow.HeaderField{
			Name:  string(name),
			Value: string(value),
		})
	}
	return fields
}

// pathWithQuery returns the request's path and query as they were sent.
func pathWithQuery(ctx *fasthttp.RequestCtx) string {
	return string(ctx.RequestURI())
}

// checkTarget rejects a request line that can't be forwarded to a backend server
// unchanged. The path must start with a slash, and a space or control character would
// end the method or the path in the forwarded line.
func checkTarget(ctx *fasthttp.RequestCtx) error {
	target := pathWithQuery(ctx)
	if !strings.HasPrefix(target, "/") {
		return errors.New("the path must start with '/'")
	}
	for _, text := range []string{string(ctx.Method()), target} {
		for i := range len(text) {
			if text[i] <= ' ' || text[i] == 0x7f {
				return errors.New("method and path may not hold spaces or control characters")
			}
		}
	}
	return nil
}

// checkPath rejects paths with dot segments, empty segments or a fragment. The class is
// matched by the normalized path, but the backend server receives the path as sent. If
// it resolves the path differently, it could run a request of an at-most-once class
// under the rules of another class.
func checkPath(ctx *fasthttp.RequestCtx) error {
	raw, _, _ := strings.Cut(pathWithQuery(ctx), "?")
	decoded, err := url.PathUnescape(raw)
	if err != nil || decoded != string(ctx.Path()) {
		return errors.New("the path may not hold '.' or '..' segments, empty segments, fragments or wrong escapes")
	}
	return nil
}

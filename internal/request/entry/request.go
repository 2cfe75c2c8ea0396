package entry

import (
	"net/url"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
)

// hopHeaders belong to one connection and are not passed on (RFC 9110, 7.6.1).
var hopHeaders = map[string]bool{
	"connection":          true,
	"keep-alive":          true,
	"proxy-authenticate":  true,
	"proxy-authorization": true,
	"proxy-connection":    true,
	"te":                  true,
	"trailer":             true,
	"transfer-encoding":   true,
	"upgrade":             true,
	"host":                true,
	"content-length":      true,
}

// passedHeader copies the headers that may be passed on. drop removes further
// ones by their lower-case names.
func passedHeader(request *fasthttp.RequestCtx, drop ...string) []lagoonbarrow.HeaderField {
	// Further headers of one connection are listed in Connection.
	for _, line := range request.Request.Header.PeekAll(fasthttp.HeaderConnection) {
		for _, name := range strings.Split(string(line), ",") {
			drop = append(drop, strings.ToLower(strings.TrimSpace(name)))
		}
	}
	var fields []lagoonbarrow.HeaderField
	for name, value := range request.Request.Header.All() {
		lower := strings.ToLower(string(name))
		if hopHeaders[lower] || internalHeader(lower) || slices.Contains(drop, lower) {
			continue
		}
		fields = append(fields, lagoonbarrow.HeaderField{
			Name:  string(name),
			Value: string(value),
		})
	}
	return fields
}

// internalHeader reports whether only nodes may set the header.
func internalHeader(lower string) bool {
	return strings.HasPrefix(lower, strings.ToLower(lagoonbarrow.HeaderPrefix))
}

// bodyCopy returns the body, which fasthttp reuses after the handler returns.
func bodyCopy(request *fasthttp.RequestCtx) []byte {
	body := request.Request.Body()
	if len(body) == 0 {
		return nil
	}
	return append([]byte(nil), body...)
}

// pathWithQuery returns the request's path and query as they were sent.
func pathWithQuery(request *fasthttp.RequestCtx) string {
	return string(request.RequestURI())
}

// checkTarget refuses a request line that can't be written towards a backend
// server as it came: its path must start with a slash, and a space or control
// character would end the path or the method there.
func checkTarget(request *fasthttp.RequestCtx) error {
	target := pathWithQuery(request)
	if !strings.HasPrefix(target, "/") {
		return errors.New("the path must start with '/'")
	}
	for _, text := range []string{string(request.Method()), target} {
		for position := range len(text) {
			if text[position] <= ' ' || text[position] == 0x7f {
				return errors.New("method and path may not hold spaces or control characters")
			}
		}
	}
	return nil
}

// checkPath refuses paths that the class is matched with in another form than
// the backend server gets: with dot segments, empty segments or a fragment. A
// backend server that resolves them in another way could run a request of an
// at-most-once class under the rules of another class.
func checkPath(request *fasthttp.RequestCtx) error {
	raw, _, _ := strings.Cut(pathWithQuery(request), "?")
	decoded, err := url.PathUnescape(raw)
	if err != nil || decoded != string(request.Path()) {
		return errors.New("the path may not hold '.' or '..' segments, empty segments, fragments or wrong escapes")
	}
	return nil
}

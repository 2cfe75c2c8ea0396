package entry

import (
	"strings"

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
	var fields []lagoonbarrow.HeaderField
	for name, value := range request.Request.Header.All() {
		lower := strings.ToLower(string(name))
		if hopHeaders[lower] || internalHeader(lower) || contains(drop, lower) {
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

func contains(names []string, name string) bool {
	for _, candidate := range names {
		if candidate == name {
			return true
		}
	}
	return false
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

package backend

import (
	"strings"

	"github.com/valyala/fasthttp"

	"lagoonbarrow"
)

// connectionHeader is the header that lists further hop-by-hop headers.
const connectionHeader = "connection"

// hopByHopHeaders are the headers of a single connection (RFC 9110, section 7.6.1),
// and those that are set again for each request.
var hopByHopHeaders = map[string]bool{
	connectionHeader:      true,
	"keep-alive":          true,
	"proxy-connection":    true,
	"proxy-authenticate":  true,
	"proxy-authorization": true,
	"te":                  true,
	"trailer":             true,
	"transfer-encoding":   true,
	"upgrade":             true,
	"content-length":      true,
	"host":                true,
	"expect":              true,
}

// forwardableHeaders returns the headers that may be forwarded. It drops hop-by-hop
// headers, those that the Connection header lists, and those of this project.
func forwardableHeaders(fields []lagoonbarrow.HeaderField) []lagoonbarrow.HeaderField {
	listed := map[string]bool{}
	for _, field := range fields {
		if strings.ToLower(field.Name) != connectionHeader {
			continue
		}
		for _, name := range strings.Split(field.Value, ",") {
			listed[strings.ToLower(strings.TrimSpace(name))] = true
		}
	}
	ownPrefix := strings.ToLower(lagoonbarrow.HeaderPrefix)
	var kept []lagoonbarrow.HeaderField
	for _, field := range fields {
		name := strings.ToLower(field.Name)
		if hopByHopHeaders[name] || listed[name] || strings.HasPrefix(name, ownPrefix) {
			continue
		}
		kept = append(kept, field)
	}
	return kept
}

// headerFields returns the headers of an answer.
func headerFields(header *fasthttp.ResponseHeader) []lagoonbarrow.HeaderField {
	var fields []lagoonbarrow.HeaderField
	for name, value := range header.All() {
		field := lagoonbarrow.HeaderField{
			Name:  string(name),
			Value: string(value),
		}
		fields = append(fields, field)
	}
	return fields
}

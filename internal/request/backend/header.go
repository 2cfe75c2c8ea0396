package backend

import (
	"strings"

	"github.com/valyala/fasthttp"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/header"
)

// connectionHeader is the header that lists further hop-by-hop headers.
const connectionHeader = "connection"

// expectHeader is set again for each request, where it is needed.
const expectHeader = "expect"

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
	var kept []lagoonbarrow.HeaderField
	for _, field := range fields {
		name := strings.ToLower(field.Name)
		if header.IsHopByHop(name) || header.IsInternal(name) || listed[name] || name == expectHeader {
			continue
		}
		kept = append(kept, field)
	}
	return kept
}

// headerFields returns the headers of an answer.
func headerFields(response *fasthttp.ResponseHeader) []lagoonbarrow.HeaderField {
	var fields []lagoonbarrow.HeaderField
	for name, value := range response.All() {
		field := lagoonbarrow.HeaderField{
			Name:  string(name),
			Value: string(value),
		}
		fields = append(fields, field)
	}
	return fields
}

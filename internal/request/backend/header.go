package backend

import (
	"strings"

	"github.com/valyala/fasthttp"

	"lagoonbarrow"
)

// connectionHeader lists further headers of one connection only.
const connectionHeader = "connection"

// hopByHop are the headers that concern one connection only (RFC 9110, section
// 7.6.1), and those that are written anew for each connection.
var hopByHop = map[string]bool{
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

// forwarded returns the headers that may be passed on: no hop-by-hop ones, none
// that the Connection header lists, and none of ours.
func forwarded(fields []lagoonbarrow.HeaderField) []lagoonbarrow.HeaderField {
	listed := map[string]bool{}
	for _, field := range fields {
		if strings.ToLower(field.Name) != connectionHeader {
			continue
		}
		for _, name := range strings.Split(field.Value, ",") {
			listed[strings.ToLower(strings.TrimSpace(name))] = true
		}
	}
	ours := strings.ToLower(lagoonbarrow.HeaderPrefix)
	var kept []lagoonbarrow.HeaderField
	for _, field := range fields {
		name := strings.ToLower(field.Name)
		if hopByHop[name] || listed[name] || strings.HasPrefix(name, ours) {
			continue
		}
		kept = append(kept, field)
	}
	return kept
}

// fieldsOf returns the headers of an answer.
func fieldsOf(header *fasthttp.ResponseHeader) []lagoonbarrow.HeaderField {
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

// Package header tells which HTTP headers are not forwarded.
package header

import (
	"strings"

	"lagoonbarrow"
)

// hopByHop are the headers of a single connection (RFC 9110, section 7.6.1), and those that are set
// again for each request, in lower case.
var hopByHop = map[string]bool{
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

// ownPrefix is the prefix of the headers that only nodes may set, in lower case.
var ownPrefix = strings.ToLower(lagoonbarrow.HeaderPrefix)

// IsHopByHop reports whether the header with this lower-case name concerns a single connection.
func IsHopByHop(lower string) bool {
	return hopByHop[lower]
}

// IsInternal reports whether only nodes may set the header with this lower-case name.
func IsInternal(lower string) bool {
	return strings.HasPrefix(lower, ownPrefix)
}

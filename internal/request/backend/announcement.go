package backend

import (
	"math"
	"strconv"

	"github.com/valyala/fasthttp"

	"lagoonbarrow"
)

// leavingValue marks the answers of a server that leaves.
const leavingValue = "1"

// announcement returns what a server says about itself in the head of an answer.
func announcement(header *fasthttp.ResponseHeader, names lagoonbarrow.ServerHeaders) *lagoonbarrow.Announcement {
	found := &lagoonbarrow.Announcement{
		Leaving: string(header.Peek(names.Leaving)) == leavingValue,
	}
	text := string(header.Peek(names.Limit))
	if text == "" {
		return found
	}
	limit, valid := parseLimit(text)
	found.Limited = valid
	found.Limit = limit
	found.Malformed = !valid
	return found
}

// parseLimit parses a decimal number without sign and exponent. Other programs than the
// servers may have written it.
func parseLimit(text string) (limit lagoonbarrow.RequestsPerSecond, valid bool) {
	for _, character := range text {
		if character != '.' && (character < '0' || character > '9') {
			return 0, false
		}
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsInf(number, 0) {
		return 0, false
	}
	return lagoonbarrow.RequestsPerSecond(number), true
}

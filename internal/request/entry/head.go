package entry

import (
	"bytes"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/responsehead"
)

// lengthChunked is fasthttp's content length of a body in chunks.
const lengthChunked = -1

// transferEncoding is the name of the field.
var transferEncoding = []byte(fasthttp.HeaderTransferEncoding)

// errIgnoredFraming is returned for a request with a Transfer-Encoding that fasthttp ignores. Where
// its body ends is not known (RFC 9112, section 6.3).
var errIgnoredFraming = errors.Wrap(lagoonbarrow.ErrInvalid, "entry: Transfer-Encoding that isn't chunked")

// errInvalidField is returned for a request with a field that has no valid name.
var errInvalidField = errors.Wrap(lagoonbarrow.ErrInvalid, "entry: invalid field name")

// checkHead checks the head of a request as it was received, because fasthttp drops the fields that it
// ignores. It returns errIgnoredFraming or errInvalidField.
func checkHead(header *fasthttp.RequestHeader) error {
	isChunked := header.ContentLength() == lengthChunked
	for line := range bytes.Lines(header.RawHeaders()) {
		if !hasName(line) {
			continue
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		if !isChunked && bytes.EqualFold(name, transferEncoding) {
			return errIgnoredFraming
		}
		if !responsehead.IsFieldName(string(name)) {
			return errInvalidField
		}
	}
	return nil
}

// hasName reports whether a line of a head begins a field. It doesn't if it is folded, or ends the head.
func hasName(line []byte) bool {
	return strings.IndexByte(" \t\r\n", line[0]) < 0
}

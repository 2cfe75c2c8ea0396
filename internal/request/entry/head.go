package entry

import (
	"bytes"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
)

// lengthChunked is fasthttp's content length of a body in chunks.
const lengthChunked = -1

// transferEncoding is the name of the field.
var transferEncoding = []byte(fasthttp.HeaderTransferEncoding)

// errIgnoredFraming is returned for a request with a Transfer-Encoding that fasthttp ignores. Where
// its body ends is not known (RFC 9112, section 6.3).
var errIgnoredFraming = errors.Wrap(lagoonbarrow.ErrInvalid, "entry: Transfer-Encoding that isn't chunked")

// checkHead checks the head of a request as it was received, because fasthttp drops the fields that it
// ignores. It returns errIgnoredFraming.
func checkHead(header *fasthttp.RequestHeader) error {
	isChunked := header.ContentLength() == lengthChunked
	for line := range bytes.Lines(header.RawHeaders()) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if !isChunked && bytes.EqualFold(name, transferEncoding) {
			return errIgnoredFraming
		}
	}
	return nil
}

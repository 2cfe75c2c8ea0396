// Package responsehead checks the status lines of HTTP responses before fasthttp reads them.
// fasthttp passes on any three digits, and its responses show status 000 as 200.
package responsehead

import (
	"bufio"
	"bytes"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

const (
	// maxBytes is the length after which a line is complete enough to have its status.
	maxBytes = 64
	// firstStatus is the lowest status. Interim responses have those up to 199.
	firstStatus = 100
	// switchingProtocols is answered to requests that this project doesn't make.
	switchingProtocols = 101
)

// ErrInvalidStatus is returned for a response whose status line has no status that HTTP allows.
var ErrInvalidStatus = errors.Wrap(lagoonbarrow.ErrInvalid, "responsehead: invalid status")

// Check returns ErrInvalidStatus if the next response or interim response of the reader has an
// invalid status. It consumes nothing.
func Check(reader *bufio.Reader) error {
	for size := 1; ; size = reader.Buffered() + 1 {
		if _, err := reader.Peek(size); err != nil {
			return err
		}
		buffered, err := reader.Peek(reader.Buffered())
		if err != nil {
			return err
		}
		line := bytes.TrimLeft(buffered, "\r\n")
		if end := bytes.IndexByte(line, '\n'); end >= 0 || len(line) >= maxBytes {
			_, err := parse(line)
			return err
		}
	}
}

// parse returns the status of a line, of which further bytes may follow.
func parse(line []byte) (int, error) {
	line, _, _ = bytes.Cut(line, []byte("\n"))
	_, rest, _ := bytes.Cut(bytes.TrimSuffix(line, []byte("\r")), []byte(" "))
	digits, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	status := 0
	for _, digit := range digits {
		if digit < '0' || digit > '9' || len(digits) != 3 {
			return 0, ErrInvalidStatus
		}
		status = 10*status + int(digit-'0')
	}
	if status < firstStatus || status >= lagoonbarrow.StatusEnd || status == switchingProtocols {
		return 0, ErrInvalidStatus
	}
	return status, nil
}

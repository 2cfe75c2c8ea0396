// Package responsehead checks the heads of HTTP responses before an HTTP library reads them. Such
// libraries are lenient, and a response that they read leniently isn't the one that was sent:
// fasthttp passes on any three digits as a status and shows 000 as 200, it trims or passes on
// blanks in the names of fields, and it takes an empty line with a bare line feed for the end of a
// head whose other lines end with CRLF. After another version than HTTP/1.1 it ignores
// Transfer-Encoding, as net/http does after HTTP/1.0, and the chunks become the body.
package responsehead

import (
	"bufio"
	"bytes"
	"strings"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

const (
	// maxStatusLineBytes is the length after which a status line is complete enough to have its
	// status.
	maxStatusLineBytes = 64
	// firstStatus is the lowest status. Interim responses have those up to 199.
	firstStatus = 100
	// version11 is the version in which this project's requests are made, and version10 the one in
	// which an older server responds to them.
	version11 = "HTTP/1.1"
	version10 = "HTTP/1.0"
	// transferEncoding is the name of the field that only version11 has, in lower case.
	transferEncoding = "transfer-encoding"
	// switchingProtocols is answered to requests that this project doesn't make.
	switchingProtocols = 101
)

var (
	// ErrInvalidStatus is returned for a response whose status line has no status that HTTP allows.
	ErrInvalidStatus = errors.Wrap(lagoonbarrow.ErrInvalid, "responsehead: invalid status")
	// ErrInvalidVersion is returned for a response whose status line has a status, but another version
	// than HTTP/1.1 or HTTP/1.0.
	ErrInvalidVersion = errors.Wrap(lagoonbarrow.ErrInvalid, "responsehead: invalid version")
	// ErrInvalidFraming is returned for a response of HTTP/1.0 with a Transfer-Encoding, which that
	// version doesn't have (RFC 9112, section 6.1).
	ErrInvalidFraming = errors.Wrap(lagoonbarrow.ErrInvalid, "responsehead: invalid framing")
	// ErrInvalidField is returned for a response with a field line that has no valid name, is folded,
	// or is an empty line that doesn't end like the lines before it.
	ErrInvalidField = errors.Wrap(lagoonbarrow.ErrInvalid, "responsehead: invalid field line")
)

// Check reads ahead to the end of the next head of the reader, which may be that of an interim
// response, and consumes nothing. It returns one of the errors above for an invalid head,
// bufio.ErrBufferFull for one that exceeds the reader's buffer, and otherwise the error of the reader
// if the head is incomplete.
func Check(reader *bufio.Reader) error {
	var s scanner
	for scanned := 0; ; {
		if _, err := reader.Peek(scanned + 1); err != nil {
			return err
		}
		buffered, err := reader.Peek(reader.Buffered())
		if err != nil {
			return err
		}
		for _, next := range buffered[scanned:] {
			if err := s.scan(next); err != nil {
				return err
			}
			if s.place == placeEnd {
				return nil
			}
		}
		scanned = len(buffered)
	}
}

// place is where in a head the next byte belongs.
type place int

const (
	// placeStatusLine is the status line, or an empty line before it.
	placeStatusLine place = iota
	placeLineStart
	placeName
	placeValue
	// placeLastFeed is behind a carriage return at the start of a line.
	placeLastFeed
	// placeEnd is behind the head.
	placeEnd
)

// scanner checks the bytes of one head. The zero value is at its start.
type scanner struct {
	place place
	// statusLine is the start of the status line.
	statusLine [maxStatusLineBytes]byte
	length     int
	// status is 0 until it has been read.
	status int
	// isVersion10 is set with the status for a response of HTTP/1.0.
	isVersion10 bool
	// name compares the name of the current field of such a response with transferEncoding.
	name nameMatch
	// previous is the last byte of the line so far.
	previous byte
	// hasCRLF is set once a line has ended with CRLF instead of a bare line feed.
	hasCRLF bool
}

// isFinal reports whether the head is that of a final response. Its status must have been read.
func (s *scanner) isFinal() bool {
	return s.status >= lagoonbarrow.StatusFirstFinal
}

// scan checks the next byte. It returns one of the errors above.
func (s *scanner) scan(next byte) error {
	switch s.place {
	case placeStatusLine:
		return s.scanStatusLine(next)
	case placeLineStart:
		return s.scanLineStart(next)
	case placeName:
		return s.scanName(next)
	case placeValue:
		s.scanValue(next)
	case placeLastFeed:
		if next != '\n' {
			return ErrInvalidField
		}
		s.place = placeEnd
	}
	return nil
}

func (s *scanner) scanStatusLine(next byte) error {
	if next == '\n' {
		return s.endStatusLine()
	}
	s.previous = next
	if s.length == maxStatusLineBytes {
		return nil
	}
	s.statusLine[s.length] = next
	s.length++
	if s.length < maxStatusLineBytes {
		return nil
	}
	return s.parseStatusLine()
}

// endStatusLine ends the status line, or an empty line before it, which fasthttp skips.
func (s *scanner) endStatusLine() error {
	line := bytes.TrimRight(s.statusLine[:s.length], "\r")
	if len(line) == 0 {
		s.length = 0
		return nil
	}
	s.endLine()
	return s.parseStatusLine()
}

func (s *scanner) parseStatusLine() error {
	if s.status != 0 {
		return nil
	}
	version, rest, _ := bytes.Cut(bytes.TrimRight(s.statusLine[:s.length], "\r"), []byte(" "))
	status, err := parseStatus(rest)
	if err != nil {
		return err
	}
	if string(version) != version11 && string(version) != version10 {
		return ErrInvalidVersion
	}
	s.status = status
	s.isVersion10 = string(version) == version10
	return nil
}

func (s *scanner) scanLineStart(next byte) error {
	switch {
	case next == '\r':
		s.place = placeLastFeed
	case next == '\n' && !s.hasCRLF:
		s.place = placeEnd
	case isNameByte(next):
		s.place = placeName
		s.name = nameMatch{}
		s.addToName(next)
	default:
		return ErrInvalidField
	}
	return nil
}

func (s *scanner) scanName(next byte) error {
	switch {
	case next == ':' && s.isVersion10 && s.name.isTransferEncoding():
		return ErrInvalidFraming
	case next == ':':
		s.place = placeValue
		s.previous = next
	case !isNameByte(next):
		return ErrInvalidField
	default:
		s.addToName(next)
	}
	return nil
}

// addToName adds a byte to the name of the current field, which matters for HTTP/1.0 only.
func (s *scanner) addToName(next byte) {
	if s.isVersion10 {
		s.name.add(next)
	}
}

// scanValue passes over a value. fasthttp refuses values with control bytes.
func (s *scanner) scanValue(next byte) {
	if next == '\n' {
		s.endLine()
		return
	}
	s.previous = next
}

func (s *scanner) endLine() {
	s.hasCRLF = s.hasCRLF || s.previous == '\r'
	s.place = placeLineStart
}

// IsFieldName reports whether a field may have the name (RFC 9110, section 5.6.2).
func IsFieldName(name string) bool {
	for i := range len(name) {
		if !isNameByte(name[i]) {
			return false
		}
	}
	return name != ""
}

// isNameByte reports whether the name of a field may contain a byte.
func isNameByte(b byte) bool {
	switch {
	case b >= '0' && b <= '9', b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z':
		return true
	default:
		return strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
	}
}

// nameMatch compares the name of a field, byte by byte, with transferEncoding. The zero value is at
// the start of the name.
type nameMatch struct {
	length   int
	mismatch bool
}

func (m *nameMatch) add(next byte) {
	if next >= 'A' && next <= 'Z' {
		next += 'a' - 'A'
	}
	m.mismatch = m.mismatch || m.length >= len(transferEncoding) || transferEncoding[m.length] != next
	m.length++
}

// isTransferEncoding reports whether all of the name has been added and matches.
func (m *nameMatch) isTransferEncoding() bool {
	return !m.mismatch && m.length == len(transferEncoding)
}

// parseStatus returns the status of the rest of a status line after its version. Further bytes of the
// line may follow.
func parseStatus(rest []byte) (int, error) {
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

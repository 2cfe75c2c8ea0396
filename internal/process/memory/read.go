package memory

import (
	"io"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// firstBufferBytes is the first size of the buffer of a body of unknown length.
const firstBufferBytes = 1 << 10

// ReadBody reads a body up to its end. length is its declared length, or negative if
// that is unknown. The buffer grows with the bytes received, because a large declared
// length alone must not take memory. It returns ErrTooLarge for a body over the limit
// or larger than the memory, and ErrShed for one that doesn't fit into the memory now.
func ReadBody(stream io.Reader, usage *Usage, length, limit int) ([]byte, error) {
	if length > min(limit, max(usage.maxBytes(), uncountedBytes)) {
		return nil, errors.Wrap(lagoonbarrow.ErrTooLarge, "memory: declared length of a body")
	}
	if length == 0 {
		return nil, nil
	}
	if usage.response && length > uncountedBytes {
		return readWhole(stream, usage, length)
	}
	expected := limit
	first := firstBufferBytes
	if length > 0 {
		expected = length
		first = min(length, uncountedBytes)
	}
	body := make([]byte, 0, first)
	for {
		// One byte more than the limit shows that a body exceeds it.
		if len(body) == cap(body) && len(body) <= expected {
			var err error
			body, err = grow(body, usage, expected+1, length > 0)
			if err != nil {
				return nil, err
			}
		}
		count, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		if len(body) > limit {
			return nil, errors.Wrap(lagoonbarrow.ErrTooLarge, "memory: body")
		}
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// readWhole reads the body of a response of a declared length. Its sender is a part of
// the deployment, so the memory is taken before the first byte is received. Responses that
// hold a part of their memory would otherwise wait for each other.
func readWhole(stream io.Reader, usage *Usage, length int) ([]byte, error) {
	if err := usage.Reserve(length); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(stream, body); err != nil {
		return nil, err
	}
	// Only reading up to the end shows that the body is as long as it was declared.
	extra, err := stream.Read(make([]byte, 1))
	if extra > 0 || !errors.Is(err, io.EOF) {
		return nil, errors.Wrap(lagoonbarrow.ErrInvalid, "memory: body differs from its declared length")
	}
	return body, nil
}

// lastGrowth is how much of a body of a declared length has to be received, as a divisor,
// before the memory of all of it is taken. Growing in small steps to the end would leave
// as much garbage as the body is long.
const lastGrowth = 4

// grow returns the body with twice its capacity, or with maxBytes if that is near.
func grow(body []byte, usage *Usage, maxBytes int, declared bool) ([]byte, error) {
	size := min(max(2*cap(body), firstBufferBytes), maxBytes)
	if declared && lastGrowth*cap(body) >= maxBytes {
		size = maxBytes
	}
	if cap(body) < usage.maxBytes() {
		// The last growth may be smaller than the others.
		size = min(size, max(usage.maxBytes(), uncountedBytes))
	}
	if err := usage.Resize(size); err != nil {
		return nil, err
	}
	return append(make([]byte, 0, size), body...), nil
}

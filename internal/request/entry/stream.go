package entry

import (
	"fmt"
	"io"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/memory"
	"lagoonbarrow/pkg/event"
)

// writeStepBytes is the size of the parts in which a long body is written. The progress of
// a client is known after each part.
const writeStepBytes = 64 << 10

// responseStream is the body of a response whose memory is counted until it is written.
// fasthttp closes it after that, or after an error.
type responseStream struct {
	// body is the part that has not been written.
	body     []byte
	size     int
	holder   *memory.Holder
	request  lagoonbarrow.RequestID
	class    lagoonbarrow.ClassName
	started  time.Time
	recorder lagoonbarrow.Recorder
	// onClose is called once.
	onClose func()
}

// WriteTo implements io.WriterTo, which fasthttp prefers over Read.
func (s *responseStream) WriteTo(out io.Writer) (written int64, err error) {
	for len(s.body) > 0 {
		count, err := out.Write(s.body[:min(writeStepBytes, len(s.body))])
		written += int64(count)
		s.body = s.body[count:]
		s.holder.Wrote(count)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Read implements io.Reader.
func (s *responseStream) Read(data []byte) (int, error) {
	if len(s.body) == 0 {
		return 0, io.EOF
	}
	count := copy(data, s.body)
	s.body = s.body[count:]
	s.holder.Wrote(count)
	return count, nil
}

// Close implements io.Closer.
func (s *responseStream) Close() error {
	if len(s.body) > 0 {
		s.recorder.Record(event.ResponseCutOff, event.Fields{
			Request: string(s.request),
			Class:   string(s.class),
			Detail: fmt.Sprintf("written=%d of=%d took=%s aborted=%t", s.size-len(s.body), s.size,
				time.Since(s.started).Round(time.Millisecond), s.holder.Aborted()),
		})
	}
	s.body = nil
	s.holder.Release()
	if s.onClose != nil {
		s.onClose()
		s.onClose = nil
	}
	return nil
}

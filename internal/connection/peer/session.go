package peer

import (
	"context"
	"io"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/memory"
)

// goingAwayTimeout bounds the write of going-away. The send buffer of an idle
// connection has room for it, unless the peer has stopped reading.
const goingAwayTimeout = 100 * time.Millisecond

// errFrameDuringCall is returned when the client sends anything during its call.
var errFrameDuringCall = errors.Wrap(lagoonbarrow.ErrInvalidFrame, "peer: frame while a call was running")

// session serves the calls or messages of one connection, one after the other.
type session struct {
	server     *Server
	connection *connection
	// nextFrame receives the result of waiting for the next frame.
	nextFrame chan error

	// mutex guards writes and the fields below. It is locked before the server's mutex.
	mutex         sync.Mutex
	running       bool
	goingAwaySent bool
}

func newSession(server *Server, c *connection) *session {
	return &session{
		server:     server,
		connection: c,
		nextFrame:  make(chan error, 1),
	}
}

// run serves until the connection ends. It returns nil if the client closed it or
// the drain timeout passed.
func (s *session) run() error {
	err := s.connection.reader.Wait()
	for {
		if err != nil {
			return s.ignoreExpectedClose(err)
		}
		if err := s.serveExchange(); err != nil {
			return err
		}
		err = <-s.nextFrame
	}
}

// ignoreExpectedClose returns nil for the usual ways in which an idle connection ends.
func (s *session) ignoreExpectedClose(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}

// serveExchange receives one call or message and answers it. After an error the
// connection can't be used any more.
func (s *session) serveExchange() error {
	c := s.connection
	_ = c.netConn.SetReadDeadline(time.Now().Add(s.server.config.TransferTimeout))
	p, err := c.read()
	if err != nil {
		return err
	}
	switch {
	case p.Call != nil && c.purpose == purposeCalls:
		return s.serveCall(p.Call, p.Announcement)
	case p.Message != nil && c.purpose == purposeControl:
		return s.serveMessage(p.Message)
	default:
		return errors.Wrap(lagoonbarrow.ErrInvalidFrame, "peer: unexpected frame")
	}
}

// reserve counts the bytes of a body that is about to be received, and returns how the
// body is kept.
func (s *session) reserve(total int) (keep keeping, release func()) {
	release = func() {}
	config := s.server.config
	if total > config.MaxBodyBytes {
		return drop, release
	}
	if config.Memory == nil || s.connection.purpose != purposeCalls {
		if !s.server.reserveBuffer(total) {
			return drop, release
		}
		return keepGrowing, sync.OnceFunc(func() { s.server.releaseBuffer(total) })
	}
	usage := config.Memory.Track(release)
	if usage.Reserve(total) != nil {
		return drop, release
	}
	// Cutting off the call would leave its outcome open for the caller.
	usage.Complete()
	return keepReserved, usage.Release
}

// receive reads the rest of the body of a call or message. buffered is false if the
// body was dropped, because it is over the limit or the server's buffers are full. The
// bytes of a buffered body stay reserved until release is called.
// It is read to its end even then, since closing the connection with unread bytes
// would lose the refusal.
func (s *session) receive(id string, inlined []byte, total int) (body []byte, buffered bool, release func(), err error) {
	release = func() {}
	if total < 0 {
		return nil, false, release, errors.Wrap(lagoonbarrow.ErrInvalidFrame, "peer: negative body length")
	}
	keep, release := s.reserve(total)
	body, err = s.connection.receiveBody(id, inlined, total, keep)
	return body, keep != drop, release, err
}

// watchConnection watches the connection while the handler runs. The returned
// context ends when the connection closes or the client sends anything.
func (s *session) watchConnection() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	s.connection.releaseBuffers()
	s.mutex.Lock()
	s.running = true
	_ = s.connection.netConn.SetReadDeadline(time.Time{})
	s.mutex.Unlock()
	go func() {
		err := s.connection.reader.Wait()
		if s.isRunning() {
			cancel()
			if err == nil {
				err = errFrameDuringCall
			}
		}
		s.nextFrame <- err
	}()
	return ctx, cancel
}

func (s *session) isRunning() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.running
}

// reply sends the answer of the running exchange. A stopping server sends going-away
// before it, and the client then closes the connection after the answer.
func (s *session) reply(head *packet, id string, body []byte) error {
	c := s.connection
	if s.server.config.Memory == nil {
		s.server.buffered.Add(int64(len(body)))
		defer s.server.releaseBuffer(len(body))
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running = false
	// sendGoingAway locks the same mutex. If it has skipped this connection as busy,
	// isStopping is already true. If it runs later, it finds the connection idle.
	stopping := s.server.isStopping()
	_ = c.netConn.SetWriteDeadline(time.Now().Add(s.server.config.TransferTimeout))
	if stopping && !s.goingAwaySent {
		if err := c.writer.Append(&packet{
			GoingAway: &goingAway{},
		}); err != nil {
			return err
		}
	}
	if stopping {
		s.startDrain()
	}
	return c.send(head, id, body)
}

// sendGoingAway requests that the client of an idle connection close it. On a busy
// connection, reply sends going-away before the answer.
func (s *session) sendGoingAway() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.running || s.goingAwaySent {
		return
	}
	_ = s.connection.netConn.SetWriteDeadline(time.Now().Add(goingAwayTimeout))
	if err := s.connection.writer.Write(&packet{
		GoingAway: &goingAway{},
	}); err != nil {
		s.connection.close()
		return
	}
	s.startDrain()
}

// startDrain bounds the wait for the client to close. The caller holds the mutex.
func (s *session) startDrain() {
	s.goingAwaySent = true
	_ = s.connection.netConn.SetReadDeadline(time.Now().Add(s.server.config.DrainTimeout))
}

func (s *session) serveCall(head *callHead, announced *lagoonbarrow.Announcement) error {
	call := head.Call
	call.Announcement = announced
	var (
		buffered bool
		release  func()
		err      error
	)
	call.Body, buffered, release, err = s.receive(string(call.ID), call.Body, head.BodyBytes)
	defer release()
	if err != nil {
		return err
	}
	ctx, cancel := s.watchConnection()
	defer cancel()
	if s.server.config.Memory != nil {
		var holder *memory.Holder
		ctx, holder = s.server.config.Memory.NewHolder(ctx)
		defer holder.Release()
	}
	result := s.runCallHandler(ctx, &call, buffered)
	// The answer may take long to write.
	call.Body = nil
	release()
	response := &answer{
		Answer:    *result,
		BodyBytes: len(result.Body),
	}
	response.Body = inlineBody(result.Body)
	err = s.reply(&packet{
		Answer:       response,
		Announcement: result.Announcement,
		SlotTime:     result.Load.SlotTime,
		Services:     result.Services,
	}, string(call.ID), result.Body)
	if errors.Is(err, lagoonbarrow.ErrTooLarge) {
		return s.reply(&packet{
			Answer:   unknownOutcome(&call, result),
			SlotTime: result.Load.SlotTime,
		}, string(call.ID), nil)
	}
	return err
}

// runCallHandler runs the call handler, or refuses the call if its body was dropped.
func (s *session) runCallHandler(ctx context.Context, call *lagoonbarrow.Call, buffered bool) *lagoonbarrow.Answer {
	if !buffered {
		s.server.config.Scope.Counter("calls-refused-for-memory").Inc(1)
		refusal := lagoonbarrow.NewRefusal(call.ID, lagoonbarrow.ReasonShed)
		refusal.TokensLeft = call.Tokens
		return refusal
	}
	result := s.handleCall(ctx, call)
	if result == nil || result.Call != call.ID {
		// The caller must never receive the answer to another call.
		return &unknownOutcome(call, &lagoonbarrow.Answer{}).Answer
	}
	return result
}

// handleCall calls the call handler. It returns nil if that panics.
func (s *session) handleCall(ctx context.Context, call *lagoonbarrow.Call) (result *lagoonbarrow.Answer) {
	defer func() {
		if failure := recover(); failure != nil {
			s.server.config.Panics.Report("call "+string(call.Request), failure)
			result = nil
		}
	}()
	return s.server.config.Calls.HandleCall(ctx, call)
}

// handleMessage calls the message handler. It returns ErrOutcomeUnknown if that panics.
func (s *session) handleMessage(ctx context.Context, handler lagoonbarrow.MessageHandler, received lagoonbarrow.Message) (result lagoonbarrow.Message, err error) {
	defer func() {
		if failure := recover(); failure != nil {
			s.server.config.Panics.Report("message "+received.Kind, failure)
			err = errors.Wrap(lagoonbarrow.ErrOutcomeUnknown, "peer: the message handler failed")
		}
	}()
	return handler.HandleMessage(ctx, s.connection.peer, received)
}

// unknownOutcome returns the answer that replaces one that can't be delivered. The
// call has run, so its outcome is unknown to the caller.
func unknownOutcome(call *lagoonbarrow.Call, result *lagoonbarrow.Answer) *answer {
	return &answer{
		Answer: lagoonbarrow.Answer{
			Call:       call.ID,
			Outcome:    lagoonbarrow.OutcomeUnknown,
			Reason:     lagoonbarrow.ReasonBackend,
			TokensLeft: result.TokensLeft,
			Threshold:  result.Threshold,
			Load:       result.Load,
		},
	}
}

func (s *session) serveMessage(head *message) error {
	body, buffered, release, err := s.receive(head.ID, head.Body, head.BodyBytes)
	defer release()
	if err != nil {
		return err
	}
	received := lagoonbarrow.Message{
		Kind: head.Kind,
		Body: body,
	}
	ctx, cancel := s.watchConnection()
	defer cancel()
	result, err := s.runMessageHandler(ctx, received, buffered)
	response := &reply{
		ID:        head.ID,
		Kind:      result.Kind,
		Body:      inlineBody(result.Body),
		BodyBytes: len(result.Body),
	}
	if err != nil {
		response.Error = err.Error()
	}
	return s.reply(&packet{
		Reply: response,
	}, head.ID, result.Body)
}

// runMessageHandler runs the handler for the kind of message.
func (s *session) runMessageHandler(ctx context.Context, received lagoonbarrow.Message, buffered bool) (lagoonbarrow.Message, error) {
	empty := lagoonbarrow.Message{}
	if !buffered {
		return empty, errors.Wrap(lagoonbarrow.ErrUnavailable, "peer: buffers are full")
	}
	handler, ok := s.server.config.Messages[received.Kind]
	if !ok {
		return empty, errors.Wrapf(lagoonbarrow.ErrNotFound, "peer: no handler for message %q", received.Kind)
	}
	result, err := s.handleMessage(ctx, handler, received)
	if err != nil {
		return empty, err
	}
	return result, nil
}

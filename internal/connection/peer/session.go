package peer

import (
	"context"
	"io"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// announceTimeout bounds writing going-away. An idle connection has room for it
// unless the peer is frozen.
const announceTimeout = 100 * time.Millisecond

// errEarly: the client sent something while its call was running.
var errEarly = errors.Wrap(lagoonbarrow.ErrFrame, "peer: frame while a call was running")

// session serves the exchanges on one connection, one after the other.
type session struct {
	server     *Server
	connection *connection
	// next receives the result of waiting for the next frame.
	next chan error

	// mutex guards writing and the fields below. It is taken before the server's.
	mutex     sync.Mutex
	running   bool
	announced bool
}

func newSession(server *Server, c *connection) *session {
	return &session{
		server:     server,
		connection: c,
		next:       make(chan error, 1),
	}
}

// run serves until the connection closes. It returns why.
func (s *session) run() error {
	err := s.connection.in.Wait()
	for {
		if err != nil {
			return s.ended(err)
		}
		if err := s.exchange(); err != nil {
			return err
		}
		err = <-s.next
	}
}

// ended replaces the ordinary ends of an idle connection by nil.
func (s *session) ended(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}

// exchange receives one call or message and answers it. It returns an error when
// the connection can't be used any more.
func (s *session) exchange() error {
	c := s.connection
	_ = c.raw.SetReadDeadline(time.Now().Add(s.server.config.TransferTimeout))
	p, err := c.read()
	if err != nil {
		return err
	}
	switch {
	case p.Call != nil && c.purpose == purposeCalls:
		return s.serveCall(p.Call)
	case p.Message != nil && c.purpose == purposeControl:
		return s.serveMessage(p.Message)
	default:
		return errors.Wrap(lagoonbarrow.ErrFrame, "peer: unexpected frame")
	}
}

// receive completes the body of a call or message. kept is false when the body is
// over the limit or the server's buffers are full. It is read to its end even
// then, since a close with unread bytes would lose the refusal.
func (s *session) receive(id string, start []byte, total int) (body []byte, kept bool, err error) {
	if total < 0 {
		return nil, false, errors.Wrap(lagoonbarrow.ErrFrame, "peer: negative body length")
	}
	kept = total <= s.server.config.MaxBodyBytes && s.server.reserve(total)
	if kept {
		defer s.server.unreserve(total)
	}
	body, err = s.connection.receiveBody(id, start, total, kept)
	return body, kept, err
}

// begin starts watching the connection while the handler runs. The returned
// context ends when the connection closes or the client sends anything.
func (s *session) begin() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	s.connection.release()
	s.mutex.Lock()
	s.running = true
	_ = s.connection.raw.SetReadDeadline(time.Time{})
	s.mutex.Unlock()
	go func() {
		err := s.connection.in.Wait()
		if s.isRunning() {
			cancel()
			if err == nil {
				err = errEarly
			}
		}
		s.next <- err
	}()
	return ctx, cancel
}

func (s *session) isRunning() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.running
}

// reply sends the answer of the running exchange. A stopping server's
// going-away goes first, so that the client closes after this answer.
func (s *session) reply(head *packet, id string, body []byte) error {
	c := s.connection
	s.server.buffered.Add(int64(len(body)))
	defer s.server.unreserve(len(body))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running = false
	// Asked under the mutex: announce either came before, when the server was
	// already stopping, or comes after and finds the connection idle.
	stopping := s.server.isStopping()
	_ = c.raw.SetWriteDeadline(time.Now().Add(s.server.config.TransferTimeout))
	if stopping && !s.announced {
		if err := c.out.Append(&packet{
			GoingAway: &goingAway{},
		}); err != nil {
			return err
		}
	}
	if stopping {
		s.drain()
	}
	return c.send(head, id, body)
}

// announce tells the client of an idle connection to close it. A busy one is told
// with its answer.
func (s *session) announce() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.running || s.announced {
		return
	}
	_ = s.connection.raw.SetWriteDeadline(time.Now().Add(announceTimeout))
	if err := s.connection.out.Write(&packet{
		GoingAway: &goingAway{},
	}); err != nil {
		s.connection.close()
		return
	}
	s.drain()
}

// drain bounds the wait for the client to close. The caller holds the mutex.
func (s *session) drain() {
	s.announced = true
	_ = s.connection.raw.SetReadDeadline(time.Now().Add(s.server.config.DrainTimeout))
}

func (s *session) serveCall(head *callHead) error {
	call := head.Call
	body, kept, err := s.receive(string(call.ID), call.Body, head.BodyBytes)
	if err != nil {
		return err
	}
	call.Body = body
	ctx, cancel := s.begin()
	defer cancel()
	result := s.handle(ctx, &call, kept)
	reply := &answer{
		Answer:    *result,
		BodyBytes: len(result.Body),
	}
	reply.Body = inline(result.Body)
	err = s.reply(&packet{
		Answer: reply,
	}, string(call.ID), result.Body)
	if errors.Is(err, lagoonbarrow.ErrTooLarge) {
		return s.reply(&packet{
			Answer: unusable(&call, result),
		}, string(call.ID), nil)
	}
	return err
}

// handle runs the call handler unless the call's body had to be dropped.
func (s *session) handle(ctx context.Context, call *lagoonbarrow.Call, kept bool) *lagoonbarrow.Answer {
	if !kept {
		s.server.config.Scope.Counter("calls-refused-for-memory").Inc(1)
		refusal := lagoonbarrow.Refuse(call.ID, lagoonbarrow.ReasonShed)
		refusal.TokensLeft = call.Tokens
		return refusal
	}
	result := s.server.config.Calls.HandleCall(ctx, call)
	if result == nil || result.Call != call.ID {
		// An answer for another call must never reach this caller.
		return &unusable(call, &lagoonbarrow.Answer{}).Answer
	}
	return result
}

// unusable returns an answer in place of one that can't be delivered. The call was
// run, so its outcome is unknown to the caller.
func unusable(call *lagoonbarrow.Call, result *lagoonbarrow.Answer) *answer {
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
	body, kept, err := s.receive(head.ID, head.Body, head.BodyBytes)
	if err != nil {
		return err
	}
	received := lagoonbarrow.Message{
		Kind: head.Kind,
		Body: body,
	}
	ctx, cancel := s.begin()
	defer cancel()
	result, err := s.handleMessage(ctx, received, kept)
	back := &reply{
		ID:        head.ID,
		Kind:      result.Kind,
		Body:      inline(result.Body),
		BodyBytes: len(result.Body),
	}
	if err != nil {
		back.Error = err.Error()
	}
	return s.reply(&packet{
		Reply: back,
	}, head.ID, result.Body)
}

func (s *session) handleMessage(ctx context.Context, received lagoonbarrow.Message, kept bool) (lagoonbarrow.Message, error) {
	none := lagoonbarrow.Message{}
	if !kept {
		return none, errors.Wrap(lagoonbarrow.ErrUnavailable, "peer: buffers are full")
	}
	handler, known := s.server.config.Messages[received.Kind]
	if !known {
		return none, errors.Wrapf(lagoonbarrow.ErrNotFound, "peer: no handler for message %q", received.Kind)
	}
	result, err := handler.HandleMessage(ctx, s.connection.peer, received)
	if err != nil {
		return none, err
	}
	return result, nil
}

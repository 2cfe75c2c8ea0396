package peer

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/responsehead"
	"lagoonbarrow/internal/process/memory"
)

// errRefused is returned when the server refused the connection. The server then has
// not read any call from it.
var errRefused = errors.New("peer: connection refused after the handshake")

// exchange sends a head with its body and calls receive to read the answer.
// Cancelling ctx closes the connection at once. After an error the connection
// can't be used any more.
func (c *connection) exchange(ctx context.Context, head *packet, id string, body []byte, receive func() error) error {
	if err := ctx.Err(); err != nil {
		return notSent(ctx, err)
	}
	stop := context.AfterFunc(ctx, c.close)
	defer func() {
		if !stop() {
			// The AfterFunc may still be closing the connection, so it can't be reused.
			c.close()
			c.closeAfterUse = true
		}
	}()
	if err := c.send(head, id, body); err != nil {
		return notSent(ctx, err)
	}
	err := receive()
	if errors.Is(err, errRefused) {
		return notSent(ctx, err)
	}
	if err != nil {
		return answerLost(ctx, err)
	}
	if c.reader.Buffered() != 0 {
		// The answer is complete. The bytes after it are going-away or unexpected.
		c.closeAfterUse = true
	}
	return nil
}

// readHead returns the first packet of an answer. The server may send a refusal
// instead, since the client sends its first call together with its proof.
func (c *connection) readHead() (*packet, error) {
	p, err := c.read()
	if err != nil {
		return nil, err
	}
	if p.GoingAway != nil {
		c.closeAfterUse = true
		p, err = c.read()
		if err != nil {
			return nil, err
		}
	}
	if p.Refusal != nil {
		return nil, errors.Wrap(errRefused, p.Refusal.err().Error())
	}
	return p, nil
}

// call sends a call and reads its answer. The memory of the answer's body is counted by
// the limiter, unless that is nil.
func (c *connection) call(ctx context.Context, call *lagoonbarrow.Call, maxBody int, limiter *memory.Limiter) (*lagoonbarrow.Answer, error) {
	head := &callHead{
		Call:      *call,
		BodyBytes: len(call.Body),
	}
	head.Body = inlineBody(call.Body)
	if deadline, ok := ctx.Deadline(); ok {
		// Part of the remaining time was spent waiting for the connection.
		head.Remaining = time.Until(deadline)
		if head.Remaining <= 0 {
			return nil, notSent(ctx, context.DeadlineExceeded)
		}
	}
	var result *lagoonbarrow.Answer
	receive := func() error {
		var err error
		result, err = c.receiveAnswer(ctx, call.ID, maxBody, limiter)
		return err
	}
	err := c.exchange(ctx, &packet{
		Call:         head,
		Announcement: call.Announcement,
	}, string(call.ID), call.Body, receive)
	if err != nil {
		return nil, err
	}
	return result, nil
}

// receiveAnswer reads the answer to a call. It returns ErrInvalidFrame for any other packet,
// for example from the answer to another call, and for a status or a field name that HTTP doesn't
// allow.
func (c *connection) receiveAnswer(ctx context.Context, id lagoonbarrow.CallID, maxBody int, limiter *memory.Limiter) (*lagoonbarrow.Answer, error) {
	p, err := c.readHead()
	if err != nil {
		return nil, err
	}
	if p.Answer == nil || p.Answer.Call != id {
		return nil, errors.Wrap(lagoonbarrow.ErrInvalidFrame, "peer: unexpected frame instead of the answer")
	}
	if !hasValidStatus(&p.Answer.Answer) {
		return nil, errors.Wrapf(lagoonbarrow.ErrInvalidFrame, "peer: answer with status %d", p.Answer.Status)
	}
	if !hasValidFieldNames(&p.Answer.Answer) {
		return nil, errors.Wrap(lagoonbarrow.ErrInvalidFrame, "peer: answer with an invalid field name")
	}
	body, err := c.receiveCountedBody(ctx, p.Answer, maxBody, limiter)
	if err != nil {
		return nil, err
	}
	result := p.Answer.Answer
	result.Body = body
	result.Announcement = p.Announcement
	result.Load.SlotTime = p.SlotTime
	result.Services = p.Services
	return &result, nil
}

// receiveCountedBody reads the body of an answer. Its memory is counted before the first
// byte is read, so that the sender is held up until there is room.
func (c *connection) receiveCountedBody(ctx context.Context, head *answer, maxBody int, limiter *memory.Limiter) ([]byte, error) {
	if limiter == nil {
		return c.receiveLimitedBody(string(head.Call), head.Body, head.BodyBytes, maxBody)
	}
	if head.BodyBytes < 0 || head.BodyBytes > maxBody {
		return nil, errors.Wrap(lagoonbarrow.ErrTooLarge, "peer: answer body")
	}
	usage := limiter.TrackResponse(ctx, c.close)
	defer usage.Release()
	if err := usage.Reserve(head.BodyBytes); err != nil {
		return nil, err
	}
	body, err := c.receiveBody(string(head.Call), head.Body, head.BodyBytes, keepReserved)
	if err != nil {
		return nil, err
	}
	if !usage.Complete() {
		// The connection is being closed.
		c.closeAfterUse = true
	}
	usage.Keep(ctx)
	return body, nil
}

// hasValidStatus reports whether an answer has a status that HTTP allows, or none if it is not the
// answer of a backend server.
func hasValidStatus(answer *lagoonbarrow.Answer) bool {
	if answer.Status == 0 {
		return answer.Outcome != lagoonbarrow.OutcomeDone
	}
	return lagoonbarrow.IsFinalStatus(answer.Status)
}

// hasValidFieldNames reports whether HTTP allows the names of all header fields of an answer.
func hasValidFieldNames(answer *lagoonbarrow.Answer) bool {
	return !slices.ContainsFunc(answer.Header, func(field lagoonbarrow.HeaderField) bool {
		return !responsehead.IsFieldName(field.Name)
	})
}

// receiveLimitedBody is receiveBody for an answer. It returns ErrTooLarge for a body
// over the limit.
func (c *connection) receiveLimitedBody(id string, inlined []byte, total, limit int) ([]byte, error) {
	if total < 0 || total > limit {
		return nil, errors.Wrap(lagoonbarrow.ErrTooLarge, "peer: answer body")
	}
	return c.receiveBody(id, inlined, total, keepGrowing)
}

// message sends a control message and reads its reply.
func (c *connection) message(ctx context.Context, id string, sent lagoonbarrow.Message, maxBody int) (*reply, error) {
	head := &message{
		ID:        id,
		Kind:      sent.Kind,
		Body:      inlineBody(sent.Body),
		BodyBytes: len(sent.Body),
	}
	var result *reply
	receive := func() error {
		p, err := c.readHead()
		if err != nil {
			return err
		}
		if p.Reply == nil || p.Reply.ID != id {
			return errors.Wrap(lagoonbarrow.ErrInvalidFrame, "peer: unexpected frame instead of the reply")
		}
		result = p.Reply
		result.Body, err = c.receiveLimitedBody(id, result.Body, result.BodyBytes, maxBody)
		return err
	}
	err := c.exchange(ctx, &packet{
		Message: head,
	}, id, sent.Body, receive)
	if err != nil {
		return nil, err
	}
	return result, nil
}

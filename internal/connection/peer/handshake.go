package peer

import (
	"github.com/pkg/errors"

	"lagoonbarrow"
)

// identity is what one side says of itself in the handshake.
type identity struct {
	instance lagoonbarrow.InstanceID
	address  lagoonbarrow.Address
	key      []byte
}

// greet makes the client's side of the handshake. The proof is left in the write
// buffer, so that it travels with the first call.
// It returns ErrVersion, ErrUnauthenticated or ErrUnavailable for a refusal.
func (c *connection) greet(self identity, use purpose) error {
	greeting := &hello{
		Version:   protocolVersion,
		Instance:  self.instance,
		Address:   self.address,
		Purpose:   use,
		Challenge: newChallenge(),
	}
	if err := c.out.Write(&packet{
		Hello: greeting,
	}); err != nil {
		return err
	}
	p, err := c.read()
	if err != nil {
		return err
	}
	if p.Refusal != nil {
		return p.Refusal.err()
	}
	response := p.Challenge
	if response == nil {
		return errors.Wrap(lagoonbarrow.ErrFrame, "peer: challenge is missing")
	}
	if response.Version != protocolVersion {
		return errors.Wrapf(lagoonbarrow.ErrVersion, "peer: version %d", response.Version)
	}
	if !proven(response.Proof, prove(self.key, sideServer, greeting, response)) {
		return errors.Wrap(lagoonbarrow.ErrUnauthenticated, "peer: server's proof is wrong")
	}
	own := &proof{
		Proof: prove(self.key, sideClient, greeting, response),
	}
	c.peer = response.Instance
	c.purpose = use
	c.in.SetLimit(c.frames)
	return c.out.Append(&packet{
		Proof: own,
	})
}

func (r *refusal) err() error {
	switch r.Reason {
	case refusedVersion:
		return errors.Wrapf(lagoonbarrow.ErrVersion, "peer: server speaks version %d", r.Version)
	case refusedUnauthenticated:
		return errors.Wrap(lagoonbarrow.ErrUnauthenticated, "peer: server refused the proof")
	default:
		return errors.Wrapf(lagoonbarrow.ErrUnavailable, "peer: server refused the connection: %q", r.Reason)
	}
}

// welcome makes the server's side of the handshake. admit is asked whether a
// connection for the purpose is within the limits.
// It returns ErrVersion or ErrUnauthenticated after it told the client so.
func (c *connection) welcome(self identity, admit func(purpose) bool) error {
	p, err := c.read()
	if err != nil {
		return err
	}
	greeting := p.Hello
	if greeting == nil {
		return errors.Wrap(lagoonbarrow.ErrFrame, "peer: hello is missing")
	}
	if greeting.Version != protocolVersion {
		c.refuse(refusedVersion)
		return errors.Wrapf(lagoonbarrow.ErrVersion, "peer: client speaks version %d", greeting.Version)
	}
	known := greeting.Purpose == purposeCalls || greeting.Purpose == purposeControl
	if !known || len(greeting.Challenge) != challengeBytes {
		return errors.Wrap(lagoonbarrow.ErrFrame, "peer: hello is invalid")
	}
	response := &challenge{
		Version:   protocolVersion,
		Instance:  self.instance,
		Challenge: newChallenge(),
	}
	response.Proof = prove(self.key, sideServer, greeting, response)
	if err := c.out.Write(&packet{
		Challenge: response,
	}); err != nil {
		return err
	}
	p, err = c.read()
	if err != nil {
		return err
	}
	if p.Proof == nil || !proven(p.Proof.Proof, prove(self.key, sideClient, greeting, response)) {
		c.refuse(refusedUnauthenticated)
		return errors.Wrap(lagoonbarrow.ErrUnauthenticated, "peer: client's proof is wrong")
	}
	if !admit(greeting.Purpose) {
		c.refuse(refusedLimit)
		return errConnectionLimit
	}
	c.peer = greeting.Instance
	c.address = greeting.Address
	c.purpose = greeting.Purpose
	c.in.SetLimit(c.frames)
	return nil
}

var errConnectionLimit = errors.New("peer: too many connections")

func (c *connection) refuse(reason refusalReason) {
	told := &refusal{
		Version: protocolVersion,
		Reason:  reason,
	}
	_ = c.out.Write(&packet{
		Refusal: told,
	})
}

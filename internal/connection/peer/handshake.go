package peer

import (
	"github.com/pkg/errors"

	"lagoonbarrow"
)

// identity is how one side identifies itself in the handshake.
type identity struct {
	instance lagoonbarrow.InstanceID
	address  lagoonbarrow.Address
	key      []byte
}

// clientHandshake runs the client's side of the handshake. It leaves the proof in the
// write buffer, to be sent with the first call. For a refusal it returns ErrProtocolVersion,
// ErrUnauthenticated or ErrUnavailable.
func (c *connection) clientHandshake(self identity, use purpose) error {
	clientHello := &hello{
		Version:   protocolVersion,
		Instance:  self.instance,
		Address:   self.address,
		Purpose:   use,
		Challenge: newChallenge(),
	}
	if err := c.writer.Write(&packet{
		Hello: clientHello,
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
	serverChallenge := p.Challenge
	if serverChallenge == nil {
		return errors.Wrap(lagoonbarrow.ErrInvalidFrame, "peer: challenge is missing")
	}
	if serverChallenge.Version != protocolVersion {
		return errors.Wrapf(lagoonbarrow.ErrProtocolVersion, "peer: version %d", serverChallenge.Version)
	}
	if !proofMatches(serverChallenge.Proof, computeProof(self.key, sideServer, clientHello, serverChallenge)) {
		return errors.Wrap(lagoonbarrow.ErrUnauthenticated, "peer: server's proof is wrong")
	}
	clientProof := &proof{
		Proof: computeProof(self.key, sideClient, clientHello, serverChallenge),
	}
	c.peer = serverChallenge.Instance
	c.purpose = use
	c.reader.SetLimit(c.maxFrameBytes)
	return c.writer.Append(&packet{
		Proof: clientProof,
	})
}

// err returns the error for the reason of the refusal.
func (r *refusal) err() error {
	switch r.Reason {
	case refusedVersion:
		return errors.Wrapf(lagoonbarrow.ErrProtocolVersion, "peer: server speaks version %d", r.Version)
	case refusedUnauthenticated:
		return errors.Wrap(lagoonbarrow.ErrUnauthenticated, "peer: server refused the proof")
	default:
		return errors.Wrapf(lagoonbarrow.ErrUnavailable, "peer: server refused the connection: %q", r.Reason)
	}
}

// serverHandshake runs the server's side of the handshake. admit reports whether the
// limits allow another connection for the purpose. Before it returns ErrProtocolVersion,
// ErrUnauthenticated or errConnectionLimit, it sends a refusal to the client.
func (c *connection) serverHandshake(self identity, admit func(purpose) bool) error {
	p, err := c.read()
	if err != nil {
		return err
	}
	clientHello := p.Hello
	if clientHello == nil {
		return errors.Wrap(lagoonbarrow.ErrInvalidFrame, "peer: hello is missing")
	}
	if clientHello.Version != protocolVersion {
		c.refuse(refusedVersion)
		return errors.Wrapf(lagoonbarrow.ErrProtocolVersion, "peer: client speaks version %d", clientHello.Version)
	}
	purposeValid := clientHello.Purpose == purposeCalls || clientHello.Purpose == purposeControl
	if !purposeValid || len(clientHello.Challenge) != challengeBytes {
		return errors.Wrap(lagoonbarrow.ErrInvalidFrame, "peer: hello is invalid")
	}
	serverChallenge := &challenge{
		Version:   protocolVersion,
		Instance:  self.instance,
		Challenge: newChallenge(),
	}
	serverChallenge.Proof = computeProof(self.key, sideServer, clientHello, serverChallenge)
	if err := c.writer.Write(&packet{
		Challenge: serverChallenge,
	}); err != nil {
		return err
	}
	p, err = c.read()
	if err != nil {
		return err
	}
	if p.Proof == nil || !proofMatches(p.Proof.Proof, computeProof(self.key, sideClient, clientHello, serverChallenge)) {
		c.refuse(refusedUnauthenticated)
		return errors.Wrap(lagoonbarrow.ErrUnauthenticated, "peer: client's proof is wrong")
	}
	if !admit(clientHello.Purpose) {
		c.refuse(refusedLimit)
		return errConnectionLimit
	}
	c.peer = clientHello.Instance
	c.address = clientHello.Address
	c.purpose = clientHello.Purpose
	c.reader.SetLimit(c.maxFrameBytes)
	return nil
}

var errConnectionLimit = errors.New("peer: too many connections")

// refuse sends a refusal. The connection is closed whether or not that succeeds.
func (c *connection) refuse(reason refusalReason) {
	response := &refusal{
		Version: protocolVersion,
		Reason:  reason,
	}
	_ = c.writer.Write(&packet{
		Refusal: response,
	})
}

package sidecar

import (
	"context"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// deferredTransport refuses messages and calls until the peer client is built.
type deferredTransport struct {
	sidecar *Sidecar
}

// Send implements lagoonbarrow.MessageSender.
func (t deferredTransport) Send(ctx context.Context, to lagoonbarrow.Address, message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	if !t.sidecar.peerKey.inUse() {
		return lagoonbarrow.Message{}, errors.Wrap(lagoonbarrow.ErrNotSent, "sidecar: the key of the nodes is not known yet")
	}
	return t.sidecar.transport.Send(ctx, to, message)
}

// Call implements forward.Transport.
func (t deferredTransport) Call(ctx context.Context, to lagoonbarrow.Instance, call *lagoonbarrow.Call) (*lagoonbarrow.Answer, error) {
	if !t.sidecar.peerKey.inUse() {
		return nil, errors.Wrap(lagoonbarrow.ErrNotSent, "sidecar: the key of the nodes is not known yet")
	}
	return t.sidecar.transport.Call(ctx, to, call)
}

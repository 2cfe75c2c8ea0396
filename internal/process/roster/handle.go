package roster

import (
	"context"
	"math/rand/v2"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/frame"
)

// Kinds returns the kinds of messages that HandleMessage serves.
func (r *Roster) Kinds() []string {
	return []string{
		kindProbe,
		kindProbeRequest,
		kindLeave,
		kindDigest,
		kindSync,
	}
}

// HandleMessage serves a membership message. It returns ErrUnavailable before
// this node is registered and after Stop, and ErrInvalid for damaged bodies.
func (r *Roster) HandleMessage(ctx context.Context, from lagoonbarrow.InstanceID, message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	if r.stopped.Load() || r.Self().Incarnation == 0 {
		return lagoonbarrow.Message{}, errors.Wrap(lagoonbarrow.ErrUnavailable, "roster: not registered")
	}
	kind, body, err := r.dispatch(ctx, from, message)
	if err != nil {
		return lagoonbarrow.Message{}, err
	}
	reply, err := frame.EncodeMessage(kind, body)
	if err != nil {
		return lagoonbarrow.Message{}, err
	}
	r.charge(r.table.exchangeCost(referenceOf(from))/2 + len(reply.Body))
	r.recordContact(referenceOf(from))
	return reply, nil
}

func (r *Roster) dispatch(ctx context.Context, from lagoonbarrow.InstanceID, message lagoonbarrow.Message) (string, any, error) {
	switch message.Kind {
	case kindProbe:
		body, err := r.handleProbe(from, message)
		return kindProbeAck, body, err
	case kindProbeRequest:
		body, err := r.handleProbeRequest(ctx, from, message)
		return kindProbeAck, body, err
	case kindLeave:
		err := r.handleLeave(from, message)
		return kindLeave, &leaveBody{
			Sender: r.ownStatus(),
		}, err
	case kindDigest:
		body, err := r.handleDigest(from, message)
		return kindSync, body, err
	case kindSync:
		body, err := r.handleSync(from, message)
		return kindSync, body, err
	default:
		return "", nil, errors.Wrapf(lagoonbarrow.ErrInvalid, "roster: unknown message kind %q", message.Kind)
	}
}

// handleLeave merges the status of an instance that is leaving or has left.
func (r *Roster) handleLeave(from lagoonbarrow.InstanceID, message lagoonbarrow.Message) error {
	var body leaveBody
	if err := decode(message, kindLeave, &body); err != nil {
		return err
	}
	s, ok := body.Sender.status()
	if !ok || body.Sender.Reference != referenceOf(from) {
		return errors.Wrap(lagoonbarrow.ErrInvalid, "roster: leave for another instance")
	}
	r.applyStatus(body.Sender.Reference, s, fromSelf)
	return nil
}

func shuffleInts(list []int) {
	rand.Shuffle(len(list), func(i, j int) {
		list[i], list[j] = list[j], list[i]
	})
}

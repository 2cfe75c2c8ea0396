package exchange

import (
	"context"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/frame"
)

// kindConfiguration is the kind of the messages that request a node's configuration.
const kindConfiguration = "configuration"

// query requests the configuration in force if it is newer than a version.
type query struct {
	Version lagoonbarrow.ConfigurationVersion `msgpack:"version"`
}

// reply answers a query. Version is 0 if no configuration is in force.
type reply struct {
	Version lagoonbarrow.ConfigurationVersion `msgpack:"version"`
	// Encoded is the configuration as the operator wrote it, if it is newer.
	Encoded []byte `msgpack:"encoded,omitempty"`
}

// Handler answers the queries of other nodes.
type Handler struct {
	// Current returns the configuration in force, or nil.
	Current func() *lagoonbarrow.Configuration
}

var _ lagoonbarrow.MessageHandler = (*Handler)(nil)

// Kinds returns the kinds of messages that the handler serves.
func (h *Handler) Kinds() []string {
	return []string{kindConfiguration}
}

// HandleMessage answers with the configuration in force.
func (h *Handler) HandleMessage(_ context.Context, _ lagoonbarrow.InstanceID, message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	var received query
	if err := frame.DecodeMessage(message, &received); err != nil {
		return lagoonbarrow.Message{}, err
	}
	return frame.EncodeMessage(kindConfiguration, h.answer(received))
}

func (h *Handler) answer(received query) reply {
	current := h.Current()
	if current == nil {
		return reply{}
	}
	answer := reply{
		Version: current.Version,
	}
	if current.Version > received.Version {
		answer.Encoded = current.Encoded
	}
	return answer
}

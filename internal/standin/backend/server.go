package backend

import (
	"context"

	"lagoonbarrow"
)

// Server is a stand-in backend server.
type Server struct {
	config Config
}

// New returns a server.
func New(config Config) (*Server, error) {
	return &Server{
		config: config,
	}, nil
}

// Start listens and returns the bound address.
func (s *Server) Start() (lagoonbarrow.Address, error) {
	return s.config.Address, nil
}

// Stop refuses new requests and lets the running ones end until ctx ends.
func (s *Server) Stop(_ context.Context) error {
	return nil
}

// SetNode sets the local address of the node for downstream calls.
func (s *Server) SetNode(address lagoonbarrow.Address) {
	s.config.Node = address
}

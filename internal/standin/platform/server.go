package platform

import "lagoonbarrow"

// Server is the stand-in.
type Server struct{}

// New returns a server that does not listen yet.
func New(_ Config) *Server { return &Server{} }

// Start listens and returns the bound address.
func (s *Server) Start() (lagoonbarrow.Address, error) { return "", nil }

// Stop ends the server.
func (s *Server) Stop() error { return nil }

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(_ Faults) {}

// Stats returns the counts.
func (s *Server) Stats() Stats { return Stats{} }

package platform

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
)

const (
	// maxBodyBytes bounds a request body: a batch of maxBatchWrites large values.
	maxBodyBytes = 16 << 20
	// maxBatchWrites bounds the writes of one batch request.
	maxBatchWrites = 256
	// maxScanRows bounds the rows of one scan.
	maxScanRows = 1000
	// maxKeyBytes bounds table names, row keys and object names.
	maxKeyBytes = 2048
)

// counters are the live values of Stats.
type counters struct {
	reads       atomic.Uint64
	writes      atomic.Uint64
	conflicts   atomic.Uint64
	batches     atomic.Uint64
	refused     atomic.Uint64
	lostAnswers atomic.Uint64
	bytesIn     atomic.Uint64
	bytesOut    atomic.Uint64
}

// Server is the stand-in. Its contents live in memory and end with it.
type Server struct {
	config   Config
	store    *store
	injector *injector
	writes   *limiter
	reads    *limiter
	counters counters
	server   *fasthttp.Server
	listener net.Listener
	stopOnce sync.Once
	stopErr  error
	served   chan error
}

// New returns a server that does not listen yet.
func New(config Config) *Server {
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	s := &Server{
		config:   config,
		store:    newStore(),
		injector: newInjector(config.Faults),
		writes:   newLimiter(config.WritesPerSecond),
		reads:    newLimiter(config.ReadsPerSecond),
	}
	s.server = &fasthttp.Server{
		Handler:               s.handle,
		Name:                  "lagoonbarrow-standin",
		MaxRequestBodySize:    maxBodyBytes,
		NoDefaultServerHeader: true,
		// CloseOnShutdown tells clients not to reuse a connection that Stop closes.
		CloseOnShutdown: true,
		Logger:          config.Logger.StandardLogger(&hclog.StandardLoggerOptions{}),
	}
	return s
}

// Start listens and returns the bound address.
func (s *Server) Start() (lagoonbarrow.Address, error) {
	listener, err := net.Listen("tcp", string(s.config.Address))
	if err != nil {
		return "", errors.Wrap(err, "platform stand-in: listen")
	}
	s.listener = listener
	s.served = make(chan error, 1)
	go func() {
		s.served <- s.server.Serve(listener)
	}()
	address := listener.Addr().String()
	s.config.Logger.Info("platform stand-in listens", "address", address)
	return lagoonbarrow.Address(address), nil
}

// Stop ends the server. Delayed writes take effect at once and hanging
// requests are refused.
func (s *Server) Stop() error {
	s.stopOnce.Do(func() {
		close(s.injector.stopped)
		if s.served == nil {
			return
		}
		s.stopErr = s.shutdown()
	})
	return s.stopErr
}

func (s *Server) shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := s.server.ShutdownWithContext(ctx)
	// fasthttp's shutdown does nothing when Serve has not reached its listener
	// yet, and Serve would then run for ever.
	_ = s.listener.Close()
	if err != nil {
		return errors.Wrap(err, "platform stand-in: shut down")
	}
	return errors.Wrap(<-s.served, "platform stand-in: serve")
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(faults Faults) {
	s.injector.set(faults)
}

// Stats returns the counts.
func (s *Server) Stats() Stats {
	return Stats{
		Reads:       s.counters.reads.Load(),
		Writes:      s.counters.writes.Load(),
		Conflicts:   s.counters.conflicts.Load(),
		Batches:     s.counters.batches.Load(),
		Refused:     s.counters.refused.Load(),
		LostAnswers: s.counters.lostAnswers.Load(),
		BytesIn:     s.counters.bytesIn.Load(),
		BytesOut:    s.counters.bytesOut.Load(),
	}
}

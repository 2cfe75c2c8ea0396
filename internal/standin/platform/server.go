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
	// maxBodyBytes bounds a request body. It allows a batch of maxBatchWrites large
	// values.
	maxBodyBytes = 16 << 20
	// maxBatchWrites bounds the writes of one batch request.
	maxBatchWrites = 256
	// maxScanRows bounds the rows of one scan.
	maxScanRows = 1000
	// maxKeyBytes bounds table names, row keys and object names.
	maxKeyBytes = 2048
)

// counters holds the current values of Stats.
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

// Server is a stand-in for the platform's store. It keeps all data in memory.
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
	// serveErr receives the error of Serve.
	serveErr chan error
}

// New returns a server that has not been started.
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
		// With CloseOnShutdown, clients don't reuse a connection that Stop closes.
		CloseOnShutdown: true,
		Logger:          config.Logger.StandardLogger(&hclog.StandardLoggerOptions{}),
	}
	return s
}

// Start starts to serve requests and returns the address that the server listens on.
func (s *Server) Start() (lagoonbarrow.Address, error) {
	listener, err := net.Listen("tcp", string(s.config.Address))
	if err != nil {
		return "", errors.Wrap(err, "platform stand-in: listen")
	}
	s.listener = listener
	s.serveErr = make(chan error, 1)
	go func() {
		s.serveErr <- s.server.Serve(listener)
	}()
	address := listener.Addr().String()
	s.config.Logger.Info("platform stand-in listens", "address", address)
	return lagoonbarrow.Address(address), nil
}

// Stop stops the server. Delayed writes take effect at once, and hanging requests
// are rejected.
func (s *Server) Stop() error {
	s.stopOnce.Do(func() {
		close(s.injector.stopped)
		if s.serveErr == nil {
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
	// fasthttp's shutdown does nothing if Serve has not registered its listener yet,
	// and Serve would then never return.
	_ = s.listener.Close()
	if err != nil {
		return errors.Wrap(err, "platform stand-in: shut down")
	}
	return errors.Wrap(<-s.serveErr, "platform stand-in: serve")
}

// SetFaults replaces the current faults.
func (s *Server) SetFaults(faults Faults) {
	s.injector.set(faults)
}

// Stats returns the current counters.
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

package platform

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

var _ lagoonbarrow.Table = (*Client)(nil)

// Client is a client of the platform. It implements lagoonbarrow.Table.
type Client struct {
	config  Config
	http    *fasthttp.HostClient
	gate    *gate
	metrics *metrics
	batcher *batcher
	// ctx ends when the client stops.
	ctx    context.Context
	cancel context.CancelFunc

	mutex   sync.Mutex
	stopped bool
	// running counts the goroutines of the client.
	running sync.WaitGroup
}

// New returns a client that can be used before Start. Start begins the probes that
// detect when an unavailable platform is available again.
func New(config Config) *Client {
	config = config.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		config:  config,
		http:    newHostClient(config),
		metrics: newMetrics(config.Scope),
		ctx:     ctx,
		cancel:  cancel,
	}
	c.gate = newGate(config, c.breakerChanged)
	c.batcher = newBatcher(c)
	return c
}

// Start checks the address and begins the probes.
func (c *Client) Start() error {
	if _, _, err := net.SplitHostPort(string(c.config.Address)); err != nil {
		return errors.Wrap(err, "platform: address")
	}
	if !c.launch(c.probeWhileDown) {
		return errors.Wrap(lagoonbarrow.ErrStopping, "platform: start")
	}
	return nil
}

// Stop stops the client. Writes that wait for a batch are not sent and fail with
// ErrUnavailable. It waits for requests in flight, at most Config.Timeout.
func (c *Client) Stop() error {
	c.mutex.Lock()
	c.stopped = true
	c.mutex.Unlock()
	c.cancel()
	c.gate.stop()
	c.running.Wait()
	c.http.CloseIdleConnections()
	return nil
}

// launch runs a function in a goroutine that Stop waits for. It returns false if the
// client is stopped.
func (c *Client) launch(function func()) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.stopped {
		return false
	}
	c.running.Go(function)
	return true
}

// Available reports whether the circuit breaker is closed: fewer than
// Config.FailureLimit requests in a row have failed, or the last probe succeeded.
func (c *Client) Available() bool {
	return c.gate.available()
}

// breakerChanged records that the breaker opened or closed.
func (c *Client) breakerChanged(up bool) {
	kind := event.PlatformDown
	if up {
		kind = event.PlatformUp
	} else {
		c.http.CloseIdleConnections()
	}
	c.metrics.setAvailable(up)
	c.config.Logger.Info(kind.Meaning, "address", c.config.Address)
	if c.config.Recorder == nil {
		return
	}
	c.config.Recorder.Record(kind, event.Fields{
		Peer: string(c.config.Address),
	})
}

// probeWhileDown sends a read about every ProbeInterval while the breaker is open.
func (c *Client) probeWhileDown() {
	for {
		select {
		case <-c.gate.opened:
		case <-c.ctx.Done():
			return
		}
		c.probeUntilUp()
	}
}

func (c *Client) probeUntilUp() {
	for !c.gate.available() {
		timer := time.NewTimer(c.probeDelay())
		select {
		case <-timer.C:
		case <-c.ctx.Done():
			timer.Stop()
			return
		}
		if c.probe() {
			c.gate.closeBreaker()
		}
	}
}

// probeDelay spreads the probes of many nodes over time.
func (c *Client) probeDelay() time.Duration {
	return time.Duration((0.75 + 0.5*rand.Float64()) * float64(c.config.ProbeInterval))
}

func (c *Client) probe() bool {
	c.metrics.probes.Inc(1)
	_, result, _ := c.exchange(request{
		method: fasthttp.MethodGet,
		path:   rowPath("probe", "probe"),
	})
	return result != resultFailed
}

func rowPath(table, key string) string {
	return "/v1/tables/" + url.PathEscape(table) + "/rows/" + url.PathEscape(key)
}

// call sends one request and decodes its response. The call returns when ctx ends, but
// the request always has the whole Config.Timeout. Otherwise a caller with a short
// deadline would count as a failure of the platform.
func (c *Client) call(ctx context.Context, request request, decode func(response) error) error {
	acquired, err := c.gate.acquire(ctx)
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	launched := c.launch(func() {
		done <- c.execute(acquired, request, decode)
	})
	if !launched {
		c.gate.release(acquired, resultNotSent)
		return errors.Wrap(lagoonbarrow.ErrUnavailable, "platform: client is stopped")
	}
	select {
	case err = <-done:
		return err
	case <-ctx.Done():
		return errors.Wrapf(lagoonbarrow.ErrOutcomeUnknown, "platform: no answer: %v", ctx.Err())
	}
}

// execute sends a request, decodes the response and releases the permit.
func (c *Client) execute(acquired permit, request request, decode func(response) error) error {
	got, result, err := c.exchange(request)
	if err == nil {
		err = decode(got)
		if errors.Is(err, lagoonbarrow.ErrInvalid) {
			// The response is malformed, but the request may have taken effect.
			result = resultFailed
			err = errors.Wrapf(lagoonbarrow.ErrOutcomeUnknown, "platform: %v", err)
		}
	}
	if result == resultFailed {
		c.metrics.failures.Inc(1)
	}
	c.gate.release(acquired, result)
	return err
}

// read sends a request without side effects, for which an unknown outcome is the same
// as ErrUnavailable.
func (c *Client) read(ctx context.Context, request request, decode func(response) error) error {
	began := time.Now()
	err := c.call(ctx, request, decode)
	c.metrics.recordRead(began)
	if errors.Is(err, lagoonbarrow.ErrOutcomeUnknown) {
		return errors.Wrapf(lagoonbarrow.ErrUnavailable, "%v", err)
	}
	return err
}

// Get implements lagoonbarrow.Table.
func (c *Client) Get(ctx context.Context, table, key string) (lagoonbarrow.Row, error) {
	if err := checkName(table, key); err != nil {
		return lagoonbarrow.Row{}, err
	}
	// The row is passed over a channel, because the decoder may still run after ctx
	// has ended and must not share memory with the caller.
	rows := make(chan lagoonbarrow.Row, 1)
	err := c.read(ctx, request{
		method: fasthttp.MethodGet,
		path:   rowPath(table, key),
	}, func(got response) error {
		if got.status == fasthttp.StatusNotFound {
			return errors.Wrapf(lagoonbarrow.ErrNotFound, "platform: row %s/%s", table, key)
		}
		row, err := decodeRow(got, table, key)
		rows <- row
		return err
	})
	if err != nil {
		return lagoonbarrow.Row{}, err
	}
	return <-rows, nil
}

// scanPage is the maximum number of rows that the platform returns at once.
const scanPage = 1000

// Scan implements lagoonbarrow.Table. It reads as many pages as limit requires. The
// pages together are not a consistent snapshot.
func (c *Client) Scan(ctx context.Context, table, after string, limit int) ([]lagoonbarrow.Row, error) {
	if table == "" || limit <= 0 {
		return nil, errors.Wrap(lagoonbarrow.ErrInvalid, "platform: scan without table or limit")
	}
	var all []lagoonbarrow.Row
	for len(all) < limit {
		size := min(limit-len(all), scanPage)
		page, err := c.scanPage(ctx, table, after, size)
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		if len(page) < size {
			return all, nil
		}
		after = page[len(page)-1].Key
	}
	return all, nil
}

func (c *Client) scanPage(ctx context.Context, table, after string, limit int) ([]lagoonbarrow.Row, error) {
	query := "?after=" + url.QueryEscape(after) + "&limit=" + strconv.Itoa(limit)
	found := make(chan []lagoonbarrow.Row, 1)
	err := c.read(ctx, request{
		method: fasthttp.MethodGet,
		path:   "/v1/tables/" + url.PathEscape(table) + "/rows" + query,
	}, func(got response) error {
		rows, err := decodeScan(got, table, after, limit)
		found <- rows
		return err
	})
	if err != nil {
		return nil, err
	}
	return <-found, nil
}

// Put implements lagoonbarrow.Table. With ErrConflict it returns the row's
// current version.
func (c *Client) Put(ctx context.Context, write lagoonbarrow.Write) (lagoonbarrow.RowVersion, error) {
	if err := checkWrite(write); err != nil {
		return 0, err
	}
	return c.batcher.put(ctx, write)
}

// Transact implements lagoonbarrow.Table.
func (c *Client) Transact(ctx context.Context, writes []lagoonbarrow.Write) error {
	for _, write := range writes {
		if err := checkWrite(write); err != nil {
			return err
		}
	}
	body, err := json.Marshal(batchRequest{
		Atomic: true,
		Writes: writes,
	})
	if err != nil {
		return errors.Wrap(err, "platform: encode writes")
	}
	began := time.Now()
	err = c.call(ctx, request{
		method: fasthttp.MethodPost,
		path:   "/v1/batch",
		body:   body,
	}, func(got response) error {
		return decodeTransaction(got, writes)
	})
	c.metrics.recordWrite(began, len(writes))
	return err
}

// decodeTransaction returns nil when all writes took effect and ErrConflict
// when none did.
func decodeTransaction(got response, writes []lagoonbarrow.Write) error {
	results, err := decodeBatch(got.body, writes)
	if err != nil {
		return err
	}
	written := 0
	conflicts := 0
	for _, result := range results {
		switch result.Outcome {
		case outcomeWritten:
			written++
		case outcomeConflict:
			conflicts++
		}
	}
	switch {
	case got.status == fasthttp.StatusOK && written == len(writes):
		return nil
	case got.status == fasthttp.StatusConflict && written == 0 && conflicts > 0:
		return errors.Wrapf(lagoonbarrow.ErrConflict, "platform: %d of %d rows have another version", conflicts, len(writes))
	default:
		return errors.Wrap(lagoonbarrow.ErrInvalid, "platform: transaction results contradict the status")
	}
}

// Package metrics provides the metrics scope of the process and the page that
// Prometheus scrapes.
package metrics

import (
	"io"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"lagoonbarrow"
)

// reportInterval is the time between two updates of the scrape page.
const reportInterval = time.Second

// Config configures Metrics.
type Config struct {
	Instance lagoonbarrow.InstanceID
	Service  lagoonbarrow.ServiceName
	Zone     lagoonbarrow.Zone
}

// Metrics holds a tally scope whose values are scraped over HTTP.
type Metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler fasthttp.RequestHandler
}

// sanitizer replaces characters that Prometheus doesn't accept in names. It keeps the
// values of labels unchanged, because they must match the ids in use elsewhere.
var sanitizer = tally.SanitizeOptions{
	NameCharacters:       prometheus.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:        prometheus.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters:      labelValueCharacters,
	ReplacementCharacter: prometheus.DefaultSanitizerOpts.ReplacementCharacter,
}

// labelValueCharacters are all printable ASCII characters.
var labelValueCharacters = tally.ValidCharacters{
	Ranges: []tally.SanitizeRange{
		{' ', '~'},
	},
}

// New returns a scope tagged with the instance, service and availability zone.
func New(config Config) *Metrics {
	// A separate registry allows several scopes in one process.
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry,
		Gatherer:   registry,
	})
	scope, closer := tally.NewRootScope(
		tally.ScopeOptions{
			Prefix:         "lagoonbarrow",
			CachedReporter: reporter,
			Separator:      prometheus.DefaultSeparator,
			Tags: map[string]string{
				"instance": string(config.Instance),
				"service":  string(config.Service),
				"zone":     string(config.Zone),
			},
			SanitizeOptions: &sanitizer,
		},
		reportInterval,
	)
	return &Metrics{
		scope:   scope,
		closer:  closer,
		handler: fasthttpadaptor.NewFastHTTPHandler(reporter.HTTPHandler()),
	}
}

// Scope returns the root scope.
func (m *Metrics) Scope() tally.Scope {
	return m.scope
}

// Handler serves the scrape page.
func (m *Metrics) Handler() fasthttp.RequestHandler {
	return m.handler
}

// Close stops the reporting of counters.
func (m *Metrics) Close() error {
	return m.closer.Close()
}

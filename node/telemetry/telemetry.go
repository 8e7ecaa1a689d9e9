// Package telemetry sets up the metrics of a VM: tally scopes with a
// Prometheus reporter, served over HTTP.
package telemetry

import (
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which tally passes values to the reporter.
const reportInterval = time.Second

// Metrics holds the root scope and the HTTP handler of a VM's metrics.
type Metrics struct {
	// Scope is the root scope, prefix "galenasail".
	Scope tally.Scope
	// Handler serves the Prometheus text format.
	Handler http.Handler

	closer io.Closer
}

// New returns metrics that are tagged with the ID of the VM.
func New(vm string) *Metrics {
	registry := prometheus.NewRegistry()
	// Configuration.NewReporter would register a handler in the default mux of the
	// process, which fails for a second VM in one process.
	reporter := promreporter.NewReporter(promreporter.Options{
		Registerer:      registry,
		Gatherer:        registry,
		OnRegisterError: func(error) {},
	})
	// The reporter panics on tally's internal cardinality metrics unless names are
	// sanitized. These metrics are of no use to operators and are omitted.
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "galenasail",
		Tags:                   map[string]string{"vm": vm},
		CachedReporter:         reporter,
		Separator:              promreporter.DefaultSeparator,
		SanitizeOptions:        &promreporter.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close stops the reporter.
func (m *Metrics) Close() error {
	return trace.Wrap(m.closer.Close())
}

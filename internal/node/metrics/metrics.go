// Package metrics serves the metrics of a role in the Prometheus text format.
//
// A role declares its metrics as a list of [Metric]. Each metric reads its values, when it is scraped, from where the
// role keeps them anyway: without scrapes the only cost is the memory of the list. The names follow the Prometheus
// conventions: base units, _total for counters, _seconds and _bytes. Labels have few values; where they are names of
// routes or backends, the code that keeps the values limits their number.
//
// The tables in docs/operate/metrics.md are generated from the lists of all roles, which the test of this package
// checks.
package metrics

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/common/expfmt"
)

// Kind is the type of a metric.
type Kind string

// The kinds of metrics.
const (
	Counter   Kind = "counter"   // never decreases while the process runs
	Gauge     Kind = "gauge"     // may increase and decrease
	Histogram Kind = "histogram" // counts of observations by bucket, and the sum of the observations
)

// Metric is one metric with its labels.
type Metric struct {
	Name   string
	Help   string
	Kind   Kind
	Labels []string
	Read   func(emit Emit) // nil in a list that is used only for its descriptions
}

// Emit receives the values of a metric from its Read function.
type Emit struct {
	description *prometheus.Desc
	kind        prometheus.ValueType
	out         chan<- prometheus.Metric
}

// Value emits a value, with a value for each label.
func (e Emit) Value(value float64, labels ...string) {
	e.out <- prometheus.MustNewConstMetric(e.description, e.kind, value, labels...)
}

// Bool emits 1 for true and 0 for false.
func (e Emit) Bool(value bool, labels ...string) {
	number := 0.0
	if value {
		number = 1
	}
	e.Value(number, labels...)
}

// Histogram emits a histogram. bounds are the upper bounds of its buckets, and counts the numbers of observations in
// each bucket, with one more at the end for those above all bounds. sum is the sum of the observations.
func (e Emit) Histogram(bounds []float64, counts []uint64, sum float64, labels ...string) {
	cumulative := make(map[float64]uint64, len(bounds))
	total := uint64(0)
	for i, count := range counts {
		total += count
		if i < len(bounds) {
			cumulative[bounds[i]] = total
		}
	}
	e.out <- prometheus.MustNewConstHistogram(e.description, total, sum, cumulative, labels...)
}

// collector reads a list of metrics at each scrape.
type collector struct {
	metrics      []Metric
	descriptions []*prometheus.Desc
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(out chan<- *prometheus.Desc) {
	for _, description := range c.descriptions {
		out <- description
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	for i := range c.metrics {
		kind := prometheus.GaugeValue
		if c.metrics[i].Kind == Counter {
			kind = prometheus.CounterValue
		}
		c.metrics[i].Read(Emit{description: c.descriptions[i], kind: kind, out: out})
	}
}

// Handler returns a handler that serves the listed metrics and those of the Go runtime and of the process. It calls
// list, and creates the registry, at the first request. That request panics if two metrics have the same name; the
// test of this package checks that there are none.
func Handler(list func() []Metric) http.Handler {
	return &handler{list: list, first: make(chan struct{}, 1)}
}

// handler serves a registry that is created at the first request.
type handler struct {
	list     func() []Metric
	first    chan struct{} // used as a mutex: held while the registry is created or a request is served
	registry *prometheus.Registry
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	h.first <- struct{}{}
	defer func() { <-h.first }()
	if h.registry == nil {
		h.registry = newRegistry(h.list())
	}
	families, err := h.registry.Gather()
	if err != nil {
		http.Error(w, "metrics: "+err.Error(), http.StatusInternalServerError)
		return
	}
	format := expfmt.NewFormat(expfmt.TypeTextPlain)
	w.Header().Set("Content-Type", string(format))
	encoder := expfmt.NewEncoder(w, format)
	for _, family := range families {
		if encoder.Encode(family) != nil {
			return // the client has left
		}
	}
}

func newRegistry(list []Metric) *prometheus.Registry {
	registry := prometheus.NewPedanticRegistry()
	own := &collector{metrics: list}
	for _, metric := range list {
		own.descriptions = append(own.descriptions, prometheus.NewDesc(metric.Name, metric.Help, metric.Labels, nil))
	}
	process := collectors.NewProcessCollector(collectors.ProcessCollectorOpts{})
	registry.MustRegister(own, collectors.NewGoCollector(), process)
	return registry
}

// Table returns a list as a Markdown table for the page for operators.
func Table(list []Metric) string {
	var text strings.Builder
	text.WriteString("| metric | type | labels | meaning |\n| --- | --- | --- | --- |\n")
	for _, metric := range list {
		labels := strings.Join(metric.Labels, ", ")
		fmt.Fprintf(&text, "| `%s` | %s | %s | %s |\n", metric.Name, metric.Kind, labels, metric.Help)
	}
	return text.String()
}

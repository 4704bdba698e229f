// Package metrics serves a role's metrics in Prometheus' text format.
//
// A role declares its metrics as a list of [Metric]. Each reads its values where they are kept already, at the
// moment when they are asked for: a process that nobody asks pays nothing for them but the memory of the list. The
// names follow Prometheus' conventions: base units, _total for counters, _seconds and _bytes; labels have few
// values, and where they name routes or backends, the keeper of the values bounds them.
//
// docs/operate/metrics.md is made from the lists of all roles (the test of this package compares them).
package metrics

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/common/expfmt"
)

// Kind is a metric's type.
type Kind string

// The kinds of metrics.
const (
	Counter   Kind = "counter"   // only rises while a process lives
	Gauge     Kind = "gauge"     // goes up and down
	Histogram Kind = "histogram" // counts by buckets, with their sum
)

// Metric is one metric with its labels.
type Metric struct {
	Name   string
	Help   string
	Kind   Kind
	Labels []string
	Read   func(emit Emit) // nil in a list that only describes
}

// Emit takes the values of a metric while it is read.
type Emit struct {
	description *prometheus.Desc
	kind        prometheus.ValueType
	out         chan<- prometheus.Metric
}

// Value takes a value, with a value for each label.
func (e Emit) Value(value float64, labels ...string) {
	e.out <- prometheus.MustNewConstMetric(e.description, e.kind, value, labels...)
}

// Bool takes 1 for true and 0 for false.
func (e Emit) Bool(value bool, labels ...string) {
	number := 0.0
	if value {
		number = 1
	}
	e.Value(number, labels...)
}

// Histogram takes a histogram: the counts of its buckets, of which the last one has what is above all bounds, and the
// sum of what was observed.
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

// collector reads a list of metrics when they are asked for.
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

// Handler returns a handler that serves metrics, and those of the Go runtime and of the process. What it needs is
// made at the first request. It panics there if a name stands twice, which the test of this package rules out.
func Handler(list func() []Metric) http.Handler {
	return &handler{list: list, first: make(chan struct{}, 1)}
}

// handler serves a registry that is made at the first request.
type handler struct {
	list     func() []Metric
	first    chan struct{} // held while the registry is made or read
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

// Table returns a list as a table for the operators' page, in Markdown.
func Table(list []Metric) string {
	var text strings.Builder
	text.WriteString("| metric | type | labels | meaning |\n| --- | --- | --- | --- |\n")
	for _, metric := range list {
		labels := strings.Join(metric.Labels, ", ")
		fmt.Fprintf(&text, "| `%s` | %s | %s | %s |\n", metric.Name, metric.Kind, labels, metric.Help)
	}
	return text.String()
}

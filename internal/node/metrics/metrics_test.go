package metrics_test

import (
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	batch "sprucelane.example/sprucelane/internal/batch/server"
	"sprucelane.example/sprucelane/internal/control"
	"sprucelane.example/sprucelane/internal/gateway"
	"sprucelane.example/sprucelane/internal/node/metrics"
)

// page is the page on metrics for operators; -update-page rewrites its tables.
const page = "../../../docs/operate/metrics.md"

var updatePage = flag.Bool("update-page", false, "write the tables of "+page+" anew")

// roles are the lists of all roles, in the order of the page.
var roles = []struct {
	name string
	list []metrics.Metric
}{
	{"gateway", gateway.Metrics(nil)},
	{"control", control.Metrics(nil)},
	{"batch", batch.Metrics(nil)},
}

// TestPage compares the tables of the page with the metrics that the roles declare.
func TestPage(t *testing.T) {
	raw, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	want := string(raw)
	for _, role := range roles {
		begin, end := "<!-- metrics of "+role.name+" -->\n", "<!-- end -->"
		at := strings.Index(want, begin)
		if at < 0 {
			t.Fatalf("%s has no table of %s", page, role.name)
		}
		at += len(begin)
		length := strings.Index(want[at:], end)
		want = want[:at] + metrics.Table(role.list) + want[at+length:]
	}
	if want == string(raw) {
		return
	}
	if !*updatePage {
		t.Fatalf("%s differs from the metrics that the roles declare; -update-page writes it anew", page)
	}
	if err := os.WriteFile(page, []byte(want), 0o644); err != nil {
		t.Fatal(err)
	}
}

// TestConventions checks that all metrics follow the Prometheus naming conventions and have unique names.
func TestConventions(t *testing.T) {
	name := regexp.MustCompile(`^sprucelane_[a-z_]+$`)
	for _, role := range roles {
		seen := map[string]bool{}
		for _, metric := range role.list {
			counter := strings.HasSuffix(metric.Name, "_total")
			fits := name.MatchString(metric.Name) && counter == (metric.Kind == metrics.Counter) && metric.Help != ""
			if !fits || seen[metric.Name] {
				t.Errorf("%s: %+v", role.name, metric)
			}
			seen[metric.Name] = true
		}
	}
}

// get returns the response of a handler to a scrape.
func get(handler http.Handler) string {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return recorder.Body.String()
}

func TestHandler(t *testing.T) {
	list := []metrics.Metric{
		{Name: "sprucelane_a_total", Help: "As.", Kind: metrics.Counter, Labels: []string{"route"},
			Read: func(emit metrics.Emit) { emit.Value(3, "x\"y") }},
		{Name: "sprucelane_b", Help: "B.", Kind: metrics.Gauge, Read: func(emit metrics.Emit) { emit.Bool(true) }},
		{Name: "sprucelane_c_seconds", Help: "Cs.", Kind: metrics.Histogram,
			Read: func(emit metrics.Emit) { emit.Histogram([]float64{0.1, 1}, []uint64{2, 1, 4}, 9.5) }},
	}
	Convey("A handler serves the listed metrics and those of the runtime and the process", t, func() {
		made := 0
		handler := metrics.Handler(func() []metrics.Metric { made++; return list })
		So(made, ShouldEqual, 0) // list is not called before the first request
		text := get(handler)
		for _, line := range []string{
			"# TYPE sprucelane_a_total counter", `sprucelane_a_total{route="x\"y"} 3`, "sprucelane_b 1",
			`sprucelane_c_seconds_bucket{le="0.1"} 2`, `sprucelane_c_seconds_bucket{le="1"} 3`,
			`sprucelane_c_seconds_bucket{le="+Inf"} 7`, "sprucelane_c_seconds_sum 9.5", "sprucelane_c_seconds_count 7",
			"go_goroutines ", "process_resident_memory_bytes ",
		} {
			So(text, ShouldContainSubstring, line)
		}
		var all sync.WaitGroup
		for range 8 {
			all.Go(func() { get(handler) })
		}
		all.Wait()
		So(made, ShouldEqual, 1)
	})
}

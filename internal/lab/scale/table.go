package scale

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// tableHead names the columns of Row.
const tableHead = "members servers tenants start-s | control: busiest-% all-% peak-MB out-KB/s in-KB/s | a member: heap-MB updates/s quota-asks/s | changes ack-p50-ms ack-worst-ms in-force-p50-ms in-force-worst-ms missing"

// WriteHead writes the names of the columns.
func WriteHead(out io.Writer) { fmt.Fprintln(out, tableHead) }

// WriteRow writes a result as a line of the table.
func WriteRow(out io.Writer, r *Result) {
	var acknowledged, inForce []time.Duration
	missing := 0
	for _, one := range r.Changes {
		acknowledged = append(acknowledged, one.Acknowledged)
		inForce = append(inForce, one.InForce...)
		missing += one.Missing
	}
	const percent, kilo, mega = 100, 1e3, 1 << 20
	fmt.Fprintf(out, "%7d %7d %7d %7.1f | %9.1f %5.1f %7.1f %8.1f %7.1f | %7.2f %9.2f %12.2f | %7d %10.0f %12.0f %15.0f %17.0f %7d\n",
		r.Plan.Members, r.Plan.Servers, r.Plan.Tenants, r.Start.Seconds(),
		percent*r.Control.Busiest, percent*r.Control.All, float64(r.Control.Peak)/mega, r.Control.Sent/kilo, r.Control.Received/kilo,
		r.Held/mega, r.Messages, r.Asked, len(r.Changes),
		milliseconds(middle(acknowledged)), milliseconds(worst(acknowledged)), milliseconds(middle(inForce)), milliseconds(worst(inForce)),
		missing)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// middle gives the median, 0 of none.
func middle(list []time.Duration) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Clone(list)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

// worst gives the longest, 0 of none.
func worst(list []time.Duration) time.Duration {
	if len(list) == 0 {
		return 0
	}
	return slices.Max(list)
}

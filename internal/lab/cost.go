package lab

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/fake/poolmember"
)

// ServeCost is what a gateway's program takes to start, to stand and to serve.
type ServeCost struct {
	Ready  time.Duration // median over the starts
	Idle   int64         // bytes resident once ready, median
	Loaded int64         // and at their most under load
	CPU    time.Duration // for each request
}

// MeasureCost starts a program's gateway some times over, then loads one.
func MeasureCost(ctx context.Context, binary string, starts int, rate float64, length time.Duration, progress io.Writer) (c ServeCost, err error) {
	spec := poolmember.Default()
	spec.Cores, spec.Work = 64, poolmember.Work{Mean: 5 * time.Millisecond}
	asks := PlatformLoad(1, rate, 100, 1)
	for i := range asks.Plans {
		asks.Plans[i].Rate, asks.Plans[i].Burst = 1e6, 1e6
	}
	site, err := Open(Plan{Binary: binary, Seed: 1, Gateways: 1, Members: 8, Spec: spec, Load: asks})
	if err != nil {
		return c, err
	}
	defer site.Close()
	var ready []time.Duration
	var idle []int64
	for i := range starts {
		took, err := site.StartGateway(0, nil)
		if err != nil {
			return c, err
		}
		if err := Sleep(ctx, 300*time.Millisecond); err != nil {
			return c, err
		}
		u, err := site.Gateway(0).Usage()
		if err != nil {
			return c, err
		}
		ready, idle = append(ready, took), append(idle, u.RSS)
		if i < starts-1 {
			site.Gateway(0).Kill()
		}
	}
	slices.Sort(ready)
	slices.Sort(idle)
	c.Ready, c.Idle = ready[len(ready)/2], idle[len(idle)/2]
	before, err := site.Gateway(0).Usage()
	if err != nil {
		return c, err
	}
	site.Run(ctx, length)
	after, err := site.Gateway(0).Usage()
	if err != nil {
		return c, err
	}
	n := len(site.Generator.Records())
	c.Loaded, c.CPU = after.Peak, (after.CPU-before.CPU)/time.Duration(max(n, 1))
	fmt.Fprintf(progress, "%s: ready after %v, %.1f MB idle, %.1f MB under load, %v of CPU for each of %d requests\n", binary,
		c.Ready.Round(100*time.Microsecond), float64(c.Idle)/(1<<20), float64(c.Loaded)/(1<<20), c.CPU.Round(time.Microsecond), n)
	return c, nil
}

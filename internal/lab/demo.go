package lab

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"sprucelane.example/sprucelane/internal/fake/poolmember"
	"sprucelane.example/sprucelane/internal/lab/load"
)

// Demo is a small site with something going wrong every few seconds.
type Demo struct {
	Binary string
	Seed   uint64
	Rate   float64 // first tries a second
	For    time.Duration
	Live   bool // draw the table anew in place; else print it every few seconds
	Out    io.Writer
}

const (
	demoGateways, demoMembers = 3, 8
	drawEvery, printEvery     = 500 * time.Millisecond, 5 * time.Second
)

type happening struct {
	at   time.Duration
	what string
	do   func(*Site) error
}

func (d Demo) script() []happening {
	return []happening{
		{4 * time.Second, "m-003 takes work and answers none", func(s *Site) error { s.Member("m-003").Hang(); return nil }},
		{8 * time.Second, "m-005 restarts and is cold", func(s *Site) error { return s.Restart("m-005") }},
		{12 * time.Second, "m-003 answers again", func(s *Site) error { s.Member("m-003").Resume(); return nil }},
		{14 * time.Second, "gateway g1 is killed; the front notices a second later", func(s *Site) error { s.KillGateway(1, time.Second); return nil }},
		{18 * time.Second, "g1 is back", func(s *Site) error { _, err := s.StartGateway(1, nil); return err }},
		{21 * time.Second, "m-007 is told to drain", func(s *Site) error { s.Agent.Lifecycle("m-007", "draining"); return nil }},
		{24 * time.Second, "m-007 is gone, m-009 stands in, cold", func(s *Site) error {
			s.Remove("m-007")
			_, err := s.AddMember("m-009", time.Now(), nil)
			return err
		}},
	}
}

// Run plays the demo and ends with what the rules were kept by.
func (d Demo) Run(ctx context.Context) error {
	site, err := Open(Plan{Binary: d.Binary, Seed: d.Seed, Gateways: demoGateways, Members: demoMembers, Spec: poolmember.Default(),
		SlowPart: 0.4, Delay: 800 * time.Millisecond, Load: PlatformLoad(d.Seed, d.Rate, 24, demoGateways), Peers: true})
	if err != nil {
		return err
	}
	defer site.Close()
	for n := range demoGateways {
		if _, err := site.StartGateway(n, nil); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		site.Run(ctx, d.For)
	}()
	began, news := time.Now(), "all is well"
	left := d.script()
	every := printEvery
	if d.Live {
		every = drawEvery
	}
	beat := time.NewTicker(drawEvery)
	defer beat.Stop()
	drawn := time.Now()
	for {
		select {
		case <-done:
			d.draw(site, began, news)
			a := site.Audit()
			fmt.Fprintf(d.Out, "work-orders that ran twice: %d, sends to draining members after the grace: %d, cold budgets broken: %d\n",
				a.Twice, a.Late, a.ColdBroken)
			return nil
		case <-beat.C:
		}
		if len(left) > 0 && time.Since(began) >= left[0].at {
			news = left[0].what
			if err := left[0].do(site); err != nil {
				return err
			}
			left = left[1:]
			if !d.Live {
				fmt.Fprintf(d.Out, "%5.1f s: %s\n", time.Since(began).Seconds(), news)
			}
		}
		if time.Since(drawn) >= every {
			d.draw(site, began, news)
			drawn = time.Now()
		}
	}
}

// draw writes the state of everything as tables.
func (d Demo) draw(site *Site, began time.Time, news string) {
	if d.Live {
		fmt.Fprint(d.Out, "\x1b[H\x1b[2J")
	}
	now := time.Since(began)
	fmt.Fprintf(d.Out, "%.1f s of %v, %.0f requests a second, %s\n", now.Seconds(), d.For, d.Rate, news)
	records := site.Generator.Records()
	recent := func(door int) load.Sum {
		return load.Summarise(records, site.Load.Classes, func(r load.Record) bool {
			return r.Door == door && r.At > now-10*time.Second
		})
	}
	t := table.NewWriter()
	t.SetOutputMirror(d.Out)
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{"gateway", "state", "tries 10 s", "worth in time", "refused", "failed", "p50", "p99", "memory"})
	for n := range site.Gateways {
		sum, state, memory := recent(n), "down", "-"
		if p := site.Gateway(n); p != nil {
			if u, err := p.Usage(); err == nil && u.RSS > 0 {
				state, memory = "up", fmt.Sprintf("%d MB", u.RSS>>20)
			}
		}
		failed := sum.Tries - sum.Ends[load.Served] - sum.Ends[load.Refused]
		t.AppendRow(table.Row{fmt.Sprintf("g%d", n), state, sum.Tries, fmt.Sprintf("%.1f%%", 100*sum.Share()), sum.Ends[load.Refused],
			failed, sum.Quantile(50).Round(time.Millisecond), sum.Quantile(99).Round(time.Millisecond), memory})
	}
	t.Render()
	t = table.NewWriter()
	t.SetOutputMirror(d.Out)
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{"member", "warm", "sent", "served", "swallowed", "turned away", "late", "of cold budget"})
	for i := range demoMembers + 1 {
		id := fmt.Sprintf("m-%03d", i+1)
		m := site.Member(id)
		if m == nil {
			continue
		}
		a, swallowed := m.Account(), uint64(0)
		for _, n := range a.Swallowed {
			swallowed += n
		}
		t.AppendRow(table.Row{id, fmt.Sprintf("%.0f%%", 100*m.Warmth()), a.Sent, a.Served, swallowed, a.TurnedAway, a.Late,
			fmt.Sprintf("%.0f%%", 100*a.PeakCold)})
	}
	t.Render()
}

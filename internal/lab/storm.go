package lab

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"sprucelane.example/sprucelane/internal/fake/poolmember"
	"sprucelane.example/sprucelane/internal/lab/load"
)

// Storm is the plan of the measurement of retry storms: all members are stopped for a while and come back cold, while
// clients that want to be served come back again and again.
type Storm struct {
	Binary   string
	Seeds    []uint64
	Models   []load.Model
	Heeds    float64
	Parallel int
	Members  int
	Load     float64 // of what all members can do when warm
	Warm     time.Duration
	Outage   time.Duration
	After    time.Duration
	Patience time.Duration
	Dir      string // for the gateways' files and logs; empty: a temporary one
	Progress io.Writer
}

// StormRun is what one arm of one seed and model came to.
type StormRun struct {
	Seed       uint64
	Model      string
	Damped     bool
	Back       time.Duration // from the restore until goodput stays above 0.95 of what it was; After: never
	Goodput    float64       // before the outage: share of the worth asked for that was served in time
	Worth      float64       // served after the restore at whatever time, over what was served in as long before
	PeakCold   float64       // most that a cold member was sent, over what it could bear
	Fell       int           // members that were sent more than they could bear
	Spread     float64       // returns after the restore: the busiest 250 ms over the mean
	Tries      float64       // a request
	Twice      uint64
	InTime     float64   // share of the worth asked for after the restore that was served in time
	Refused    float64   // share of the first tries after the restore, inside the quotas, that ended refused
	Unanswered int       // tries that had no answer at all
	Course     []float64 // share of what was asked for in each two seconds after the restore that was served in time
}

// stormSpec is a member of the measurement: slow, so that few requests make a storm.
func stormSpec() poolmember.Spec {
	s := poolmember.Default()
	s.Cores, s.Speed, s.Queue = 2, 1, 24
	s.Work.Mean = 400 * time.Millisecond
	s.WarmWithin = 16 * time.Second
	return s
}

const damped, undamped = true, false

// Run plays every model and seed, damped and not, side by side.
func (p Storm) Run(ctx context.Context) ([]StormRun, error) {
	type storm struct {
		seed  uint64
		model load.Model
	}
	var storms []storm
	for _, seed := range p.Seeds {
		for _, m := range p.Models {
			storms = append(storms, storm{seed, m})
		}
	}
	return sideBySide(p.Parallel, storms, []bool{undamped, damped}, func(s storm, damp bool) (StormRun, error) {
		run, err := p.play(ctx, s.seed, s.model, damp)
		if err != nil {
			return run, fmt.Errorf("seed %d, %s: %w", s.seed, s.model.Name, err)
		}
		fmt.Fprintf(p.Progress, "seed=%d model=%-9s damped=%-5t back=%5.1fs worth=%.3f in_time=%.3f peak_cold=%.2f fell=%d spread=%.1f tries=%.1f twice=%d unanswered=%d usual=%.3f course=%.2f\n",
			s.seed, s.model.Name, damp, run.Back.Seconds(), run.Worth, run.InTime, run.PeakCold, run.Fell, run.Spread, run.Tries, run.Twice,
			run.Unanswered, run.Goodput, run.Course)
		return run, nil
	})
}

func (p Storm) play(ctx context.Context, seed uint64, model load.Model, damp bool) (run StormRun, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	spec := stormSpec()
	rate := p.Load * float64(p.Members) * spec.Capacity()
	asks := stormLoad(seed, rate, false)
	model.Patience = p.Patience
	asks.Model, asks.Heeds = &model, p.Heeds
	dir := ""
	if p.Dir != "" {
		dir = filepath.Join(p.Dir, fmt.Sprintf("%d-%s-%t", seed, model.Name, damp))
	}
	site, err := Open(Plan{Binary: p.Binary, Dir: dir, Seed: seed, Gateways: 3, Members: p.Members, Spec: spec, Delay: 500 * time.Millisecond,
		Load: asks, Peers: true, MostWait: 8 * time.Second})
	if err != nil {
		return run, err
	}
	defer site.Close()
	var file map[string]any
	if damp {
		file = map[string]any{"storm": map[string]any{}}
	}
	for n := range 3 {
		if _, err := site.StartGateway(n, file); err != nil {
			return run, err
		}
	}
	script := make(chan error, 1)
	var restored time.Duration
	go func() {
		script <- func() error {
			if err := Sleep(ctx, p.Warm); err != nil {
				return err
			}
			for _, id := range site.MemberIDs() { // the list doesn't know
				site.Member(id).Stop()
			}
			if err := Sleep(ctx, p.Outage); err != nil {
				return err
			}
			for _, id := range site.MemberIDs() {
				if err := site.Restart(id); err != nil {
					return err
				}
			}
			restored = time.Since(site.Began)
			return nil
		}()
	}()
	site.Run(ctx, p.Warm+p.Outage+p.After)
	if err := <-script; err != nil {
		return run, err
	}
	run = StormRun{Seed: seed, Model: model.Name, Damped: damp}
	records := site.Generator.Records()
	run.reckon(records, site.Load.Classes, p.Warm, restored, p.After)
	run.Spread = spread(site.Generator.Returns(), restored)
	site.mu.Lock()
	for _, m := range site.members {
		a := m.Account()
		run.PeakCold = max(run.PeakCold, a.PeakCold*spec.FallMultiple)
		if a.ColdBroken > 0 {
			run.Fell++
		}
	}
	site.mu.Unlock()
	run.Twice = site.Ledger.Twice()
	return run, nil
}

// reckon draws the figures of goodput from the records. Goodput is the share of the worth of first tries meant for a
// stretch of time that was served within the aim: measured against what was asked in the same stretch, so that neither
// a busy moment nor the backlog of the outage passes for recovery.
func (r *StormRun) reckon(records []load.Record, classes []load.Class, warm, restored, after time.Duration) {
	const settle, window, step = 3 * time.Second, 4 * time.Second, 500 * time.Millisecond
	share := func(from, to time.Duration) float64 {
		return load.Summarise(records, classes, func(x load.Record) bool { return x.At >= from && x.At < to }).Share()
	}
	tries, before, later := 0, 0.0, 0.0
	refused, inside := 0.0, 0.0
	for _, x := range records {
		tries += x.Tries
		if x.End == load.GivenUp || x.End == load.Broken {
			r.Unanswered++
		}
		if x.At >= restored && x.At < restored+after && x.Inside {
			inside++
			if x.End == load.Refused {
				refused++
			}
		}
		if x.End != load.Served {
			continue
		}
		if x.Done() >= settle && x.Done() < warm {
			before += x.Worth
		} else if x.Done() >= restored && x.Done() < restored+after {
			later += x.Worth
		}
	}
	r.Tries = float64(tries) / float64(max(len(records), 1))
	r.Worth = later / after.Seconds() / (before / (warm - settle).Seconds())
	r.Refused = refused / max(inside, 1)
	r.Goodput, r.InTime = share(settle, warm), share(restored, restored+after)
	for at := restored; at+2*time.Second <= restored+after; at += 2 * time.Second {
		r.Course = append(r.Course, share(at, at+2*time.Second))
	}
	for at := restored; at+window <= restored+after; at += step {
		if share(at, at+window) < backShare*r.Goodput {
			r.Back = at + window - restored
		}
	}
}

// backShare is the part of the goodput before the outage at which service counts as back.
const backShare = 0.95

// spread is the busiest quarter of a second of returns over the mean, in the ten seconds from a moment on.
func spread(returns []load.Return, from time.Duration) float64 {
	const step, over = 250 * time.Millisecond, 10 * time.Second
	buckets := make([]float64, over/step)
	sum := 0.0
	for _, r := range returns {
		if i := int((r.At - from) / step); r.At >= from && i < len(buckets) {
			buckets[i]++
			sum++
		}
	}
	if sum == 0 {
		return 0
	}
	return slices.Max(buckets) / (sum / float64(len(buckets)))
}

// Days are busy days without a storm.
var Days = []string{"peak", "hot customer", "deploy of the clients", "slow member"}

// Calm plays a day without a storm, damped, and tells how many storms the gateways saw.
func (p Storm) Calm(ctx context.Context, seed uint64, day string) (alarms int, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	const length = 24 * time.Second
	spec := stormSpec()
	asks := stormLoad(seed, p.Load*float64(p.Members)*spec.Capacity(), day == "hot customer")
	asks.Heeds = p.Heeds
	if day == "peak" {
		asks.Rate *= 1.5
	}
	site, err := Open(Plan{Binary: p.Binary, Seed: seed, Gateways: 3, Members: p.Members, Spec: spec, Delay: 500 * time.Millisecond,
		Load: asks, Peers: true, MostWait: 8 * time.Second})
	if err != nil {
		return 0, err
	}
	defer site.Close()
	for n := range 3 {
		if _, err := site.StartGateway(n, map[string]any{"storm": map[string]any{}}); err != nil {
			return 0, err
		}
	}
	script := make(chan error, 1)
	go func() {
		script <- func() error {
			if err := Sleep(ctx, length/2); err != nil {
				return err
			}
			switch day {
			case "deploy of the clients": // all connections anew, and a second's work asked for at once
				site.Generator.Reconnect()
				again := site.Load
				again.Seed, again.Rate = seed+1000, 2*asks.Rate
				burst, err := load.New(again, site.Doors)
				if err != nil {
					return err
				}
				burst.Run(ctx, time.Now(), time.Second/2)
			case "slow member":
				site.Member("m-001").Pause(6 * time.Second)
			}
			return nil
		}()
	}()
	site.Run(ctx, length)
	if err := <-script; err != nil {
		return 0, err
	}
	for n := range 3 {
		if err := site.Gateway(n).Stop(30 * time.Second); err != nil {
			return 0, err
		}
		var storms int
		_, rest, ok := strings.Cut(site.Gateway(n).Log(), "event=stopped part=storm")
		_, rest, found := strings.Cut(rest, " storms=")
		if _, err := fmt.Sscanf(rest, "%d", &storms); !ok || !found || err != nil {
			return 0, fmt.Errorf("gateway %d: no counters of storms in its log", n)
		}
		alarms += storms
	}
	return alarms, nil
}

// stormLoad is the platform's traffic with aims that members of the measurement can meet, and quotas that are not the
// subject unless they are wanted.
func stormLoad(seed uint64, rate float64, quotas bool) load.Options {
	asks := PlatformLoad(seed, rate, 60, 3)
	for i := range asks.Classes {
		asks.Classes[i].Aim, asks.Classes[i].Deadline = 3*time.Second, 6*time.Second
	}
	for i := range asks.Plans {
		if !quotas {
			asks.Plans[i].Rate, asks.Plans[i].Burst = 1000, 10000
		}
	}
	if quotas {
		asks.HeavyX = 20
	}
	return asks
}

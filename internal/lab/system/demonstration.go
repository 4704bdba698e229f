package system

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Demonstration is a whole system under a light load, with a fault on the way.
type Demonstration struct {
	Plan     Plan
	Rate     float64       // requests a second
	For      time.Duration // how long the load lasts; 0: until the context ends
	BatchJob int           // items of each batch job
	Fault    bool          // kill a control process after a quarter of the time, and start it again
	Live     bool          // draw the table anew in place; else print it every few seconds
	Out      io.Writer
}

const (
	startWithin   = 30 * time.Second
	batchEvery    = 5 * time.Second
	drawEvery     = 500 * time.Millisecond
	printEvery    = 5 * time.Second
	faultLasts    = 3 * time.Second
	faultWithout  = 15 * time.Second // until the fault where no length is given
	sessions      = 8
	mostOpen      = 200 // requests open at once
	pollBatch     = 300 * time.Millisecond
	longestAnswer = time.Minute
)

// Run starts the system, puts a configuration, loads it, and ends it all.
func (d Demonstration) Run(ctx context.Context) (err error) {
	fleet, err := Open(d.Plan)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, fleet.Close()) }()
	began := time.Now()
	if err := d.begin(ctx, fleet); err != nil {
		return err
	}
	fmt.Fprintf(d.Out, "%d processes serve after %.1f s; control answers at %v\n", len(fleet.processes), time.Since(began).Seconds(),
		fleet.Operator().Addresses)
	if d.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.For)
		defer cancel()
	}
	return d.play(ctx, fleet)
}

func (d Demonstration) begin(ctx context.Context, fleet *Fleet) error {
	ctx, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	if err := fleet.StartAll(); err != nil {
		return err
	}
	if err := fleet.Put(ctx, 0, Configuration(1)); err != nil {
		return err
	}
	return fleet.WaitServing(ctx, NewClient(TenantKey))
}

func (d Demonstration) play(ctx context.Context, fleet *Fleet) error {
	counts := newCounts(fleet)
	var all sync.WaitGroup
	defer all.Wait()
	all.Go(func() { d.stream(ctx, counts) })
	all.Go(func() { d.batch(ctx, counts) })
	news := make(chan string, 4)
	if d.Fault {
		all.Go(func() { d.fault(ctx, fleet, news) })
	}
	screen := &screen{out: d.Out, live: d.Live, began: time.Now(), news: "all is well"}
	every := printEvery
	if d.Live {
		every = drawEvery
	}
	beat := time.NewTicker(every)
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			screen.draw(fleet, counts)
			return nil
		case text := <-news:
			screen.tell(text)
		case <-beat.C:
			screen.draw(fleet, counts)
		}
	}
}

// stream sends requests in an open loop, each to a gateway drawn by chance. Requests that were refused aren't sent again.
func (d Demonstration) stream(ctx context.Context, counts *counts) {
	client := NewClient(TenantKey)
	open := make(chan struct{}, mostOpen)
	var requests sync.WaitGroup
	defer requests.Wait()
	for number := 0; ; number++ {
		pause := time.Duration(rand.ExpFloat64() / d.Rate * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		select {
		case open <- struct{}{}:
		default:
			continue // the system stands still; what comes now is not asked at all
		}
		m := counts.pick()
		requests.Go(func() {
			defer func() { <-open }()
			counts.ended(m, client.Stream(context.WithoutCancel(ctx), m, fmt.Sprintf("stream-%d", number), number%sessions))
		})
	}
}

// batch submits a batch job every few seconds, and reads the results of each until all are there.
func (d Demonstration) batch(ctx context.Context, counts *counts) {
	client := NewClient(TenantKey)
	var jobs sync.WaitGroup
	defer jobs.Wait()
	for number := 0; ; number++ {
		jobs.Go(func() { d.batchJob(ctx, client, counts, fmt.Sprintf("job-%d", number)) })
		select {
		case <-ctx.Done():
			return
		case <-time.After(batchEvery):
		}
	}
}

func (d Demonstration) batchJob(ctx context.Context, client *Client, counts *counts, job string) {
	for client.Submit(ctx, counts.pick(), job, d.BatchJob) != http.StatusAccepted {
		if !sleep(ctx, pollBatch) {
			return
		}
	}
	counts.batchTaken(d.BatchJob)
	for listed := 0; listed < d.BatchJob; {
		status, results := client.Read(ctx, counts.pick(), job, listed)
		if status == http.StatusOK {
			counts.batchListed(results.Results)
			listed += len(results.Results)
			continue
		}
		if !sleep(ctx, pollBatch) {
			return
		}
	}
}

// fault kills a control process and starts it again.
func (d Demonstration) fault(ctx context.Context, fleet *Fleet, news chan<- string) {
	wait := d.For / 4
	if wait == 0 {
		wait = faultWithout
	}
	m := fleet.Machine(RoleControl, fleet.Plan.Zones[0])
	if !sleep(ctx, wait) {
		return
	}
	fleet.Process(m, RoleControl).Kill()
	news <- "control on " + m.Name + " is killed"
	if !sleep(ctx, faultLasts) {
		return
	}
	if err := fleet.Restart(m, RoleControl); err != nil {
		news <- err.Error()
		return
	}
	news <- "control on " + m.Name + " is started again"
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// counts are what the clients saw.
type counts struct {
	machines []Machine // with gateways

	mu       sync.Mutex
	gateways map[string]*gatewayCounts
	batch    batchCounts
}

type gatewayCounts struct {
	asked, served, refused, failed int
	first                          *hdrhistogram.Histogram // microseconds until the first event of served requests
	problem                        string                  // of the latest that failed
}

type batchCounts struct{ taken, completed, dead, wrong int }

func newCounts(fleet *Fleet) *counts {
	c := &counts{gateways: map[string]*gatewayCounts{}}
	for _, m := range fleet.Machines {
		if m.Class == "front" {
			c.machines = append(c.machines, m)
			c.gateways[m.Name] = &gatewayCounts{first: hdrhistogram.New(1, longestAnswer.Microseconds(), 3)}
		}
	}
	return c
}

func (c *counts) pick() Machine { return c.machines[rand.IntN(len(c.machines))] }

func (c *counts) ended(m Machine, outcome Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	gateway := c.gateways[m.Name]
	gateway.asked++
	switch {
	case outcome.Whole:
		gateway.served++
		_ = gateway.first.RecordValue(min(max(outcome.FirstEvent.Microseconds(), 1), longestAnswer.Microseconds()))
	case outcome.Refused():
		gateway.refused++
	default:
		gateway.failed++
		gateway.problem = outcome.Problem
	}
}

func (c *counts) batchTaken(items int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.batch.taken += items
}

func (c *counts) batchListed(results []BatchResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, one := range results {
		switch {
		case one.Whole():
			c.batch.completed++
		case one.State == "dead_letter":
			c.batch.dead++
		default:
			c.batch.wrong++
		}
	}
}

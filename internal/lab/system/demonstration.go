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
	Options     Options
	Rate        float64       // requests a second
	Duration    time.Duration // how long the load lasts; 0: until the context ends
	ItemsPerJob int           // items of each batch job
	Fault       bool          // kill a control process after a quarter of the time, and start it again
	Live        bool          // draw the table anew in place; else print it every few seconds
	Output      io.Writer
}

const (
	startTimeout      = 30 * time.Second
	batchInterval     = 5 * time.Second
	redrawInterval    = 500 * time.Millisecond
	printInterval     = 5 * time.Second
	faultDuration     = 3 * time.Second
	defaultFaultDelay = 15 * time.Second // until the fault where no length is given
	sessions          = 8
	maxOpenRequests   = 200 // requests open at once
	batchPollInterval = 300 * time.Millisecond
	maxLatency        = time.Minute
)

// Run starts the system, puts a configuration, loads it, and ends it all.
func (d Demonstration) Run(ctx context.Context) (err error) {
	fleet, err := Open(d.Options)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, fleet.Close()) }()
	began := time.Now()
	if err := d.begin(ctx, fleet); err != nil {
		return err
	}
	fmt.Fprintf(d.Output, "%d processes serve after %.1f s; control answers at %v\n", len(fleet.processes), time.Since(began).Seconds(),
		fleet.Operator().Addresses)
	if d.Duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.Duration)
		defer cancel()
	}
	return d.play(ctx, fleet)
}

func (d Demonstration) begin(ctx context.Context, fleet *Cluster) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := fleet.StartAll(); err != nil {
		return err
	}
	if err := fleet.PutConfiguration(ctx, 0, Configuration(1)); err != nil {
		return err
	}
	return fleet.WaitServing(ctx, NewClient(TenantKey))
}

func (d Demonstration) play(ctx context.Context, fleet *Cluster) error {
	counts := newClientCounts(fleet)
	var all sync.WaitGroup
	defer all.Wait()
	all.Go(func() { d.stream(ctx, counts) })
	all.Go(func() { d.batch(ctx, counts) })
	news := make(chan string, 4)
	if d.Fault {
		all.Go(func() { d.fault(ctx, fleet, news) })
	}
	screen := &statusScreen{out: d.Output, live: d.Live, began: time.Now(), status: "all is well"}
	every := printInterval
	if d.Live {
		every = redrawInterval
	}
	beat := time.NewTicker(every)
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			screen.draw(fleet, counts)
			return nil
		case text := <-news:
			screen.setStatus(text)
		case <-beat.C:
			screen.draw(fleet, counts)
		}
	}
}

// stream sends requests in an open loop, each to a gateway drawn by chance. Requests that were refused aren't sent again.
func (d Demonstration) stream(ctx context.Context, counts *clientCounts) {
	client := NewClient(TenantKey)
	open := make(chan struct{}, maxOpenRequests)
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
		m := counts.randomMachine()
		requests.Go(func() {
			defer func() { <-open }()
			counts.record(m, client.Stream(context.WithoutCancel(ctx), m, fmt.Sprintf("stream-%d", number), number%sessions))
		})
	}
}

// batch submits a batch job every few seconds, and reads the results of each until all are there.
func (d Demonstration) batch(ctx context.Context, counts *clientCounts) {
	client := NewClient(TenantKey)
	var jobs sync.WaitGroup
	defer jobs.Wait()
	for number := 0; ; number++ {
		jobs.Go(func() { d.batchJob(ctx, client, counts, fmt.Sprintf("job-%d", number)) })
		select {
		case <-ctx.Done():
			return
		case <-time.After(batchInterval):
		}
	}
}

func (d Demonstration) batchJob(ctx context.Context, client *Client, counts *clientCounts, job string) {
	for client.Submit(ctx, counts.randomMachine(), job, d.ItemsPerJob) != http.StatusAccepted {
		if !sleep(ctx, batchPollInterval) {
			return
		}
	}
	counts.batchAccepted(d.ItemsPerJob)
	for listed := 0; listed < d.ItemsPerJob; {
		status, results := client.Read(ctx, counts.randomMachine(), job, listed)
		if status == http.StatusOK {
			counts.batchListed(results.Results)
			listed += len(results.Results)
			continue
		}
		if !sleep(ctx, batchPollInterval) {
			return
		}
	}
}

// fault kills a control process and starts it again.
func (d Demonstration) fault(ctx context.Context, fleet *Cluster, news chan<- string) {
	wait := d.Duration / 4
	if wait == 0 {
		wait = defaultFaultDelay
	}
	m := fleet.Machine(RoleControl, fleet.Options.Zones[0])
	if !sleep(ctx, wait) {
		return
	}
	fleet.Process(m, RoleControl).Kill()
	news <- "control on " + m.Name + " is killed"
	if !sleep(ctx, faultDuration) {
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
type clientCounts struct {
	machines []Machine // with gateways

	mu       sync.Mutex
	gateways map[string]*gatewayCounts
	batch    batchCounts
}

type gatewayCounts struct {
	sent, served, rejected, failed int
	firstEvent                     *hdrhistogram.Histogram // microseconds until the first event of served requests
	lastProblem                    string                  // of the latest that failed
}

type batchCounts struct{ accepted, completed, deadLettered, wrong int }

func newClientCounts(fleet *Cluster) *clientCounts {
	c := &clientCounts{gateways: map[string]*gatewayCounts{}}
	for _, m := range fleet.Machines {
		if m.Class == "front" {
			c.machines = append(c.machines, m)
			c.gateways[m.Name] = &gatewayCounts{firstEvent: hdrhistogram.New(1, maxLatency.Microseconds(), 3)}
		}
	}
	return c
}

func (c *clientCounts) randomMachine() Machine { return c.machines[rand.IntN(len(c.machines))] }

func (c *clientCounts) record(m Machine, outcome Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	gateway := c.gateways[m.Name]
	gateway.sent++
	switch {
	case outcome.Complete:
		gateway.served++
		_ = gateway.firstEvent.RecordValue(min(max(outcome.FirstEvent.Microseconds(), 1), maxLatency.Microseconds()))
	case outcome.Rejected():
		gateway.rejected++
	default:
		gateway.failed++
		gateway.lastProblem = outcome.Problem
	}
}

func (c *clientCounts) batchAccepted(items int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.batch.accepted += items
}

func (c *clientCounts) batchListed(results []BatchResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, one := range results {
		switch {
		case one.Complete():
			c.batch.completed++
		case one.State == "dead_letter":
			c.batch.deadLettered++
		default:
			c.batch.wrong++
		}
	}
}

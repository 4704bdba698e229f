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
)

// Demonstration runs a whole system under a light load, with one fault on the way.
type Demonstration struct {
	// Options configure the cluster.
	Options Options
	// Rate is the mean rate of streaming requests, per second.
	Rate float64
	// Duration is how long the load lasts. 0: until the context ends.
	Duration time.Duration
	// ItemsPerJob is the number of items of each batch job. A job is submitted every five seconds.
	ItemsPerJob int
	// Fault has a control process killed after a quarter of the duration, and started again.
	Fault bool
	// Live redraws the table in place twice a second. Otherwise it is printed every five seconds.
	Live bool
	// Output receives the table.
	Output io.Writer
}

const (
	startTimeout   = 30 * time.Second
	batchInterval  = 5 * time.Second
	redrawInterval = 500 * time.Millisecond
	printInterval  = 5 * time.Second
	faultDuration  = 3 * time.Second
	// defaultFaultDelay is the time until the fault where no duration is given.
	defaultFaultDelay = 15 * time.Second
	sessions          = 8
	maxOpenRequests   = 200
	batchPollInterval = 300 * time.Millisecond
)

// Run starts the system, puts a configuration, applies load, and stops everything.
func (d Demonstration) Run(ctx context.Context) (err error) {
	cluster, err := Open(d.Options)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, cluster.Close()) }()
	began := time.Now()
	if err := d.start(ctx, cluster); err != nil {
		return err
	}
	fmt.Fprintf(d.Output, "%d processes serve after %.1f s; control answers at %v\n", len(cluster.processes),
		time.Since(began).Seconds(), cluster.Operator().Addresses)
	if d.Duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.Duration)
		defer cancel()
	}
	return d.play(ctx, cluster)
}

// start starts the system and waits until every gateway serves.
func (d Demonstration) start(ctx context.Context, cluster *Cluster) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := cluster.StartAll(); err != nil {
		return err
	}
	if err := cluster.PutConfiguration(ctx, 0, Configuration(1)); err != nil {
		return err
	}
	return cluster.WaitServing(ctx, NewClient(TenantKey))
}

// play applies load and draws the table until the context ends.
func (d Demonstration) play(ctx context.Context, cluster *Cluster) error {
	counts := newClientCounts(cluster)
	var activities sync.WaitGroup
	defer activities.Wait()
	activities.Go(func() { d.generateStreams(ctx, counts) })
	activities.Go(func() { d.generateJobs(ctx, counts) })
	statuses := make(chan string, 4) // as many as injectFault sends at most
	if d.Fault {
		activities.Go(func() { d.injectFault(ctx, cluster, statuses) })
	}
	screen := &statusScreen{out: d.Output, live: d.Live, began: time.Now(), status: "all is well"}
	interval := printInterval
	if d.Live {
		interval = redrawInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			screen.draw(cluster, counts)
			return nil
		case status := <-statuses:
			screen.setStatus(status)
		case <-ticker.C:
			screen.draw(cluster, counts)
		}
	}
}

// generateStreams sends streaming requests in an open loop, each to a random gateway. Rejected requests
// aren't sent again.
func (d Demonstration) generateStreams(ctx context.Context, counts *clientCounts) {
	client := NewClient(TenantKey)
	inFlight := make(chan struct{}, maxOpenRequests)
	var requests sync.WaitGroup
	defer requests.Wait()
	for number := 0; ; number++ {
		if !sleep(ctx, time.Duration(rand.ExpFloat64()/d.Rate*float64(time.Second))) {
			return
		}
		select {
		case inFlight <- struct{}{}:
		default:
			continue // the system is stalled: requests that are due now are not sent
		}
		m := counts.randomMachine()
		requests.Go(func() {
			defer func() { <-inFlight }()
			id := fmt.Sprintf("stream-%d", number)
			counts.record(m, client.Stream(context.WithoutCancel(ctx), m, id, number%sessions))
		})
	}
}

// generateJobs submits a batch job every batchInterval, and reads the results of each until all are there.
func (d Demonstration) generateJobs(ctx context.Context, counts *clientCounts) {
	client := NewClient(TenantKey)
	var jobs sync.WaitGroup
	defer jobs.Wait()
	for number := 0; ; number++ {
		jobs.Go(func() { d.runJob(ctx, client, counts, fmt.Sprintf("job-%d", number)) })
		if !sleep(ctx, batchInterval) {
			return
		}
	}
}

func (d Demonstration) runJob(ctx context.Context, client *Client, counts *clientCounts, job string) {
	for client.Submit(ctx, counts.randomMachine(), job, d.ItemsPerJob) != http.StatusAccepted {
		if !sleep(ctx, batchPollInterval) {
			return
		}
	}
	counts.batchAccepted(d.ItemsPerJob)
	for read := 0; read < d.ItemsPerJob; {
		status, results := client.Read(ctx, counts.randomMachine(), job, read)
		if status == http.StatusOK {
			counts.batchRead(results.Results)
			read += len(results.Results)
			continue
		}
		if !sleep(ctx, batchPollInterval) {
			return
		}
	}
}

// injectFault kills a control process and starts it again.
func (d Demonstration) injectFault(ctx context.Context, cluster *Cluster, statuses chan<- string) {
	delay := d.Duration / 4
	if delay == 0 {
		delay = defaultFaultDelay
	}
	m := cluster.Machine(RoleControl, cluster.Options.Zones[0])
	if !sleep(ctx, delay) {
		return
	}
	cluster.Process(m, RoleControl).Kill()
	statuses <- "control on " + m.Name + " is killed"
	if !sleep(ctx, faultDuration) {
		return
	}
	if err := cluster.Restart(m, RoleControl); err != nil {
		statuses <- err.Error()
		return
	}
	statuses <- "control on " + m.Name + " is started again"
}

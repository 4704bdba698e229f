package system

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxLatency is the largest latency that is told from larger ones.
const maxLatency = time.Minute

// clientCounts are what the clients of a demonstration observed.
type clientCounts struct {
	machines []Machine // with gateways

	mu       sync.Mutex // guards the fields below, and the counts in them
	gateways map[string]*gatewayCounts
	batch    batchCounts
}

// gatewayCounts count the streaming requests to one gateway.
type gatewayCounts struct {
	sent, served, rejected, failed int
	firstEvent                     *hdrhistogram.Histogram // microseconds until the first event of served requests
	lastProblem                    string                  // of the latest that failed
}

// batchCounts count items of batch jobs.
type batchCounts struct{ accepted, completed, deadLettered, wrong int }

func newClientCounts(cluster *Cluster) *clientCounts {
	c := &clientCounts{machines: cluster.FrontMachines(), gateways: map[string]*gatewayCounts{}}
	for _, m := range c.machines {
		c.gateways[m.Name] = &gatewayCounts{firstEvent: hdrhistogram.New(1, maxLatency.Microseconds(), 3)}
	}
	return c
}

// randomMachine returns a random machine with a gateway.
func (c *clientCounts) randomMachine() Machine { return c.machines[rand.IntN(len(c.machines))] }

// record counts the outcome of a streaming request.
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

// batchRead counts results that were read for the first time.
func (c *clientCounts) batchRead(results []BatchResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, result := range results {
		switch {
		case result.Complete():
			c.batch.completed++
		case result.State == stateDeadLetter:
			c.batch.deadLettered++
		default:
			c.batch.wrong++
		}
	}
}

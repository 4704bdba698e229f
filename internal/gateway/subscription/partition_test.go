package subscription

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/quota"
)

// This file tests a partition in which a gateway and one control process, which is the head of the chain and the
// allocator of quota, reach only each other for twenty seconds.
const (
	partitionAt     = 6 * time.Second
	partitionLength = 20 * time.Second
	sampleInterval  = 100 * time.Millisecond
	leaderLease     = 800 * time.Millisecond // how long a head leads after the last proof of its epoch, as in coord/replica
	quotaRate       = 20
	quotaPause      = 600 * time.Millisecond // maximum time between two tokens of a lease
	partitionRuns   = 2
	subscribeTime   = 6 * time.Second // within which a gateway subscribes to the only control process that it reaches
)

// partition records what a gateway in a partition does. For each kind of action it has the time of the last one
// during the partition, from its beginning, and of the first one after the partition, from its end.
type partition struct {
	*harness
	gateway    *simGateway
	quota      *simQuota
	began      time.Duration // when the partition began; 0: it hasn't yet
	lastWithin map[string]time.Duration
	firstAfter map[string]time.Duration
	tokenAt    time.Duration // when the gateway last got a token
	rows       []string
}

// simQuota is the quota client of a gateway and the allocator in the control process.
type simQuota struct {
	harness   *harness
	control   *simControl
	client    *quota.Client
	allocator *quota.Allocator
	tenant    *configuration.Tenant
}

func newSimQuota(h *harness, c *simControl) *simQuota {
	rules := quota.Rules{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}
	q := &simQuota{harness: h, control: c, tenant: &configuration.Tenant{Name: "t", RatePerSec: quotaRate, Burst: quotaRate},
		client:    quota.NewClient(quota.ClientOptions{Process: protocol.Process{Node: "g", Incarnation: "1"}}),
		allocator: quota.NewAllocator(quota.AllocatorOptions{Rules: rules})}
	q.allocator.ConfigureTenants([]configuration.Tenant{*q.tenant})
	q.allocator.Start(0, time.Hour, nil, nil)
	h.every(10*time.Millisecond, q.sendRequest)
	return q
}

// sendRequest sends the client's request to the allocator, as package quotaclient does. The allocator answers only
// while its process leads.
func (q *simQuota) sendRequest() {
	now := q.harness.Elapsed()
	request, due := q.client.NextRequest(now)
	if !due {
		return
	}
	if now >= q.control.freshSince+leaderLease {
		q.client.HandleReply(now, &protocol.QuotaReply{Sequence: request.Sequence})
		return
	}
	reply := q.allocator.Request(now, request)
	q.harness.After(2*time.Millisecond, func() { q.client.HandleReply(q.harness.Elapsed(), &reply) })
}

// take takes a token. If it must wait for one, it resolves or cancels the wait a little later.
func (q *simQuota) take(then func(admitted bool)) {
	verdict := q.client.Take(q.harness.Elapsed(), q.tenant)
	if !verdict.Wait {
		then(verdict.Admit)
		return
	}
	q.harness.After(30*time.Millisecond, func() {
		now := q.harness.Elapsed()
		if verdict := q.client.Resolve(now, q.tenant); verdict.Wait {
			q.client.Cancel(now, q.tenant)
			then(false)
		} else {
			then(verdict.Admit)
		}
	})
}

func (p *partition) record(what string) {
	at := p.Elapsed() - p.began
	switch {
	case p.began == 0:
	case at < partitionLength:
		p.lastWithin[what] = at
	case p.firstAfter[what] == 0:
		p.firstAfter[what] = at - partitionLength
	}
}

// sample has the gateway perform one action of each kind and records the results.
func (p *partition) sample(at time.Duration) {
	g := p.gateway
	row := map[string]string{"readyz": "503"}
	if g.ready() {
		row["readyz"] = "200"
		p.record("readyz")
	}
	for name, q := range map[string]*simRequest{
		"keyed": {gateway: g, key: stableKey, route: stableRoute}, "public": {gateway: g, route: openRoute},
		"unknown key": {gateway: g, key: unknownKey, route: stableRoute}, "unknown route": {gateway: g, route: "nowhere"},
	} {
		q.done = func(status int) {
			row[name] = fmt.Sprint(status)
			if status != http.StatusServiceUnavailable {
				p.record(name)
			}
		}
		q.read()
	}
	row["quota"] = "429"
	if p.Elapsed()-p.tokenAt < quotaPause {
		row["quota"] = "token"
	}
	if at%time.Second == 0 {
		p.After(3*firstWait/2, func() {
			p.rows = append(p.rows, fmt.Sprintf("| %2.0f | %s |", at.Seconds(), strings.Join([]string{row["readyz"], row["keyed"], row["public"],
				row["unknown key"], row["unknown route"], row["quota"]}, " | ")))
		})
	}
}

// simulatePartition simulates a partition. If restarts is true the gateway restarts a second after the partition
// begins. The bug is injected when the partition begins.
func simulatePartition(seed uint64, restarts bool, bug injectedBug) *partition {
	h := newHarness(seed, noBug)
	h.calm = true
	h.Links.Default.Jitter = 2 * time.Millisecond
	h.busyShare, h.slowShare = 0, 0
	p := &partition{harness: h, gateway: h.gateways[0], lastWithin: map[string]time.Duration{}, firstAfter: map[string]time.Duration{}}
	h.Run(partitionAt)
	c := h.chain.controls[0]
	p.quota = newSimQuota(h, c)
	h.every(70*time.Millisecond, func() {
		p.quota.take(func(admitted bool) {
			if admitted {
				p.tokenAt = h.Elapsed()
				p.record("quota")
			}
		})
	})
	h.Run(2 * time.Second)
	p.gateway.session.end() // the gateway then subscribes to the control process in the partition
	for _, control := range h.chain.controls {
		if control != c {
			h.partitionFor(p.gateway.name, control.name, subscribeTime+partitionLength)
		}
	}
	h.Run(subscribeTime)
	for _, control := range h.chain.controls {
		if control != c {
			h.partitionBetween(c.name, control.name, 0, partitionLength)
		}
	}
	p.began, h.bug = h.Elapsed(), bug
	if restarts {
		h.Run(time.Second)
		p.gateway.stop()
		p.gateway.start([]string{c.name})
	}
	for h.Elapsed()-p.began <= partitionLength+5*time.Second {
		p.sample((h.Elapsed() - p.began).Round(sampleInterval))
		h.Run(sampleInterval)
	}
	return p
}

// TestPartition checks until when a gateway that reaches only a partitioned control process still performs each
// kind of action, and how soon after the partition it does again. docs/design/guarantees.md has the table; its
// bounds are checked here.
func TestPartition(t *testing.T) {
	latest := map[string]time.Duration{"readyz": 2500 * time.Millisecond, "keyed": revoke - KeyLeaseMargin, "unknown key": time.Second,
		"unknown route": time.Second, "quota": leaderLease + 3*time.Second, "public": partitionLength}
	earliest := map[string]time.Duration{"readyz": 1600 * time.Millisecond, "keyed": 4 * time.Second, "quota": 2 * time.Second,
		"public": partitionLength - sampleInterval}
	for seed := uint64(1); seed <= partitionRuns; seed++ {
		p := simulatePartition(seed, false, noBug)
		for what, most := range latest {
			if last := p.lastWithin[what]; last > most || last < earliest[what] {
				t.Errorf("seed %d: %s until %v, want between %v and %v", seed, what, last, earliest[what], most)
			}
			if p.firstAfter[what] > 3*time.Second {
				t.Errorf("seed %d: %s again %v after the end of the partition, want at most 3s", seed, what, p.firstAfter[what])
			}
		}
		if seed == 1 {
			t.Logf("| second | readyz | keyed | public | unknown key | unknown route | quota |\n%s", strings.Join(p.rows, "\n"))
		}
		t.Logf("seed %d: until %v; again after %v", seed, p.lastWithin, p.firstAfter)
	}
}

// TestStartDuringPartition checks that a gateway that starts during the partition is not ready and answers only
// 503 until the partition ends.
func TestStartDuringPartition(t *testing.T) {
	for seed := uint64(1); seed <= partitionRuns; seed++ {
		p := simulatePartition(seed, true, noBug)
		for what, last := range p.lastWithin {
			if what != "quota" { // tokens don't depend on a configuration
				t.Errorf("seed %d: %s during the partition, at %v", seed, what, last)
			}
		}
		for _, what := range []string{"readyz", "keyed", "public", "unknown key", "unknown route"} {
			if again := p.firstAfter[what]; again == 0 || again > 3*time.Second {
				t.Errorf("seed %d: %s %v after the end of the partition, want at most 3s and not 0", seed, what, again)
			}
		}
	}
}

// TestPartitionFindsBugs checks that the simulation detects a control process that confirms without a proof, and
// a gateway that applies an unconfirmed configuration.
func TestPartitionFindsBugs(t *testing.T) {
	for bug, reason := range map[injectedBug]string{bugUnprovenConfirmation: "which every configuration in force has", bugUnconfirmedConfiguration: "nobody has confirmed"} {
		if failure := partitionFailure(bug); !strings.Contains(failure, reason) {
			t.Errorf("%s: unexpected failure: %s", bug, failure)
		}
	}
}

func partitionFailure(bug injectedBug) (failure string) {
	defer func() { failure = fmt.Sprint(recover()) }()
	simulatePartition(1, bug == bugUnconfirmedConfiguration, bug)
	return ""
}

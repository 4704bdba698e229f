package control

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
)

// partitionLength is how long a control machine is partitioned. stalenessElapsed is how long after the start of the
// partition the process may still confirm its state: its last proof of freshness is valid for maxStaleness, and an
// answer may still be in transit.
const (
	partitionLength  = 20 * time.Second
	stalenessElapsed = maxStaleness + 50*time.Millisecond
)

const quotaDocument = `{"generation":7,"routes":[{"name":"r","hostname":"h","path-prefix":"/","timeout-ms":5,"backend":"b"}],"backends":[{"name":"b"}],"tenants":[{"name":"t","api-keys":["k"],"rate-per-s":10,"burst":10}]}`

// partitionCase states whether the head or another machine is partitioned, and in which directions.
type partitionCase struct {
	head, out, in bool
}

func (c partitionCase) String() string {
	return fmt.Sprintf("head %t, out %t, in %t", c.head, c.out, c.in)
}

// partitionTest is a system in which one control process is partitioned from the others.
type partitionTest struct {
	*simulatedSystem
	victim, other int
	gateway       *simulatedPoller // polls the victim all the time
	stores        []*simulatedPoller
	violations    []string
}

// failf records a violation.
func (s *partitionTest) failf(format string, arguments ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, arguments...))
}

func gatewayProcess(number int) protocol.Process {
	return protocol.Process{
		Node:        fmt.Sprint("gateway-", number),
		Role:        protocol.RoleGateway,
		IP:          fmt.Sprint("10.0.3.", number),
		Incarnation: "x",
	}
}

func storeProcess(number int, incarnation string) protocol.Process {
	return protocol.Process{
		Node:        fmt.Sprint("store-", number),
		Role:        protocol.RoleBatch,
		IP:          fmt.Sprint("10.0.4.", number),
		Incarnation: incarnation,
	}
}

// newPartitionTest starts a system with a configuration, a gateway and four stores, and waits until the gateway is
// served and all stores have leases.
func newPartitionTest(t *testing.T, one partitionCase, bug injectedBug) *partitionTest {
	s := &partitionTest{simulatedSystem: newSimulatedSystem(t, 1, bug)}
	if status := s.put(t, "PUT", "0", quotaDocument); status != 200 {
		t.Fatal(status)
	}
	eventually(t, "a head", func() bool { return s.head() >= 0 })
	s.victim = s.head()
	if !one.head {
		s.victim = (s.victim + 1) % 3
	}
	s.other = (s.victim + 1) % 3
	s.gateway = s.startPoller(t, s.victim, gatewayProcess(1))
	for i := range 4 {
		at := s.other
		if i == 3 {
			at = s.victim
		}
		s.stores = append(s.stores, s.startPoller(t, at, storeProcess(i, "a")))
	}
	for i, store := range s.stores {
		eventually(t, fmt.Sprint("the lease of store ", i), store.locked(func() bool {
			return store.grant.Member && store.grant.Lease > 0
		}))
	}
	eventually(t, "the gateway to be served", s.gateway.locked(func() bool {
		return s.gateway.fresh && s.gateway.configuration.Current().Generation == 7 && s.gateway.servers != nil
	}))
	return s
}

// checkAnswersNothing checks that the partitioned process answers nothing from its state, which may be outdated.
func (s *partitionTest) checkAnswersNothing(sequence uint64) {
	for _, call := range []struct{ method, path, ifMatch, body string }{
		{"GET", "/config", "", ""},
		{"PUT", "/config", "0", quotaDocument}, // was accepted before the partition
		{"PUT", "/config", "7", quotaDocument}, // generation not higher than in this process's state
		{"PATCH", "/config", "7", `{"generation":8}`},
		{"PATCH", "/config", "3", `{"generation":8}`}, // outdated by this process's state
		{"PATCH", "/config", "7", `{"generation":8`},
		{"POST", "/retire/store-9", "", `{"deadline-s":10}`}, // unknown in this process's state
		{"GET", "/retire/store-1", "", ""},
	} {
		status, body := s.call(s.victim, call.method, call.path, call.ifMatch, call.body)
		if status != 503 && status != 504 {
			s.failf(
				"%s %s If-Match %s at the partitioned process: got status %d %s, want 503 or 504",
				call.method,
				call.path,
				call.ifMatch,
				status,
				body,
			)
		}
	}
	if s.gateway.locked(func() bool { return s.gateway.fresh })() {
		s.failf("it confirms its state")
	}
	store := s.stores[3]
	if store.locked(func() bool { return store.grant.Member })() {
		s.failf("it grants a lease")
	}
	if s.askQuota(s.victim, sequence) {
		s.failf("it grants quota")
	}
	if _, _, leads := s.running[s.victim].replica.LeaderLease(); leads {
		s.failf("it leads")
	}
	if commands := s.running[s.victim].storeCommands(); len(commands) > 0 {
		s.failf("it decides on the store membership: %v", commands)
	}
}

// reportDrained makes a batch process report, in the epoch that it knows, that it stores nothing that other stores
// need.
func (s *partitionTest) reportDrained(store *simulatedPoller) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.report = protocol.BatchReport{Epoch: store.grant.Epoch, Settled: store.grant.Epoch, DrainedDown: true}
}

// run partitions the victim while the others continue, and checks what it answers during the partition and what it
// does afterwards.
func (s *partitionTest) run(one partitionCase) {
	t := s.t
	s.partition(s.victim, one.out, one.in)
	partitionedAt := time.Now()
	time.Sleep(stalenessElapsed)
	newGateway := s.startPoller(t, s.victim, gatewayProcess(2))
	s.startPoller(t, s.victim, storeProcess(4, "a")) // a new batch process
	s.reportDrained(s.stores[3])
	status := 0
	eventually(t, "a change that the others accept", func() bool {
		status, _ = s.call(s.other, "PATCH", "/config", "7", `{"generation":9,"delete":{"tenants":["t"]}}`)
		return status == 200
	})
	eventually(t, "a retirement that the others accept", func() bool {
		status, _ = s.call(s.other, "POST", "/retire/store-3", "", `{"deadline-s":10}`)
		return status == 200
	})
	s.setServers(`{"id":"i-2","backend":"b","address":"10.0.0.2:80","zone":"z","slots":4,"state":"ready"}`)
	for sequence := uint64(1); time.Since(partitionedAt) < partitionLength-2*time.Second; sequence++ {
		s.checkAnswersNothing(sequence)
		time.Sleep(200 * time.Millisecond)
	}
	if generation := newGateway.configuration.Current().Generation; generation != 0 {
		s.failf("a gateway that begins got version %d", generation)
	}
	members := s.running[s.other].state.Stores()
	time.Sleep(time.Until(partitionedAt.Add(partitionLength)))
	s.heal(s.victim)
	s.checkRecovery(newGateway, members)
}

// checkRecovery checks that the process catches up with the others after the partition, and makes no changes based on
// the state that it had during the partition.
func (s *partitionTest) checkRecovery(newGateway *simulatedPoller, members protocol.StoreView) {
	t := s.t
	eventually(t, "the newest configuration at the gateways", func() bool {
		for _, gateway := range []*simulatedPoller{s.gateway, newGateway} {
			current := gateway.locked(func() bool {
				return gateway.fresh && gateway.configuration.Current().Generation == 9
			})
			if !current() {
				return false
			}
		}
		return true
	})
	status, body := s.call(s.victim, "GET", "/config", "", "")
	if status != 200 || !strings.Contains(body, `"generation":9`) {
		s.failf("got status %d %s from the recovered process, want the configuration of generation 9", status, body)
	}
	if status, body := s.call(s.victim, "PUT", "/config", "0", quotaDocument); status != 200 {
		s.failf("a repeated change that was accepted before was rejected: %d %s", status, body)
	}
	time.Sleep(5 * time.Second)
	now := s.running[s.victim].state.Stores()
	for _, member := range members.Members {
		found := false
		for _, other := range now.Members {
			found = found || other == member
		}
		if !found {
			s.failf("%s is no longer a member, or has a different state, in %v", member.Node, now)
		}
	}
	if len(now.Members) != 5 {
		s.failf("a batch process that polls the recovered process isn't a member of %v", now)
	}
	status, body = s.call(s.other, "GET", "/retire/store-3", "", "")
	if status != 200 || !strings.Contains(body, "active") {
		s.failf("the retirement was completed based on a report made during the partition: got status %d %s, want active",
			status, body)
	}
}

// runPartition runs one case and returns the violations.
func runPartition(t *testing.T, one partitionCase, bug injectedBug) []string {
	s := newPartitionTest(t, one, bug)
	s.run(one)
	s.finish()
	return s.violations
}

// TestPartition partitions one control machine for twenty seconds. Its process must not answer from state that may be
// outdated.
func TestPartition(t *testing.T) {
	for _, one := range []partitionCase{
		{head: true, out: true, in: true}, {head: true, out: true}, {head: true, in: true},
		{out: true, in: true}, {out: true}, {in: true},
	} {
		t.Run(one.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				for _, broken := range runPartition(t, one, injectedBug{}) {
					t.Error(broken)
				}
			})
		})
	}
}

// Replicas with an injected bug.
type (
	alwaysFreshReplica   struct{ Replica } // always considers its state fresh
	alwaysLeadingReplica struct{ Replica } // continues to act as head with the view in which it was the head
	unprovenReadReplica  struct{ Replica } // reads the local state without proof of freshness
)

func (alwaysFreshReplica) Staleness() (time.Duration, bool) { return 0, true }

func (r alwaysLeadingReplica) LeaderLease() (uint64, time.Time, bool) {
	heads := r.View().Head().Same(r.Self())
	return r.View().Epoch, time.Now().Add(time.Second), heads
}

func (r alwaysLeadingReplica) HeadLease() (time.Time, bool) {
	_, until, heads := r.LeaderLease()
	return until, heads
}

func (unprovenReadReplica) Read(context.Context) (uint64, error) { return 0, nil }

// TestPartitionFindsInjectedBugs checks that the checks of TestPartition find each bug.
func TestPartitionFindsInjectedBugs(t *testing.T) {
	for name, test := range map[string]struct {
		wrapReplica func(Replica) Replica
		violation   string // substring of the violation that must be found
	}{
		"it confirms outdated state":          {func(r Replica) Replica { return alwaysFreshReplica{r} }, "confirms its state"},
		"it pushes outdated state":            {func(r Replica) Replica { return alwaysFreshReplica{r} }, "a gateway that begins got version 7"},
		"it grants leases by outdated state":  {func(r Replica) Replica { return alwaysFreshReplica{r} }, "grants a lease"},
		"it continues to lead":                {func(r Replica) Replica { return alwaysLeadingReplica{r} }, "it leads"},
		"it continues to grant quota":         {func(r Replica) Replica { return alwaysLeadingReplica{r} }, "grants quota"},
		"it decides on the store membership":  {func(r Replica) Replica { return alwaysLeadingReplica{r} }, "decides on the store membership"},
		"its API answers from outdated state": {func(r Replica) Replica { return unprovenReadReplica{r} }, "200"},
		"its API rejects by outdated state":   {func(r Replica) Replica { return unprovenReadReplica{r} }, "412"},
		"its API finds no such member":        {func(r Replica) Replica { return unprovenReadReplica{r} }, "404"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bug := injectedBug{wrapReplica: test.wrapReplica}
				violations := strings.Join(runPartition(t, partitionCase{head: true, out: true, in: true}, bug), "\n")
				if !strings.Contains(violations, test.violation) {
					t.Errorf("got violations %q, want one that contains the expected text", violations)
				}
			})
		})
	}
}

package operatorapi

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/simulation/seeds"
)

// sentChange is a change that operators have sent, once or several times.
type sentChange struct {
	id         string // hexadecimal digest
	tenant     string // name of the tenant by which the change is recognized in a configuration
	method     string
	ifMatch    uint64
	generation uint64
	invalid    bool
	// futureBase is set if the change builds on a version that doesn't exist yet. It is rejected at first and may be
	// accepted when it is sent again.
	futureBase   bool
	body         string
	attempts     int
	acknowledged bool // answered with 200 at least once
	rejectedWith int  // status of the last rejection; 0 if there was none
}

func (c *sentChange) digest() configuration.Digest {
	return configuration.ChangeRequest{IfMatch: c.ifMatch, Patch: c.method == "PATCH", Body: []byte(c.body)}.Digest()
}

// observed is the response to a call of the history.
type observed struct {
	status  int
	tenants string // with GET: the tenants in the response
	version uint64 // with GET: the version in the response
}

// history records the requests and responses of all operators. padding is the number of spaces appended to each body.
type history struct {
	cluster            *clusterSimulation
	clock              atomic.Int64 // logical clock that orders calls and returns
	mutex              sync.Mutex
	operations         []porcupine.Operation
	changes            []*sentChange
	changesByID        map[string]*sentChange
	newestVersion      uint64 // newest version that an operator has received
	padding            int
	lastAcknowledgedAt time.Duration
	statuses           map[int]int // number of responses by status
	decisiveOperations []porcupine.Operation
}

func newHistory(w *clusterSimulation) *history {
	h := &history{cluster: w, changesByID: map[string]*sentChange{}, statuses: map[int]int{}}
	if w.seed%2 == 0 {
		h.padding = 24 << 10 // so that logs are compacted and snapshots taken early
	}
	return h
}

// operatorClient simulates one operator.
type operatorClient struct {
	*history
	number int
	count  int
	random *rand.Rand
}

// run sends changes and reads until end.
func (c *operatorClient) run(end time.Duration) {
	for c.cluster.now() < end {
		time.Sleep(time.Duration(c.random.Int64N(int64(400 * time.Millisecond))))
		switch {
		case c.random.IntN(3) == 0:
			c.read()
		case c.random.IntN(5) == 0:
			c.resend()
		default:
			c.deliver(c.nextChange(), 1+c.random.IntN(6))
		}
	}
}

func (c *operatorClient) anyMember() *simulatedControl {
	return c.cluster.members[c.random.IntN(len(c.cluster.members))]
}

// callTimeout draws the time that a caller waits for a response: mostly that of an operator, 1 s; some callers give
// up earlier, and some wait long enough for any response.
func (c *operatorClient) callTimeout() time.Duration {
	switch c.random.IntN(12) {
	case 0, 1:
		return time.Millisecond + time.Duration(c.random.Int64N(int64(300*time.Millisecond)))
	case 2:
		return 5 * time.Second
	}
	return time.Second
}

// resend sends one of the earlier changes again, unchanged. It skips those with futureBase.
func (c *operatorClient) resend() {
	c.mutex.Lock()
	var change *sentChange
	if len(c.changes) > 0 {
		change = c.changes[c.random.IntN(len(c.changes))]
		if change.futureBase {
			change = nil
		}
	}
	c.mutex.Unlock()
	if change != nil {
		c.deliver(change, 2)
	}
}

// nextChange draws a change. Most build on the newest version and are valid. Some build on an older or a future
// version, are invalid, have a generation that doesn't increase, or repeat the body of an earlier change.
func (c *operatorClient) nextChange() *sentChange {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.count++
	change := &sentChange{tenant: fmt.Sprintf("t%d-%d", c.number, c.count), method: "PATCH", ifMatch: c.newestVersion}
	if c.newestVersion == 0 || c.random.IntN(4) == 0 {
		change.method = "PUT"
	}
	change.generation = change.ifMatch + 1 + uint64(c.random.IntN(2))
	switch c.random.IntN(14) {
	case 0: // another If-Match
		change.ifMatch -= min(change.ifMatch, uint64(c.random.IntN(4)))
	case 1:
		change.ifMatch += 1 + uint64(c.random.IntN(2))
		change.generation = change.ifMatch + 1
		change.futureBase = true
	case 2:
		change.invalid = true
	case 3:
		change.generation = change.ifMatch - min(change.ifMatch, 1)
	}
	if len(c.changes) > 0 && c.random.IntN(12) == 0 { // the same bytes with another If-Match
		earlier := c.changes[c.random.IntN(len(c.changes))]
		again := *earlier
		again.attempts, again.acknowledged, again.rejectedWith, again.ifMatch = 0, false, 0, change.ifMatch
		again.futureBase = change.futureBase
		change = &again
		return c.register(change)
	}
	c.writeBody(change)
	return c.register(change)
}

// writeBody sets the body of a change. A second PUT that marks a tenant of the same name is the same change.
func (c *operatorClient) writeBody(change *sentChange) {
	timeout := 5
	if change.invalid {
		timeout = 0
	}
	tenants := fmt.Sprintf(`"tenants":[{"name":%q,"api-keys":[%q]}]`, change.tenant, change.tenant)
	route := fmt.Sprintf(
		`"routes":[{"name":"r","hostname":"h","path-prefix":"/","timeout-ms":%d,"backend":"b"}]`,
		timeout,
	)
	if change.method == "PUT" {
		change.body = fmt.Sprintf(
			`{"generation":%d,%s,"backends":[{"name":"b"}],%s}`,
			change.generation,
			route,
			tenants,
		)
	} else {
		change.body = fmt.Sprintf(`{"generation":%d,"upsert":{%s,%s}}`, change.generation, route, tenants)
	}
	change.body += strings.Repeat(" ", c.padding)
}

// register records a change and returns it, or returns the recorded change with the same digest if there is one.
func (c *operatorClient) register(change *sentChange) *sentChange {
	change.id = fmt.Sprintf("%x", change.digest())
	if known := c.changesByID[change.id]; known != nil {
		known.futureBase = known.futureBase || change.futureBase
		return known
	}
	c.changesByID[change.id] = change
	c.changes = append(c.changes, change)
	return change
}

// deliver sends a change to randomly chosen machines until there is a definite response or the number of attempts is
// reached.
func (c *operatorClient) deliver(change *sentChange, attempts int) {
	if change.futureBase {
		attempts = 1
	}
	for range attempts {
		if c.send(change) {
			return
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(300 * time.Millisecond))))
	}
}

// send sends a change once and reports whether the response was definite.
func (c *operatorClient) send(change *sentChange) bool {
	m := c.anyMember()
	began := c.cluster.now()
	call := c.clock.Add(1)
	got := m.call(change.method, strconv.FormatUint(change.ifMatch, 10), change.body, c.callTimeout())
	if c.random.IntN(5) == 0 {
		got = callResult{} // the response is lost
	}
	c.checkPartitioned(m, began, got)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	change.attempts++
	operation := porcupine.Operation{
		ClientId: len(c.operations),
		Input:    change,
		Call:     call,
		Return:   c.clock.Add(1),
		Output:   observed{status: got.status},
	}
	switch got.status {
	case 200:
		change.acknowledged = true
		c.newestVersion = max(c.newestVersion, change.generation)
		c.lastAcknowledgedAt = c.cluster.now()
	case 400, 409, 412, 413:
		change.rejectedWith = got.status
	case 0, 503, 504:
		operation.Return, operation.Output = indeterminateReturn, observed{}
	default:
		c.cluster.failf("%s answers %d: %s", m.ip, got.status, got.body)
	}
	c.statuses[got.status]++
	c.operations = append(c.operations, operation)
	return operation.Return != indeterminateReturn
}

// indeterminateReturn is the return time of a call without a definite response, which may take effect at any time or
// never.
const indeterminateReturn = int64(1) << 60

// checkPartitioned checks that a partitioned machine answers only with 503 or 504.
func (c *operatorClient) checkPartitioned(m *simulatedControl, began time.Duration, got callResult) {
	if got.status != 0 && got.status != 503 && got.status != 504 && c.cluster.isPartitioned(m, began) {
		c.cluster.failf("%s is partitioned and answers %d: %s", m.ip, got.status, got.body)
	}
}

func (c *operatorClient) read() {
	m := c.anyMember()
	began := c.cluster.now()
	call := c.clock.Add(1)
	got := m.call("GET", "", "", c.callTimeout())
	c.checkPartitioned(m, began, got)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.statuses[got.status]++
	if got.status != 200 && got.status != 404 {
		return
	}
	output := observed{status: got.status}
	if got.status == 200 {
		output.version, _ = strconv.ParseUint(strings.Trim(got.etag, `"`), 10, 64)
		output.tenants = tenantsOf(c.cluster, got.body)
		c.newestVersion = max(c.newestVersion, output.version)
	}
	c.operations = append(
		c.operations,
		porcupine.Operation{ClientId: len(c.operations), Call: call, Return: c.clock.Add(1), Output: output},
	)
}

// tenantsOf returns the names of the tenants of a configuration in order, each followed by a semicolon.
func tenantsOf(w *clusterSimulation, body string) string {
	var document configuration.Document
	if err := json.Unmarshal([]byte(body), &document); err != nil {
		w.failf("a configuration can't be decoded: %v", err)
	}
	var list strings.Builder
	for _, tenant := range document.Tenants {
		list.WriteString(tenant.Name + ";")
	}
	return list.String()
}

// modelState is the state of the sequential model: the configuration, and the changes that were accepted.
type modelState struct {
	version   uint64
	tenants   string // names of the tenants, each followed by a semicolon
	committed string // ids of the accepted changes, each followed by a semicolon
}

// step reports whether the model allows a response in a state and returns the state after it. A nil change stands for
// a read.
func step(state modelState, change *sentChange, output observed) (bool, modelState) {
	if change == nil {
		if output.status == 404 {
			return state.version == 0, state
		}
		return output.version == state.version && output.tenants == state.tenants, state
	}
	accepted := strings.Contains(state.committed, change.id+";")
	rises := change.generation > state.version && (change.method == "PUT" || state.version > 0)
	accepts := !accepted && !change.invalid && change.ifMatch == state.version && rises
	switch output.status {
	case 200:
		return accepted || accepts, state.next(change, accepts)
	case 412:
		return !accepted && change.ifMatch != state.version, state
	case 400:
		return !accepted && change.ifMatch == state.version && (change.invalid || !rises), state
	case 0:
		return true, state.next(change, accepts)
	}
	return false, state
}

func (s modelState) next(change *sentChange, accepts bool) modelState {
	if !accepts {
		return s
	}
	mark := change.tenant + ";"
	next := modelState{version: change.generation, tenants: s.tenants, committed: s.committed + change.id + ";"}
	if change.method == "PUT" {
		next.tenants = mark
	} else if !strings.Contains(";"+s.tenants, ";"+mark) {
		next.tenants += mark
	}
	return next
}

var configurationModel = porcupine.Model{
	Init: func() interface{} { return modelState{} },
	Step: func(state, input, output interface{}) (bool, interface{}) {
		change, _ := input.(*sentChange)
		return step(state.(modelState), change, output.(observed))
	},
	Equal: func(a, b interface{}) bool { return a == b },
}

// check compares the recorded responses with the state of all machines, once these are in sync again, and prepares
// the check of linearizability.
func (h *history) check() {
	w := h.cluster
	for _, m := range w.members {
		for _, change := range h.changes {
			status := m.state.ChangeStatus(change.digest(), change.ifMatch)
			switch {
			case status == configuration.StatusAccepted && change.rejectedWith != 0 && !change.futureBase && w.bug != bugSnapshotDropsChanges:
				w.failf(
					"change %s on %d was rejected with %d but is recorded as accepted on %s",
					change.tenant,
					change.ifMatch,
					change.rejectedWith,
					m.ip,
				)
			case status != configuration.StatusAccepted && change.acknowledged && w.bug != bugSnapshotDropsChanges:
				w.failf("change %s on %d was acknowledged but is not recorded as accepted on %s", change.tenant, change.ifMatch, m.ip)
			}
		}
	}
	h.decisiveOperations = h.decisive()
}

// checkLinearizable checks the history with porcupine. It must be called outside of the synctest bubble, because the
// time of the bubble doesn't advance while a goroutine computes.
func (h *history) checkLinearizable() {
	w := h.cluster
	timeout := 20 * time.Second
	if w.bug != bugNone {
		timeout = time.Second // another seed may find the bug
	}
	switch porcupine.CheckOperationsTimeout(configurationModel, h.decisiveOperations, timeout) {
	case porcupine.Illegal:
		w.violations = append(w.violations, "the history is not linearizable")
	case porcupine.Unknown:
		if w.bug == bugNone {
			w.violations = append(w.violations, "the check of linearizability did not finish within 20 s")
		}
	}
}

// decisive returns the operations that are relevant to linearizability. Of the calls without a definite response it
// leaves out those of changes that were never accepted, and keeps only one per accepted change, with the time of the
// first such call.
func (h *history) decisive() []porcupine.Operation {
	first := map[*sentChange]bool{}
	var kept []porcupine.Operation
	for _, operation := range h.operations {
		change, _ := operation.Input.(*sentChange)
		if operation.Return != indeterminateReturn {
			kept = append(kept, operation)
			continue
		}
		if first[change] || !h.wasCommitted(change) {
			continue
		}
		first[change] = true
		operation.Call = h.firstCall(change)
		kept = append(kept, operation)
	}
	return kept
}

func (h *history) firstCall(change *sentChange) int64 {
	call := indeterminateReturn
	for _, operation := range h.operations {
		if operation.Input == change && operation.Return == indeterminateReturn {
			call = min(call, operation.Call)
		}
	}
	return call
}

func (h *history) wasCommitted(change *sentChange) bool {
	return change.acknowledged || slices.ContainsFunc(h.cluster.members, func(m *simulatedControl) bool {
		return m.state.ChangeStatus(change.digest(), change.ifMatch) == configuration.StatusAccepted
	})
}

// simulateHistory runs one simulation and returns its violations and its history.
func simulateHistory(t *testing.T, seed uint64, span time.Duration, bug injectedBug) (failures []string, h *history) {
	synctest.Test(t, func(t *testing.T) {
		machines := 3
		if seed%5 == 4 {
			machines = 4
		}
		w := newClusterSimulation(t, seed, machines, bug)
		h = newHistory(w)
		var running sync.WaitGroup
		for number := range 2 + int(seed%3) {
			client := &operatorClient{
				history: h,
				number:  number,
				random:  rand.New(rand.NewPCG(seed, 100+uint64(number))),
			}
			running.Go(func() { client.run(span) })
		}
		running.Go(func() { w.injectFaults(span) })
		running.Wait()
		time.Sleep(recoveryTime)
		h.awaitRecovery()
		h.check()
		w.stop()
	})
	h.checkLinearizable()
	return h.cluster.violations, h
}

// awaitRecovery checks that a change is accepted once all faults are over, and waits until every machine answers a
// read and thus has applied the change.
func (h *history) awaitRecovery() {
	client := &operatorClient{history: h, number: 99, random: rand.New(rand.NewPCG(h.cluster.seed, 99))}
	before := h.lastAcknowledgedAt
	for attempts := 0; h.lastAcknowledgedAt == before; attempts++ {
		if attempts == 40 {
			h.cluster.failf("no change was accepted in 40 attempts after all faults were over")
			return
		}
		client.read()
		change := client.nextChange()
		client.deliver(change, 8)
	}
	for _, m := range h.cluster.members {
		for attempts := 0; m.call("GET", "", "", time.Second).status != 200; attempts++ {
			if attempts == 40 {
				h.cluster.failf("%s answered no read in 40 attempts after all faults were over", m.ip)
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// failWithEvents fails the test with the last events of the simulation.
func failWithEvents(t *testing.T, seed uint64, failures []string, h *history) {
	t.Helper()
	tail := h.cluster.events
	if len(tail) > 80 && os.Getenv("TRACE") == "" {
		tail = tail[len(tail)-80:]
	}
	t.Fatalf("seed %d: %s\n%s", seed, strings.Join(failures, "\n"), strings.Join(tail, "\n"))
}

// TestRandomHistories checks the responses that operators receive from real control processes in simulations with
// faults, among other things for linearizability.
// SEEDS=N runs N simulations, FIRST=S begins at seed S, TRACE=1 prints all events of a failing one.
func TestRandomHistories(t *testing.T) {
	first, simulations := seeds.Range(0, defaultSimulations)
	calls, byStatus := 0, map[int]int{}
	for seed := first; seed < first+simulations; seed++ {
		failures, h := simulateHistory(t, seed, 60*time.Second, bugNone)
		if len(failures) > 0 {
			failWithEvents(t, seed, failures, h)
		}
		calls += len(h.operations)
		for status, count := range h.statuses {
			byStatus[status] += count
		}
	}
	t.Logf("%d simulations, %d calls, by status %v", simulations, calls, byStatus)
}

// TestFindsInjectedBugs checks that the simulations find each of the injected bugs.
func TestFindsInjectedBugs(t *testing.T) {
	for _, bug := range []injectedBug{bugIDIsBaseVersion, bugUnprovenRejection, bugUnprovenGet, bugSnapshotDropsChanges, bugBaseBeforeRepeat, bugStaleResponse} {
		t.Run(string(bug), func(t *testing.T) {
			for seed := uint64(0); seed < 40; seed++ {
				if failures, _ := simulateHistory(t, seed, 60*time.Second, bug); len(failures) > 0 {
					t.Logf("seed %d: %s", seed, failures[0])
					return
				}
			}
			t.Fatal("the bug was not found with 40 seeds")
		})
	}
}

package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/simulation/seeds"
)

// serviceSimulation simulates complete control processes with gateways, batch processes and an operator, in virtual
// time and with random faults.
type serviceSimulation struct {
	*simulatedSystem
	random *rand.Rand // draws the faults
	began  time.Time
	end    time.Duration

	lock          sync.Mutex // guards the fields below
	acknowledged  []acknowledgement
	leases        map[protocol.Process]time.Time // end of the lease of each incarnation
	newest        map[string]string              // newest incarnation of each process, by node
	members       protocol.StoreView             // newest store membership seen
	partitioned   int                            // index of the partitioned control process; -1: none
	partitionedAt time.Time
	confirmations int // number of answers that confirmed the state
	grants        int // number of leases granted
	changes       int // number of changes of the store membership
	violations    []string
	events        []string
}

// acknowledgement is a version with the time of its acknowledgement.
type acknowledgement struct {
	version uint64
	at      time.Time
}

// newServiceSimulation starts the control processes. It must be called in a synctest bubble.
func newServiceSimulation(t *testing.T, seed uint64, end time.Duration, bug injectedBug) *serviceSimulation {
	return &serviceSimulation{
		simulatedSystem: newSimulatedSystem(t, seed, bug),
		random:          rand.New(rand.NewPCG(seed, 3)),
		began:           time.Now(),
		end:             end,
		leases:          map[protocol.Process]time.Time{},
		newest:          map[string]string{},
		partitioned:     -1,
	}
}

func (w *serviceSimulation) isOver() bool { return time.Since(w.began) > w.end }

func (w *serviceSimulation) logf(format string, arguments ...any) {
	w.events = append(w.events, fmt.Sprintf("%8.3f ", time.Since(w.began).Seconds())+fmt.Sprintf(format, arguments...))
}

// failf records a violation. It is called with the lock held.
func (w *serviceSimulation) failf(format string, arguments ...any) {
	w.logf("VIOLATION: "+format, arguments...)
	w.violations = append(w.violations, fmt.Sprintf(format, arguments...))
}

// operate sends configuration changes, one after another, until the simulation ends.
func (w *serviceSimulation) operate(random *rand.Rand) {
	last := uint64(7)
	for !w.isOver() {
		change := fmt.Sprintf(
			`{"generation":%d,"upsert":{"tenants":[{"name":"t","api-keys":["k%d"],"rate-per-s":10,"burst":10}]}}`,
			last+1,
			last+1,
		)
		for !w.isOver() {
			ifMatch := strconv.FormatUint(last, 10)
			if status, _ := w.call(random.IntN(3), "PATCH", "/config", ifMatch, change); status == 200 {
				last++
				w.lock.Lock()
				w.acknowledged = append(w.acknowledged, acknowledgement{version: last, at: time.Now()})
				w.lock.Unlock()
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Duration(random.Int64N(int64(500 * time.Millisecond))))
	}
}

// acknowledgedBefore returns the newest version that was acknowledged by the given moment.
func (w *serviceSimulation) acknowledgedBefore(moment time.Time) uint64 {
	newest := uint64(0)
	for _, one := range w.acknowledged {
		if !one.at.After(moment) {
			newest = one.version
		}
	}
	return newest
}

// simulatedSubscriber is a gateway or batch process that polls one control process, and switches to another one when
// that process no longer confirms its state.
type simulatedSubscriber struct {
	simulation *serviceSimulation
	random     *rand.Rand
	process    protocol.Process
	state      *configuration.State
	lock       sync.Mutex // guards state
	starts     int
}

// run polls in several incarnations, one after another, until the simulation ends.
func (r *simulatedSubscriber) run() {
	for !r.simulation.isOver() {
		r.restart()
		till := time.Now().Add(5*time.Second + time.Duration(r.random.Int64N(int64(20*time.Second))))
		for !r.simulation.isOver() && time.Now().Before(till) {
			r.subscribe(r.random.IntN(3), till)
		}
		time.Sleep(time.Duration(r.random.Int64N(int64(4 * time.Second))))
	}
}

// restart starts the process with an empty state. A gateway, and any process at its first start, begins a new
// incarnation. A restarted batch process does so with probability 1/2, as after the loss of its disk.
func (r *simulatedSubscriber) restart() {
	r.starts++
	r.lock.Lock()
	r.state = configuration.NewState()
	r.lock.Unlock()
	if r.process.Role == protocol.RoleGateway || r.starts == 1 || r.random.IntN(2) == 0 {
		r.process.Incarnation = fmt.Sprint(r.process.Node, "/", r.starts)
	}
	r.simulation.lock.Lock()
	defer r.simulation.lock.Unlock()
	r.simulation.newest[r.process.Node] = r.process.Incarnation
}

// subscribe polls a control process until it has not confirmed its state for 700 ms, at most until the time till.
func (r *simulatedSubscriber) subscribe(at int, till time.Time) {
	w := r.simulation
	options := transport.Options{
		Identity: transport.Identity{System: protocol.System, Node: r.process.Node, Role: r.process.Role},
		Dial:     w.host(r.process.IP).Dial,
	}
	client := transport.NewClient(w.settings[at].Endpoint(node.PortControl), options, r.apply, nil)
	defer client.Close()
	confirmedAt := time.Now()
	for sequence := uint64(1); time.Since(confirmedAt) < 700*time.Millisecond && time.Now().Before(till) && !w.isOver(); sequence++ {
		sent := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		reply, err := client.Call(ctx, r.nextPoll(sequence))
		cancel()
		if err == nil {
			r.apply(reply)
			if r.check(at, sent, reply.(protocol.Update)) {
				confirmedAt = sent
			}
		}
		if confirmedAt == sent {
			time.Sleep(protocol.PollInterval)
		} else {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func (r *simulatedSubscriber) nextPoll(sequence uint64) protocol.Poll {
	r.lock.Lock()
	defer r.lock.Unlock()
	poll := protocol.Poll{Process: r.process, Sequence: sequence, Configuration: r.state.Current().Index}
	if r.process.Role == protocol.RoleBatch {
		poll.Batch = &protocol.BatchReport{}
	}
	return poll
}

func (r *simulatedSubscriber) apply(message any) {
	update, ok := message.(protocol.Update)
	if !ok || update.Configuration == nil {
		return
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	_, _ = r.state.ApplyUpdate(update.Configuration) // an update that can't be applied is requested again
}

// check checks that the subscriber has the state that an answer confirms, and reports whether the answer confirms its
// state. It also records the granted lease.
func (r *simulatedSubscriber) check(at int, sent time.Time, update protocol.Update) bool {
	r.lock.Lock()
	held := r.state.Current().Generation
	r.lock.Unlock()
	w := r.simulation
	w.lock.Lock()
	defer w.lock.Unlock()
	if update.Store != nil && update.Store.Lease > 0 {
		w.grants++
		if till := sent.Add(update.Store.Lease); till.After(w.leases[r.process]) {
			w.leases[r.process] = till
		}
	}
	if !update.Fresh {
		return false
	}
	w.confirmations++
	if least := w.acknowledgedBefore(sent.Add(-update.Age)); held < least {
		w.failf(
			"%s confirms version %d to %s at an age of %v, but %d was acknowledged",
			w.settings[at].NodeName,
			held,
			r.process.Node,
			update.Age,
			least,
		)
	}
	if w.partitioned == at && sent.Sub(w.partitionedAt) > maxStaleness {
		w.failf("%s confirms its state %v after it was partitioned", w.settings[at].NodeName, sent.Sub(w.partitionedAt))
	}
	return true
}

// watchStep is the interval between checks of the store membership.
const watchStep = 5 * time.Millisecond

// watchMembers checks each change of the store membership against the leases, until the simulation ends.
func (w *serviceSimulation) watchMembers() {
	for !w.isOver() {
		w.mutex.Lock()
		running := slices.Clone(w.running)
		w.mutex.Unlock()
		for _, one := range running {
			if one != nil {
				w.checkMembers(one.state.Stores())
			}
		}
		time.Sleep(watchStep)
	}
}

func (w *serviceSimulation) checkMembers(next protocol.StoreView) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if next.Epoch <= w.members.Epoch {
		return
	}
	w.changes++
	for _, member := range w.members.Members {
		replaced := slices.ContainsFunc(next.Members, func(other protocol.StoreMember) bool {
			return other.Node == member.Node
		})
		if left := time.Until(w.leases[member.Process]); !replaced && left > watchStep {
			w.failf("%s was evicted with %v of its lease left", member.Process.Incarnation, left)
		}
	}
	for _, member := range next.Members {
		newer := slices.ContainsFunc(w.members.Members, func(other protocol.StoreMember) bool {
			return other.Node == member.Node && other.Incarnation == w.newest[member.Node] &&
				other.Incarnation != member.Incarnation
		})
		if newer {
			w.failf(
				"the former incarnation %s became a member again in place of %s",
				member.Incarnation,
				w.newest[member.Node],
			)
		}
	}
	w.logf("view %d: %d members", next.Epoch, len(next.Members))
	w.members = next
}

// injectFaults injects faults, one after another, until the simulation ends.
func (w *serviceSimulation) injectFaults() {
	time.Sleep(4 * time.Second)
	for !w.isOver() {
		victim, span := w.random.IntN(3), 200*time.Millisecond+time.Duration(w.random.Int64N(int64(3*time.Second)))
		other := (victim + 1 + w.random.IntN(2)) % 3
		kind := w.random.IntN(7)
		w.lock.Lock()
		w.logf("fault of kind %d at %s and %s for %v", kind, w.settings[victim].NodeName, w.settings[other].NodeName, span)
		w.lock.Unlock()
		switch kind {
		case 0, 1, 2:
			w.partitionControl(victim, kind != 1, kind != 2)
		case 3:
			w.network.Partition(w.settings[victim].IP, w.settings[other].IP)
			if w.random.IntN(2) == 0 {
				w.network.Partition(w.settings[other].IP, w.settings[victim].IP)
			}
			time.Sleep(3 * span)
			w.heal(victim)
		case 4:
			w.losePower(victim)
			time.Sleep(span)
			w.begin(victim)
		case 5:
			for i := range w.running {
				w.losePower(i)
			}
			time.Sleep(span)
			for i := range w.running {
				w.begin(i)
			}
		case 6:
			w.disks[victim].SetStalled(true)
			time.Sleep(span)
			w.disks[victim].SetStalled(false)
		}
		time.Sleep(5 * time.Second)
	}
}

// partitionControl partitions a process from the others for partitionLength.
func (w *serviceSimulation) partitionControl(victim int, out, in bool) {
	w.partition(victim, out, in)
	w.lock.Lock()
	w.partitioned, w.partitionedAt = victim, time.Now()
	w.lock.Unlock()
	time.Sleep(partitionLength)
	w.lock.Lock()
	w.partitioned = -1
	w.lock.Unlock()
	w.heal(victim)
}

// simulateServices runs one simulation.
func simulateServices(t *testing.T, seed uint64, span time.Duration, bug injectedBug) *serviceSimulation {
	var w *serviceSimulation
	synctest.Test(t, func(t *testing.T) {
		w = newServiceSimulation(t, seed, span, bug)
		if status := w.put(t, "PUT", "0", quotaDocument); status != 200 {
			t.Fatal(status)
		}
		var running sync.WaitGroup
		for number := range 5 {
			process := gatewayProcess(number)
			if number < 3 {
				process = storeProcess(number, "")
			}
			one := &simulatedSubscriber{
				simulation: w,
				process:    process,
				random:     rand.New(rand.NewPCG(seed, 50+uint64(number))),
			}
			running.Go(one.run)
		}
		running.Go(func() { w.operate(rand.New(rand.NewPCG(seed, 40))) })
		running.Go(w.watchMembers)
		running.Go(w.injectFaults)
		running.Wait()
		w.finish()
	})
	return w
}

// TestRandomServices checks complete control processes in simulations with faults: the state that they confirm, the
// leases that they grant, and the store membership. SEEDS=N runs N simulations, FIRST=S begins at seed S.
func TestRandomServices(t *testing.T) {
	first, simulations := seeds.Range(0, 4)
	confirmations, grants, changes, versions := 0, 0, 0, 0
	for seed := first; seed < first+simulations; seed++ {
		w := simulateServices(t, seed, time.Minute, injectedBug{})
		if len(w.violations) > 0 {
			t.Fatalf("seed %d: %s\n%s", seed, strings.Join(w.violations, "\n"), strings.Join(w.events, "\n"))
		}
		confirmations += w.confirmations
		grants += w.grants
		changes += w.changes
		versions += len(w.acknowledged)
	}
	t.Logf(
		"%d simulations: %d answers that confirm, %d leases, %d changes of the membership, %d versions",
		simulations,
		confirmations,
		grants,
		changes,
		versions,
	)
}

// TestServicesFindInjectedBugs checks that the checks of the simulations find each bug.
func TestServicesFindInjectedBugs(t *testing.T) {
	for name, test := range map[string]struct {
		bug       injectedBug
		violation string // substring of the violation that must be found
	}{
		"any state counts as fresh": {
			bug:       injectedBug{wrapReplica: func(r Replica) Replica { return alwaysFreshReplica{r} }},
			violation: "confirms version",
		},
		"a batch process under suspicion is granted leases": {
			bug:       injectedBug{leaseSuspected: true},
			violation: "of its lease left",
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(0); seed < 30; seed++ {
				w := simulateServices(t, seed, time.Minute, test.bug)
				if strings.Contains(strings.Join(w.violations, "; "), test.violation) {
					t.Logf("seed %d: %s", seed, w.violations[0])
					return
				}
			}
			t.Fatal("no simulation found the injected bug")
		})
	}
}

package operatorapi

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/coord/replica"
	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/control/statemachine"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/simulation/bubble"
)

// replicaChain adapts a replica to Chain, as package control does.
type replicaChain struct{ node *replica.Node }

func (c replicaChain) Propose(ctx context.Context, id string, change []byte) ([]byte, error) {
	result, err := c.node.Propose(ctx, id, change)
	if errors.Is(err, replica.ErrUnavailable) {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return result, err
}

func (c replicaChain) Read(ctx context.Context) error {
	_, err := c.node.Read(ctx)
	return err
}

// simulatedControl is a control machine of the simulation. It runs the real API, state machine and replica.
type simulatedControl struct {
	cluster     *clusterSimulation
	ip          string
	disk        *bubble.Disk
	mutex       sync.Mutex
	incarnation int // number of the current start; 0 while the process doesn't run
	starts      int
	host        *bubble.Host
	node        *replica.Node
	state       *statemachine.StateMachine
	api         http.Handler
}

// clusterSimulation runs a few control machines in virtual time, with a simulated network and simulated disks.
type clusterSimulation struct {
	t             *testing.T
	seed          uint64
	random        *rand.Rand // for the faults
	network       *bubble.Network
	members       []*simulatedControl
	seeds         []string
	bug           injectedBug
	began         time.Time
	mutex         sync.Mutex // guards the fields below
	events        []string
	partitioned   *simulatedControl // machine partitioned from all others; nil if there is none
	partitionedAt time.Duration
	violations    []string
}

// simulatedTolerance is the number of machine failures that the simulated cluster tolerates.
const simulatedTolerance = 1

// newClusterSimulation starts all machines. It must be called in a synctest bubble.
func newClusterSimulation(t *testing.T, seed uint64, machines int, bug injectedBug) *clusterSimulation {
	w := &clusterSimulation{
		t:       t,
		seed:    seed,
		random:  rand.New(rand.NewPCG(seed, 5)),
		network: bubble.NewNetwork(seed),
		bug:     bug,
		began:   time.Now(),
	}
	for i := range machines {
		ip := fmt.Sprint("10.0.0.", i+1)
		w.members = append(w.members, &simulatedControl{cluster: w, ip: ip, disk: bubble.NewDisk(seed*31 + uint64(i))})
		if i < 3 {
			w.seeds = append(w.seeds, ip+":70")
		}
	}
	for _, m := range w.members {
		m.start(true)
	}
	return w
}

func (w *clusterSimulation) now() time.Duration { return time.Since(w.began) }

func (w *clusterSimulation) logf(format string, arguments ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.events = append(w.events, fmt.Sprintf("%10.3f ", w.now().Seconds())+fmt.Sprintf(format, arguments...))
}

// failf records a violation. The simulation continues to its end.
func (w *clusterSimulation) failf(format string, arguments ...any) {
	w.logf("BROKEN: "+format, arguments...)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, arguments...))
}

// start starts the process. It holds no lock while the replica starts, because the time of a synctest bubble doesn't
// advance while a goroutine waits for a mutex.
func (m *simulatedControl) start(bootstrap bool) {
	w := m.cluster
	host, state := w.network.StartHost(m.ip), statemachine.New()
	var machine chain.StateMachine = state
	if w.bug == bugSnapshotDropsChanges {
		machine = &changeDroppingStateMachine{StateMachine: state}
	}
	started, err := replica.Start(replica.Options{
		Identity:     transport.Identity{System: "world", Node: m.ip, Role: "control"},
		Listen:       m.ip + ":70",
		Bind:         host.Listen,
		Dial:         host.Dial,
		Seeds:        w.seeds,
		Bootstrap:    bootstrap,
		Disk:         m.disk.Mount(),
		Tolerance:    simulatedTolerance,
		StateMachine: machine,
		Log:          func(event string, fields ...any) { w.logf("%s %s %v", m.ip, event, fields) },
	})
	if err != nil {
		w.failf("start of %s: %v", m.ip, err)
		return
	}
	api := New(Options{
		State:           state,
		Chain:           w.bug.wrapChain(replicaChain{started}),
		Bounds:          node.Bounds{Acknowledge: 4 * time.Second},
		MaxBodyBytes:    1 << 20,
		MinActiveStores: simulatedTolerance + 1,
		Log:             zerolog.Nop(),
	})
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.starts++
	m.host, m.state, m.node, m.incarnation = host, state, started, m.starts
	m.api = w.bug.wrapHandler(api, api.Handler())
	w.logf("%s starts", m.ip)
}

// end ends the process by a kill or, if power is set, by a loss of power.
func (m *simulatedControl) end(power bool) {
	m.mutex.Lock()
	running := m.incarnation != 0
	m.incarnation = 0
	m.mutex.Unlock()
	if !running {
		return
	}
	m.cluster.logf("%s ends, power lost %t", m.ip, power)
	if power {
		m.host.LosePower()
		m.disk.LosePower()
	} else {
		m.host.Kill()
		m.disk.Kill()
	}
	m.node.Close()
}

// callResult is the response that a caller received.
type callResult struct {
	status int // 0 if no response was received
	body   string
	etag   string
}

// call sends one request to a machine and waits for the response until the timeout.
func (m *simulatedControl) call(method, ifMatch, body string, timeout time.Duration) callResult {
	m.mutex.Lock()
	incarnation, api := m.incarnation, m.api
	m.mutex.Unlock()
	if incarnation == 0 {
		return callResult{}
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request := httptest.NewRequestWithContext(ctx, method, "/config", strings.NewReader(body))
	if ifMatch != "" {
		request.Header.Set("If-Match", ifMatch)
	}
	recorder := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		api.ServeHTTP(recorder, request)
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		return callResult{}
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.incarnation != incarnation || ctx.Err() != nil {
		return callResult{}
	}
	return callResult{status: recorder.Code, body: recorder.Body.String(), etag: recorder.Header().Get("ETag")}
}

// partition partitions a machine from all others for the given time, in one direction or both.
func (w *clusterSimulation) partition(m *simulatedControl, out, in bool, span time.Duration) {
	w.logf("%s is partitioned for %v, out %t, in %t", m.ip, span, out, in)
	for _, other := range w.members {
		if other == m {
			continue
		}
		if out {
			w.network.Partition(m.ip, other.ip)
		}
		if in {
			w.network.Partition(other.ip, m.ip)
		}
	}
	w.mutex.Lock()
	w.partitioned, w.partitionedAt = m, w.now()
	w.mutex.Unlock()
	time.Sleep(span)
	w.mutex.Lock()
	w.partitioned = nil
	w.mutex.Unlock()
	for _, other := range w.members {
		w.network.Heal(m.ip, other.ip)
		w.network.Heal(other.ip, m.ip)
	}
	w.logf("the partition of %s has ended", m.ip)
}

// isPartitioned reports whether a machine is partitioned and has been since before the time of a call.
func (w *clusterSimulation) isPartitioned(m *simulatedControl, called time.Duration) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.partitioned == m && called > w.partitionedAt
}

// recoveryTime is the time within which a machine must be in sync again after a fault.
const recoveryTime = 5 * time.Second

// injectFaults injects faults one at a time until shortly before end. Each is within the tolerance.
func (w *clusterSimulation) injectFaults(end time.Duration) {
	time.Sleep(2*time.Second + w.randomDuration(time.Second))
	for w.now() < end-2*time.Second {
		members := slices.Clone(w.members)
		w.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		w.injectFault(members[0], members[1], w.random.IntN(12), 200*time.Millisecond+w.randomDuration(3*time.Second))
		time.Sleep(recoveryTime)
	}
}

func (w *clusterSimulation) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(limit)))
}

func (w *clusterSimulation) injectFault(m, other *simulatedControl, kind int, span time.Duration) {
	switch kind {
	case 0, 1:
		m.end(kind == 1)
		time.Sleep(span)
		m.start(false)
	case 2, 3: // all machines lose power, and with kind 3 one also loses its disk
		for _, one := range w.members {
			one.end(true)
		}
		if kind == 3 {
			w.logf("%s loses its disk", m.ip)
			m.disk.Wipe()
		}
		time.Sleep(span)
		for _, one := range w.members {
			one.start(false)
		}
	case 4:
		m.end(true)
		w.logf("%s loses its disk", m.ip)
		m.disk.Wipe()
		time.Sleep(span)
		m.start(false)
	case 5:
		w.partition(m, true, true, 20*time.Second)
	case 6:
		w.partition(m, true, false, 20*time.Second)
	case 7:
		w.partition(m, false, true, 20*time.Second)
	case 8:
		w.logf("%s and %s are partitioned", m.ip, other.ip)
		w.network.Partition(m.ip, other.ip)
		if w.random.IntN(2) == 0 {
			w.network.Partition(other.ip, m.ip)
		}
		time.Sleep(span)
		w.network.Heal(m.ip, other.ip)
		w.network.Heal(other.ip, m.ip)
	case 9: // operations that wait for the disk are blocked, the API is not
		w.logf("the disk of %s stalls for %v", m.ip, span)
		m.disk.SetStalled(true)
		time.Sleep(span)
		m.disk.SetStalled(false)
	case 10:
		w.logf("%s leaves as planned", m.ip)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		_ = m.node.HandOver(ctx)
		cancel()
		m.end(false)
		time.Sleep(span)
		m.start(false)
	case 11:
		for range 10 {
			w.network.Reset(m.ip, other.ip)
			time.Sleep(w.randomDuration(span / 5))
		}
	}
}

// stop ends all processes and gives the goroutines that they leave running 10 s to end.
func (w *clusterSimulation) stop() {
	for _, m := range w.members {
		m.end(false)
	}
	time.Sleep(10 * time.Second)
}

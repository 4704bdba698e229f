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

// replicaChain is the chain as package control hands it to the API.
type replicaChain struct{ node *replica.Node }

func (c replicaChain) Propose(ctx context.Context, id string, order []byte) ([]byte, error) {
	result, err := c.node.Propose(ctx, id, order)
	if errors.Is(err, replica.ErrUnavailable) {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return result, err
}

func (c replicaChain) Read(ctx context.Context) error {
	_, err := c.node.Read(ctx)
	return err
}

// member is a control machine of the world: the API on the state machine on a real replica.
type member struct {
	world   *world
	ip      string
	disk    *bubble.Disk
	mutex   sync.Mutex
	life    int // 0 while it is down: counts starts else
	starts  int
	host    *bubble.Host
	node    *replica.Node
	machine *statemachine.StateMachine
	api     http.Handler
}

// world is a core of control machines in virtual time.
type world struct {
	t        *testing.T
	seed     uint64
	random   *rand.Rand // of the troubles
	network  *bubble.Network
	members  []*member
	seeds    []string
	plant    plant
	began    time.Time
	mutex    sync.Mutex // of all below
	events   []string
	isolated *member // cut off from all others
	since    time.Duration
	failures []string
}

const worldTolerance = 1

// newWorld starts a core. It is called in a bubble.
func newWorld(t *testing.T, seed uint64, machines int, planted plant) *world {
	w := &world{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 5)), network: bubble.New(seed), plant: planted, began: time.Now()}
	for i := range machines {
		ip := fmt.Sprint("10.0.0.", i+1)
		w.members = append(w.members, &member{world: w, ip: ip, disk: bubble.NewDisk(seed*31 + uint64(i))})
		if i < 3 {
			w.seeds = append(w.seeds, ip+":70")
		}
	}
	for _, m := range w.members {
		m.start(true)
	}
	return w
}

func (w *world) now() time.Duration { return time.Since(w.began) }

func (w *world) note(format string, arguments ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.events = append(w.events, fmt.Sprintf("%10.3f ", w.now().Seconds())+fmt.Sprintf(format, arguments...))
}

// failf notes a broken check. The world goes on to its end.
func (w *world) failf(format string, arguments ...any) {
	w.note("BROKEN: "+format, arguments...)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.failures = append(w.failures, fmt.Sprintf(format, arguments...))
}

// start starts the process. No lock is held meanwhile: who waits for one doesn't let the time of a bubble pass.
func (m *member) start(bootstrap bool) {
	w := m.world
	host, state := w.network.StartHost(m.ip), statemachine.New()
	var planted chain.StateMachine = state
	if w.plant == plantForgetful {
		planted = &forgetfulMachine{StateMachine: state}
	}
	started, err := replica.Start(replica.Options{
		Identity:     transport.Identity{System: "world", Node: m.ip, Role: "control"},
		Listen:       m.ip + ":70",
		Bind:         host.Listen,
		Dial:         host.Dial,
		Seeds:        w.seeds,
		Bootstrap:    bootstrap,
		Disk:         m.disk.Mount(),
		Tolerance:    worldTolerance,
		StateMachine: planted,
		Log:          func(event string, fields ...any) { w.note("%s %s %v", m.ip, event, fields) },
	})
	if err != nil {
		w.failf("start of %s: %v", m.ip, err)
		return
	}
	api := New(Options{Machine: state, Chain: w.plant.chain(replicaChain{started}), Bounds: node.Bounds{Acknowledge: 4 * time.Second},
		MaxBodyBytes: 1 << 20, MinActiveStores: worldTolerance + 1, Log: zerolog.Nop()})
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.starts++
	m.host, m.machine, m.node, m.life = host, state, started, m.starts
	m.api = w.plant.handler(api, api.Handler())
	w.note("%s starts", m.ip)
}

// end ends the process: as a kill, or by a loss of power.
func (m *member) end(power bool) {
	m.mutex.Lock()
	running := m.life != 0
	m.life = 0
	m.mutex.Unlock()
	if !running {
		return
	}
	m.world.note("%s ends, power lost %t", m.ip, power)
	if power {
		m.host.LosePower()
		m.disk.LosePower()
	} else {
		m.host.Kill()
		m.disk.Kill()
	}
	m.node.Close()
}

// answered is what a caller saw.
type answered struct {
	status int // 0: nothing
	body   string
	etag   string
}

// call sends one request to a machine and waits as long as an operator does.
func (m *member) call(method, ifMatch, body string, patience time.Duration) answered {
	m.mutex.Lock()
	life, api := m.life, m.api
	m.mutex.Unlock()
	if life == 0 {
		return answered{}
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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
		return answered{}
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.life != life || ctx.Err() != nil {
		return answered{}
	}
	return answered{status: recorder.Code, body: recorder.Body.String(), etag: recorder.Header().Get("ETag")}
}

// cutOff cuts a machine off from all others, in one direction or both.
func (w *world) cutOff(m *member, out, in bool, span time.Duration) {
	w.note("%s is cut off for %v, out %t, in %t", m.ip, span, out, in)
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
	w.isolated, w.since = m, w.now()
	w.mutex.Unlock()
	time.Sleep(span)
	w.mutex.Lock()
	w.isolated = nil
	w.mutex.Unlock()
	for _, other := range w.members {
		w.network.Heal(m.ip, other.ip)
		w.network.Heal(other.ip, m.ip)
	}
	w.note("%s is back in touch", m.ip)
}

// outOfTouch tells whether a machine has been cut off since before a moment.
func (w *world) outOfTouch(m *member, called time.Duration) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.isolated == m && called > w.since
}

// settle is how long a machine that is back takes to be whole again.
const settle = 5 * time.Second

// trouble brings one trouble after the other, each within what is to be borne.
func (w *world) trouble(end time.Duration) {
	time.Sleep(2*time.Second + w.span(time.Second))
	for w.now() < end-2*time.Second {
		members := slices.Clone(w.members)
		w.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		w.oneTrouble(members[0], members[1], w.random.IntN(12), 200*time.Millisecond+w.span(3*time.Second))
		time.Sleep(settle)
	}
}

func (w *world) span(most time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(most)))
}

func (w *world) oneTrouble(m, other *member, kind int, span time.Duration) {
	switch kind {
	case 0, 1:
		m.end(kind == 1)
		time.Sleep(span)
		m.start(false)
	case 2, 3: // the whole core loses power, and one its disk as well
		for _, one := range w.members {
			one.end(true)
		}
		if kind == 3 {
			w.note("%s loses its disk", m.ip)
			m.disk.Wipe()
		}
		time.Sleep(span)
		for _, one := range w.members {
			one.start(false)
		}
	case 4:
		m.end(true)
		w.note("%s loses its disk", m.ip)
		m.disk.Wipe()
		time.Sleep(span)
		m.start(false)
	case 5:
		w.cutOff(m, true, true, 20*time.Second)
	case 6:
		w.cutOff(m, true, false, 20*time.Second)
	case 7:
		w.cutOff(m, false, true, 20*time.Second)
	case 8:
		w.note("the link of %s and %s is cut", m.ip, other.ip)
		w.network.Partition(m.ip, other.ip)
		if w.random.IntN(2) == 0 {
			w.network.Partition(other.ip, m.ip)
		}
		time.Sleep(span)
		w.network.Heal(m.ip, other.ip)
		w.network.Heal(other.ip, m.ip)
	case 9: // whoever waits for the disk stands still, the API goes on
		w.note("the disk of %s stalls for %v", m.ip, span)
		m.disk.SetStalled(true)
		time.Sleep(span)
		m.disk.SetStalled(false)
	case 10:
		w.note("%s leaves as planned", m.ip)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		_ = m.node.HandOver(ctx)
		cancel()
		m.end(false)
		time.Sleep(span)
		m.start(false)
	case 11:
		for range 10 {
			w.network.Reset(m.ip, other.ip)
			time.Sleep(w.span(span / 5))
		}
	}
}

// stop ends all processes and waits for what they left behind.
func (w *world) stop() {
	for _, m := range w.members {
		m.end(false)
	}
	time.Sleep(10 * time.Second)
}

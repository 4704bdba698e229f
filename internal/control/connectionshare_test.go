package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/gateway/connectionshare"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/simulation/seeds"
)

const (
	shareGateways    = 24
	shareBound       = 500             // maximum number of connections to one server, over all gateways
	shareConnections = 450             // connections that the gateways share
	shareFallAfter   = 3 * time.Second // bounds.liveness-ms
	shareSpan        = 50 * time.Second
)

// shareGateway is a gateway that polls control and uses its share of a server's connections.
type shareGateway struct {
	simulation  *shareSimulation
	process     protocol.Process
	random      *rand.Rand
	lock        sync.Mutex // guards the fields below
	share       *connectionshare.Share
	list        *protocol.MemberList
	confirmedAt time.Time
}

// shareSimulation simulates gateways that keep running while all control processes lose power, sometimes twice within
// two seconds. It checks at each step that the sum of the gateways' shares of a server's connections doesn't exceed
// shareBound.
type shareSimulation struct {
	*simulatedSystem
	random     *rand.Rand
	end        time.Time
	gateways   []*shareGateway
	violations []string
	lastSum    int // last sum of the shares
}

func (w *shareSimulation) isOver() bool { return time.Now().After(w.end) }

// run polls randomly chosen control processes, one at a time, until the simulation ends.
func (g *shareGateway) run() {
	for !g.simulation.isOver() {
		g.subscribe(g.random.IntN(len(g.simulation.settings)))
		time.Sleep(time.Duration(g.random.Int64N(int64(200 * time.Millisecond))))
	}
}

func (g *shareGateway) subscribe(at int) {
	w := g.simulation
	options := transport.Options{
		Identity: transport.Identity{System: protocol.System, Node: g.process.Node, Role: g.process.Role},
		Dial:     w.host(g.process.IP).Dial,
	}
	client := transport.NewClient(w.settings[at].Endpoint(node.PortControl), options, g.apply, nil)
	defer client.Close()
	confirmedAt := time.Now()
	for sequence := uint64(1); time.Since(confirmedAt) < 700*time.Millisecond && !w.isOver(); sequence++ {
		sent := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		reply, err := client.Call(ctx, protocol.Poll{Process: g.process, Sequence: sequence})
		cancel()
		if err == nil {
			g.apply(reply)
			if reply.(protocol.Update).Fresh {
				confirmedAt = sent
				g.lock.Lock()
				g.confirmedAt = sent
				g.lock.Unlock()
			}
		}
		time.Sleep(protocol.PollInterval)
	}
}

// apply stores a confirmed member list from control, as package subscription does.
func (g *shareGateway) apply(message any) {
	update, ok := message.(protocol.Update)
	if !ok || update.Members == nil || !update.Members.Vouched {
		return
	}
	g.lock.Lock()
	defer g.lock.Unlock()
	g.list = update.Members
}

// part returns the number of connections that the gateway may use now.
func (g *shareGateway) part() int {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.share.Observe(time.Now(), g.list, time.Since(g.confirmedAt) < time.Second)
	return g.share.Part(shareConnections)
}

// watch records a violation if the sum of the gateways' shares exceeds shareBound.
func (w *shareSimulation) watch() {
	for !w.isOver() {
		sum := 0
		for _, g := range w.gateways {
			sum += g.part()
		}
		if sum > shareBound {
			w.violations = append(w.violations, fmt.Sprintf("the gateways use %d connections, the maximum is %d", sum, shareBound))
			return
		}
		w.lastSum = sum
		time.Sleep(50 * time.Millisecond)
	}
}

// injectFaults repeatedly cuts the power of all control processes, in half of the cases twice within two seconds,
// and then restarts a gateway.
func (w *shareSimulation) injectFaults() {
	time.Sleep(12 * time.Second)
	for !w.isOver() {
		for range 1 + w.random.IntN(2) {
			for i := range w.running {
				w.losePower(i)
			}
			time.Sleep(time.Duration(w.random.Int64N(int64(time.Second))))
			for i := range w.running {
				w.begin(i)
			}
			time.Sleep(time.Duration(w.random.Int64N(int64(time.Second))))
		}
		restarted := w.gateways[w.random.IntN(len(w.gateways))]
		restarted.lock.Lock()
		restarted.share, restarted.list = connectionshare.New(restarted.process.Node, shareFallAfter), nil
		restarted.lock.Unlock()
		time.Sleep(time.Duration(w.random.Int64N(int64(9 * time.Second))))
	}
}

func simulateShares(t *testing.T, seed uint64) *shareSimulation {
	var w *shareSimulation
	synctest.Test(t, func(t *testing.T) {
		w = &shareSimulation{simulatedSystem: newSimulatedSystem(t, seed, injectedBug{}),
			random: rand.New(rand.NewPCG(seed, 7)), end: time.Now().Add(shareSpan)}
		if status := w.put(t, "PUT", "0", quotaDocument); status != 200 {
			t.Fatal(status)
		}
		var running sync.WaitGroup
		for number := range shareGateways {
			process := gatewayProcess(number)
			g := &shareGateway{simulation: w, process: process, random: rand.New(rand.NewPCG(seed, 90+uint64(number))),
				share: connectionshare.New(process.Node, shareFallAfter)}
			w.gateways = append(w.gateways, g)
			running.Go(g.run)
		}
		running.Go(w.watch)
		running.Go(w.injectFaults)
		running.Wait()
		w.finish()
	})
	return w
}

// TestConnectionsAfterStartsOfControl checks the bound on a server's connections while control processes start that
// know few gateways or none. SEEDS=N runs N simulations, FIRST=S begins at seed S.
func TestConnectionsAfterStartsOfControl(t *testing.T) {
	first, simulations := seeds.Range(0, 3)
	for seed := first; seed < first+simulations; seed++ {
		w := simulateShares(t, seed)
		if len(w.violations) > 0 {
			t.Fatalf("seed %d: %s", seed, w.violations[0])
		}
		if w.lastSum < shareConnections/2 {
			t.Errorf("seed %d: the gateways use only %d connections at the end", seed, w.lastSum)
		}
	}
}

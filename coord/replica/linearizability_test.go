package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"sprucelane.example/sprucelane/coord/chain"
)

// registerOperation is a read, or a write of a value, of the one register that the histories are of.
type registerOperation struct {
	write bool
	value string
}

// registerModel is a register that is empty at first.
var registerModel = porcupine.Model{
	Init: func() interface{} { return "" },
	Step: func(state, input, output interface{}) (bool, interface{}) {
		operation := input.(registerOperation)
		if operation.write {
			return true, operation.value
		}
		return output.(string) == state.(string), state
	},
	Equal: func(a, b interface{}) bool { return a == b },
}

// recordHistory adds a client's reads and writes of the register to a world. The value of the
// register is the order applied last.
func recordHistory(c *campaign, history *[]porcupine.Operation, client int) {
	count := 0
	var next func()
	next = func() {
		if c.now > c.end {
			return
		}
		nodes := c.servingNodes()
		if len(nodes) == 0 {
			c.after(c.randomDuration(100*time.Millisecond), next)
			return
		}
		n := nodes[c.random.IntN(len(nodes))]
		count++
		position := len(*history)
		operation := porcupine.Operation{ClientId: position, Call: int64(c.now), Return: int64(time.Hour), Output: ""}
		if c.random.IntN(2) == 0 {
			value := fmt.Sprintf("h%d-%d", client, count)
			operation.Input = registerOperation{write: true, value: value}
			*history = append(*history, operation)
			n.propose(value, func(chain.Outcome) { (*history)[position].Return = int64(c.now) })
		} else {
			operation.Input = registerOperation{}
			*history = append(*history, operation)
			n.readValue(func(value string) {
				(*history)[position].Return = int64(c.now)
				(*history)[position].Output = value
			})
		}
		c.after(100*time.Millisecond+c.randomDuration(600*time.Millisecond), next)
	}
	c.after(c.randomDuration(time.Second), next)
}

// readValue reads the register through a node.
func (n *simulatedNode) readValue(done func(value string)) {
	incarnation := n.incarnation
	n.handle(func() {
		n.core.read(n.sim.now, func(uint64) {
			if n.incarnation != incarnation {
				return
			}
			value := ""
			if count := len(n.stateMachine.commands); count > 0 {
				value = n.stateMachine.commands[count-1]
			}
			done(value)
		})
	})
}

// answered leaves out the reads that got no answer; writes without one may have happened any time.
func answeredOperations(history []porcupine.Operation) []porcupine.Operation {
	var kept []porcupine.Operation
	for _, operation := range history {
		if operation.Input.(registerOperation).write || operation.Return < int64(time.Hour) {
			kept = append(kept, operation)
		}
	}
	return kept
}

// TestHistoriesAreLinearizable checks what clients saw in worlds with troubles, by an independent checker.
func TestHistoriesAreLinearizable(t *testing.T) {
	checked := 0
	for seed := uint64(0); seed < defaultRuns/4; seed++ {
		var history []porcupine.Operation
		c := prepareCampaign(seed, 16*time.Second, "")
		c.noClients = true
		for client := 0; client < 4; client++ {
			recordHistory(c, &history, client)
		}
		c.run()
		kept := answeredOperations(history)
		checked += len(kept)
		result := porcupine.CheckOperationsTimeout(registerModel, kept, 20*time.Second)
		if result == porcupine.Illegal {
			t.Fatalf("seed %d: the history isn't linearizable: %v", seed, kept)
		}
		if result == porcupine.Unknown {
			t.Errorf("seed %d: not decided in time", seed)
		}
	}
	t.Logf("%d operations", checked)
}

// TestHandOver checks that a member that leaves as planned is out of the chain at once, and that the
// others go on without a pause.
func TestPlannedDeparture(t *testing.T) {
	for place := 0; place < 3; place++ {
		for seed := uint64(0); seed < 50; seed++ {
			sim := startSimulatedCluster(seed, 3, 1)
			sim.runUntil(2*time.Second + time.Duration(sim.random.Int64N(int64(time.Second))))
			sim.mustAcknowledge(t, sim.nodes[0], "before", time.Second)
			var leaving, staying *simulatedNode
			for _, n := range sim.nodes {
				if n.address == sim.nodes[0].core.view().Chain[place].Address {
					leaving = n
				} else {
					staying = n
				}
			}
			left := false
			leaving.handle(func() {
				leaving.core.onDeparted = func() {
					left = true
					for _, n := range sim.nodes {
						if n.core.epoch() < leaving.core.epoch() {
							sim.failf("%s ends, and %s doesn't know of the view without it", leaving.name, n.name)
						}
					}
				}
				leaving.core.announceDeparture(sim.now)
			})
			if !sim.runWhile(200*time.Millisecond, leaving.core.inChain) {
				sim.failf("%s is in the chain 200 ms after it asked to leave", leaving.name)
			}
			if took := sim.mustAcknowledge(t, staying, "after", time.Second); took > 400*time.Millisecond {
				t.Errorf("place %d, seed %d: next order after %v", place, seed, took)
			}
			sim.runUntil(sim.now + 3*time.Second)
			if !left {
				sim.failf("%s hears nothing of its leave", leaving.name)
			}
			if leaving.core.inChain() {
				sim.failf("a member that leaves was let in again")
			}
		}
	}
}

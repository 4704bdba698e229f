package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"sprucelane.example/sprucelane/coord/chain"
)

// registerOperation is an operation on the single register of a history: a read, or a write of a value.
type registerOperation struct {
	write bool
	value string
}

// registerModel is the model of a register whose initial value is empty.
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

// recordHistory starts a client that reads and writes the register and records its operations. The value of the
// register is the last applied command.
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

// answeredOperations returns the history without unanswered reads. Unanswered writes remain, because they may have been
// applied at any time.
func answeredOperations(history []porcupine.Operation) []porcupine.Operation {
	var kept []porcupine.Operation
	for _, operation := range history {
		if operation.Input.(registerOperation).write || operation.Return < int64(time.Hour) {
			kept = append(kept, operation)
		}
	}
	return kept
}

// TestHistoriesAreLinearizable checks the histories of clients in runs with faults by the independent checker
// porcupine.
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
			t.Errorf("seed %d: the linearizability check isn't finished within 20 s", seed)
		}
	}
	t.Logf("%d operations", checked)
}

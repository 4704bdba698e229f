package chain_test

import (
	"fmt"
	"testing"

	"sprucelane.example/sprucelane/coord/chain"
)

// counter counts the orders that it applied.
type counter struct{ applied int }

func (c *counter) Apply(uint64, []byte) []byte { c.applied++; return fmt.Append(nil, c.applied) }
func (c *counter) Snapshot() []byte            { return fmt.Append(nil, c.applied) }
func (c *counter) Restore(snapshot []byte) error {
	_, err := fmt.Sscan(string(snapshot), &c.applied)
	return err
}

// TestMemoryOfOutcomes applies more orders than are remembered: the last ones are known, the others not, alike in a state that was
// restored from an image on the way; an order that is known is applied once.
func TestDeduplicationWindow(t *testing.T) {
	const memory, orders = 16, 100
	for restoredAt := 1; restoredAt < orders; restoredAt += 7 {
		states := []*chain.State{chain.NewState(&counter{}, memory), chain.NewState(&counter{}, memory)}
		for index := uint64(1); index <= orders; index++ {
			for _, state := range states {
				state.Apply(chain.Entry{Index: index, ID: fmt.Sprint(index)})
			}
			if index == uint64(restoredAt) {
				states[1] = chain.NewState(&counter{}, memory)
				if err := states[1].Restore(states[0].Snapshot()); err != nil {
					t.Fatal(err)
				}
			}
			for id := uint64(1); id <= index; id++ {
				for number, state := range states {
					if _, known := state.Outcome(fmt.Sprint(id)); known != (id+memory > index) {
						t.Fatalf("state %d, restored at %d: order %d is known after %d: %v", number, restoredAt, id, index, known)
					}
				}
			}
		}
		for _, state := range states {
			if outcome, repeated := state.Apply(chain.Entry{Index: orders + 1, ID: fmt.Sprint(orders - memory + 1)}); !repeated || outcome.Index != orders-memory+1 {
				t.Errorf("the oldest order that is remembered is applied again: %+v", outcome)
			}
			if outcomes := len(state.Snapshot().Outcomes); outcomes != memory {
				t.Errorf("an image holds %d outcomes", outcomes)
			}
		}
	}
}

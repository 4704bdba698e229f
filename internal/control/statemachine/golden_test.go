package statemachine

import (
	"testing"

	"sprucelane.example/sprucelane/internal/golden"
)

// TestGolden holds the orders in the chain's log, their outcomes and the snapshot to the form that earlier versions wrote.
func TestGolden(t *testing.T) {
	golden.Gob[Command](t, "command")
	golden.Gob[Outcome](t, "outcome")
	golden.Gob[snapshot](t, "snapshot")
}

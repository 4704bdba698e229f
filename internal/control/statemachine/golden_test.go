package statemachine

import (
	"testing"

	"sprucelane.example/sprucelane/internal/golden"
)

// TestGolden checks that commands, outcomes and snapshots keep the form that earlier versions wrote.
func TestGolden(t *testing.T) {
	golden.Gob[Command](t, "command")
	golden.Gob[Outcome](t, "outcome")
	golden.Gob[snapshot](t, "snapshot")
}

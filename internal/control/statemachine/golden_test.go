package statemachine

import (
	"testing"

	"sprucelane.example/sprucelane/internal/golden"
)

// TestGolden checks that commands, outcomes and snapshots have the same encoding as in earlier versions.
func TestGolden(t *testing.T) {
	golden.Gob[Command](t, "command")
	golden.Gob[Outcome](t, "outcome")
	golden.Gob[snapshot](t, "snapshot")
}

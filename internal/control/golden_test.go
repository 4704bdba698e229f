package control

import (
	"testing"

	"sprucelane.example/sprucelane/internal/golden"
)

// TestGolden checks that the reports between control processes keep the form that earlier versions send.
func TestGolden(t *testing.T) {
	golden.Message(t, "peer-report", peerReport{})
}

package control

import (
	"testing"

	"sprucelane.example/sprucelane/internal/golden"
)

// TestGolden checks that the encoding of reports between control processes is the one that earlier versions send.
func TestGolden(t *testing.T) {
	golden.Message(t, "peer-report", peerReport{})
}

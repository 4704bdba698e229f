package control

import (
	"testing"

	"sprucelane.example/sprucelane/internal/golden"
)

// TestGolden holds the message between control processes to the form that earlier versions send.
func TestGolden(t *testing.T) {
	golden.Message(t, "peer-report", peerReport{})
}

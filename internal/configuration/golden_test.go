package configuration

import (
	"testing"

	"sprucelane.example/sprucelane/internal/golden"
)

// TestGolden holds the state in the chain's snapshots, and the digests of orders that it remembers, to the form
// that earlier versions wrote.
func TestGolden(t *testing.T) {
	golden.Gob[encodedState](t, "state")

	change := ChangeRequest{IfMatch: 7, Patch: true, Body: []byte(`{"generation":8}`)}
	digest := change.Digest()
	golden.Bytes(t, "digest", digest[:])
}

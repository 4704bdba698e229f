package configuration

import (
	"testing"

	"sprucelane.example/sprucelane/internal/golden"
)

// TestGolden checks that the state in replicated snapshots, and the digests of change requests in it, still have the
// format that earlier versions wrote.
func TestGolden(t *testing.T) {
	golden.Gob[encodedState](t, "state")

	change := ChangeRequest{IfMatch: 7, Patch: true, Body: []byte(`{"generation":8}`)}
	digest := change.Digest()
	golden.Bytes(t, "digest", digest[:])
}

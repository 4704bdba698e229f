package operatorapi

import (
	"crypto/rand"
	"encoding/hex"
)

// newID gives an id that no other order has.
func newID(kind string) string {
	var random [8]byte
	_, _ = rand.Read(random[:]) // never fails: it ends the process where the system has no randomness
	return kind + "-" + hex.EncodeToString(random[:])
}

package configuration

import (
	"crypto/sha256"
	"encoding/binary"
	"io"

	"sprucelane.example/sprucelane/internal/node"
)

// Order is a change that the operator asks for.
type ChangeRequest struct {
	IfMatch uint64 // generation that it builds on, 0 for the first
	Patch   bool   // Body is a PATCH, else a whole document
	Body    []byte // JSON, exactly as it came
}

// Digest identifies an order: equal for the same bytes on the same version with the same method, and else never.
type Digest [16]byte

// Digest gives the order's.
func (r ChangeRequest) Digest() Digest {
	digester := NewDigester(r.IfMatch, r.Patch)
	_, _ = digester.Write(r.Body) // a hash takes all
	return digester.Digest()
}

// Digester finds the digest of an order whose body is written to it, for bodies that are not to be held.
type Digester struct {
	io.Writer
	sum func() []byte
}

// NewDigester begins the digest of an order.
func NewDigester(ifMatch uint64, patch bool) Digester {
	var head [9]byte
	binary.BigEndian.PutUint64(head[:], ifMatch)
	if patch {
		head[8] = 1
	}
	hash := sha256.New()
	hash.Write(head[:])
	return Digester{Writer: hash, sum: func() []byte { return hash.Sum(nil) }}
}

// Digest gives the digest of the order whose body was written.
func (d Digester) Digest() Digest { return Digest(d.sum()[:len(Digest{})]) }

// Status is what came of an order.
type Status int

// The outcomes of orders. They are the statuses of HTTP that the operator gets.
const (
	StatusAccepted Status = 200 // in force, now or when it came first
	StatusInvalid  Status = 400
	StatusStale    Status = 412 // another version is current
	// StatusUnsure: the order builds on a version so old that it isn't remembered whether it was taken.
	StatusUnknown Status = 503
)

// Result is what came of an order.
type Result struct {
	Status     Status
	Generation uint64        // current one after the order
	Findings   node.Findings // of StatusInvalid
	Repeated   bool          // StatusTaken: it had been taken before, nothing changed
}

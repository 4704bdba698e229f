package configuration

import (
	"crypto/sha256"
	"encoding/binary"
	"io"

	"sprucelane.example/sprucelane/internal/node"
)

// ChangeRequest is a change of the configuration requested by the operator. It is part of the replicated log, encoded
// with gob: the names of the fields are fixed.
type ChangeRequest struct {
	IfMatch uint64 // generation that it builds on; 0: there is no configuration yet
	Patch   bool   // Body is a patch, otherwise a whole document
	Body    []byte // JSON as received; it isn't modified
}

// Digest identifies a change request: two requests have the same digest if and only if their base generations,
// methods and bodies are the same (up to collisions of SHA-256 truncated to 128 bits).
type Digest [16]byte

// Digest returns the digest of the request.
func (r ChangeRequest) Digest() Digest {
	digester := NewDigester(r.IfMatch, r.Patch)
	_, _ = digester.Write(r.Body) // a hash never returns an error
	return digester.Digest()
}

// Digester computes the digest of a request whose body is written to it, for bodies that are too large to
// keep.
type Digester struct {
	io.Writer
	sum func() []byte
}

// NewDigester returns a Digester for a request with a base generation, which is a PATCH or a PUT.
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

// Digest returns the digest of the request with the body written so far.
func (d Digester) Digest() Digest { return Digest(d.sum()[:len(Digest{})]) }

// Status is the outcome of a change request. The values are the HTTP statuses that the operator gets.
type Status int

// The outcomes of change requests.
const (
	StatusAccepted Status = 200 // in force: just applied, or applied when it was first received
	StatusInvalid  Status = 400 // Result.Findings has the reasons
	StatusStale    Status = 412 // it builds on another generation than the current one
	StatusUnknown  Status = 503 // it builds on a generation so old that it is no longer known whether it was accepted
)

// Result is the outcome of a change request. It is part of the outcomes in the replicated log, encoded with gob: the
// names of the fields are fixed.
type Result struct {
	Status     Status
	Generation uint64        // the current generation after the request
	Findings   node.Findings // with StatusInvalid: the reasons
	Repeated   bool          // with StatusAccepted: the request was accepted before and changed nothing now
}

// ValidateStandalone checks a request as far as that is possible without the version that it builds on. It returns
// nil if it finds nothing wrong.
func ValidateStandalone(request ChangeRequest) node.Findings {
	var err error
	if request.Patch {
		_, err = ParsePatch(request.Body)
	} else {
		_, err = ParseDocument(request.Body, 0)
	}
	if err == nil {
		return nil
	}
	return asFindings(err)
}

package configuration

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"

	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/protocol"
)

// maxHistory is the number of accepted requests that are remembered, so that a repeated request gets the same
// answer.
const maxHistory = 4096

// State is the configuration in force and the history of the last accepted requests. It is a deterministic function
// of the requests applied, so that replicas agree. It isn't safe for concurrent use; the Versions that it returns
// are.
type State struct {
	current *Version

	// Invariant: accepted contains exactly the digests in history.
	accepted map[Digest]bool
	history  []acceptedRequest // the oldest first

	changes changeLog
}

// acceptedRequest identifies a request in the history. It is part of replicated snapshots, encoded with gob: the
// names of the fields are fixed.
type acceptedRequest struct {
	Digest  Digest
	IfMatch uint64
}

// NewState returns the state before the first configuration.
func NewState() *State {
	return &State{current: &Version{}, accepted: map[Digest]bool{}}
}

// Current returns the version in force. Its Generation is 0 before the first.
func (s *State) Current() *Version { return s.current }

// StatusOf returns the status of the request with a digest according to the history: StatusAccepted, StatusUnknown if
// the request is too old for the history, or StatusStale if it was not accepted.
func (s *State) StatusOf(digest Digest, ifMatch uint64) Status {
	if s.accepted[digest] {
		return StatusAccepted
	}
	if len(s.history) == maxHistory && ifMatch < s.history[0].IfMatch {
		return StatusUnknown
	}
	return StatusStale
}

// Apply executes a request that has an index in the replicated log. The caller must not modify the request's body
// afterwards.
func (s *State) Apply(index uint64, request ChangeRequest) Result {
	result, next := s.evaluate(index, request)
	if next == nil {
		return result
	}
	s.current = next
	s.remember(acceptedRequest{Digest: request.Digest(), IfMatch: request.IfMatch})
	s.changes.add(protocol.ConfigurationStep{Index: index, Patch: request.Patch, Body: request.Body})
	return result
}

// Evaluate returns the result that Apply would return now, without changing the state.
func (s *State) Evaluate(request ChangeRequest) Result {
	result, _ := s.evaluate(s.current.Index+1, request)
	return result
}

// evaluate returns the result of a request and the resulting version, which is nil if the request changes nothing.
func (s *State) evaluate(index uint64, request ChangeRequest) (Result, *Version) {
	generation := s.current.Generation
	switch status := s.StatusOf(request.Digest(), request.IfMatch); {
	case status == StatusAccepted:
		return Result{Status: StatusAccepted, Generation: generation, Repeated: true}, nil
	case request.IfMatch != generation:
		return Result{Status: status, Generation: generation}, nil
	}
	next, err := s.buildNext(index, request)
	if err != nil {
		return Result{Status: StatusInvalid, Generation: generation, Findings: asFindings(err)}, nil
	}
	return Result{Status: StatusAccepted, Generation: next.Generation}, next
}

// buildNext returns the version that results from a request to change the current one. The error is of type
// node.Findings.
func (s *State) buildNext(index uint64, request ChangeRequest) (*Version, error) {
	next, err := s.current.next(index, request.Patch, request.Body)
	if err != nil {
		return nil, err
	}
	if next.Generation <= s.current.Generation {
		var findings node.Findings
		findings.Addf(memberGeneration, "%d is not above the current one, %d", next.Generation, s.current.Generation)
		return nil, findings
	}
	return next, nil
}

// asFindings returns the findings in an error; any other error becomes a finding without a location.
func asFindings(err error) node.Findings {
	var findings node.Findings
	if errors.As(err, &findings) {
		return findings
	}
	return node.Findings{{Text: err.Error()}}
}

// remember adds a request to the history, from which it removes the oldest if there are more than maxHistory.
func (s *State) remember(request acceptedRequest) {
	if len(s.history) == maxHistory {
		delete(s.accepted, s.history[0].Digest)
		s.history = append(s.history[:0], s.history[1:]...)
	}
	s.history = append(s.history, request)
	s.accepted[request.Digest] = true
}

// encodedState is the form of a State in snapshots of the replicated state machine, encoded with gob: the names of
// the fields are fixed.
type encodedState struct {
	Index    uint64
	Document []byte // empty: there is no configuration yet
	Taken    []acceptedRequest
}

// Encode returns the encoded form of the state for a snapshot. The change log isn't part of it: after a restore,
// followers get the whole document.
func (s *State) Encode() ([]byte, error) {
	encoded := encodedState{Index: s.current.Index, Taken: s.history}
	if s.current.Generation > 0 {
		encoded.Document = s.current.JSON()
	}
	var out bytes.Buffer
	err := gob.NewEncoder(&out).Encode(encoded)
	return out.Bytes(), err
}

// DecodeState returns the state that was encoded by Encode.
func DecodeState(raw []byte) (*State, error) {
	var encoded encodedState
	if err := gob.NewDecoder(bytes.NewReader(raw)).Decode(&encoded); err != nil {
		return nil, fmt.Errorf("configuration: decode state: %w", err)
	}
	s := NewState()
	if len(encoded.Document) > 0 {
		version, err := ParseDocument(encoded.Document, encoded.Index)
		if err != nil {
			return nil, fmt.Errorf("configuration: decode state: %w", err)
		}
		s.current = version
	}
	for _, request := range encoded.Taken {
		s.remember(request)
	}
	return s, nil
}

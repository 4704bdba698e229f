package configuration

import (
	"bytes"
	"encoding/gob"
	"fmt"

	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/protocol"
)

// historySize is how many taken orders are remembered, so that one that is sent again gets its answer again.
const maxHistory = 4096

// State is the configuration in force and the orders that led to it. It is a deterministic function of the orders applied,
// so that replicas agree. It isn't safe for concurrent use; the Version that it gives is.
type State struct {
	current  *Version
	accepted map[Digest]bool
	history  []acceptedRequest // oldest first
	changes  changeLog
}

// takenOrder is a remembered order.
type acceptedRequest struct {
	Digest  Digest
	IfMatch uint64
}

// NewState gives the state before the first configuration.
func NewState() *State {
	return &State{current: &Version{}, accepted: map[Digest]bool{}}
}

// Current gives the version in force. Its Generation is 0 before the first.
func (s *State) Current() *Version { return s.current }

// Remembered tells what is remembered of the order with a digest: that it was taken, that it is too old to tell, and else
// StatusStale: it was not taken.
func (s *State) StatusOf(digest Digest, ifMatch uint64) Status {
	if s.accepted[digest] {
		return StatusAccepted
	}
	if len(s.history) == maxHistory && ifMatch < s.history[0].IfMatch {
		return StatusUnknown
	}
	return StatusStale
}

// Apply carries an order out as the one with an index in the chain. The caller doesn't change the order's body afterwards.
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

// Evaluate tells what would come of an order now, and changes nothing.
func (s *State) Evaluate(request ChangeRequest) Result {
	result, _ := s.evaluate(s.current.Index+1, request)
	return result
}

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

func (s *State) buildNext(index uint64, request ChangeRequest) (*Version, error) {
	next, err := s.successor(index, request)
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

func (s *State) successor(index uint64, request ChangeRequest) (*Version, error) {
	if !request.Patch {
		return ParseDocument(request.Body, index)
	}
	patch, err := ParsePatch(request.Body)
	if err != nil {
		return nil, err
	}
	if s.current.Generation == 0 {
		return nil, node.Findings{{Place: "If-Match", Text: "there is no configuration to change yet"}}
	}
	return s.current.Apply(patch, index)
}

func asFindings(err error) node.Findings {
	if findings, ok := err.(node.Findings); ok {
		return findings
	}
	return node.Findings{{Text: err.Error()}}
}

func (s *State) remember(one acceptedRequest) {
	if len(s.history) == maxHistory {
		delete(s.accepted, s.history[0].Digest)
		s.history = append(s.history[:0], s.history[1:]...)
	}
	s.history = append(s.history, one)
	s.accepted[one.Digest] = true
}

// image is the form of a State in a snapshot of the chain.
type encodedState struct {
	Index    uint64
	Document []byte // empty: none yet
	Taken    []acceptedRequest
}

// Encode gives the state's form for a snapshot of the chain.
func (s *State) Encode() ([]byte, error) {
	form := encodedState{Index: s.current.Index, Taken: s.history}
	if s.current.Generation > 0 {
		form.Document = s.current.JSON()
	}
	var out bytes.Buffer
	err := gob.NewEncoder(&out).Encode(form)
	return out.Bytes(), err
}

// DecodeState reads what Encode gave.
func DecodeState(raw []byte) (*State, error) {
	var form encodedState
	if err := gob.NewDecoder(bytes.NewReader(raw)).Decode(&form); err != nil {
		return nil, fmt.Errorf("configuration's state: %w", err)
	}
	s := NewState()
	if len(form.Document) > 0 {
		version, err := ParseDocument(form.Document, form.Index)
		if err != nil {
			return nil, fmt.Errorf("configuration's state: %w", err)
		}
		s.current = version
	}
	for _, one := range form.Taken {
		s.remember(one)
	}
	return s, nil
}

// CheckAlone gives what is wrong with an order whatever version it builds on.
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

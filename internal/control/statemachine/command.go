package statemachine

import (
	"bytes"
	"encoding/gob"
	"fmt"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

// Command is one entry of the chain's log. Exactly one of its fields is set.
type Command struct {
	Configuration *configuration.ChangeRequest
	Join          *Join
	Evict         *Evict
	Suspect       *Suspect
	Retire        *Retire
	Retired       *Retired
	Settle        *Settle
	Lending       *GrantsChange
}

// Join adds batch processes to the store membership. Each process replaces the members with the same node or the
// same address, since the disk of such a member was lost or its machine was replaced.
type Join struct {
	Processes []protocol.Process
	// Epoch is the epoch of the membership in which the processes were found missing. The command has no effect in
	// any other epoch, so that a delayed command can't bring back a process that has been replaced since. 0 matches
	// every epoch.
	Epoch uint64
	// ActedIn is the highest epoch that any of Processes has acted in. It exceeds the membership's epoch if the
	// control state was created anew; the epochs then continue from ActedIn, because a batch process never returns
	// to an earlier epoch.
	ActedIn uint64
}

// Suspect records that a batch process has timed out or, if Over is set, that it polls again. A member under
// suspicion is granted no new lease, so that its current lease expires.
type Suspect struct {
	Node        string
	Incarnation string
	Over        bool
}

// Evict removes a batch process whose lease has certainly expired, because it has been under suspicion for longer
// than the duration of a lease.
type Evict struct {
	Node        string
	Incarnation string
	// Suspicion is the number of the suspicion that the eviction relies on. The command has no effect once that
	// suspicion has ended. 0 means no such condition; it occurs in logs written before suspicions were recorded.
	Suspicion uint64
}

// Retire begins the retirement of a batch process, which then hands over all data that it stores to other members.
type Retire struct {
	Node   string
	Remain int // minimum number of active members that must remain
}

// Retired completes a retirement: in Epoch the batch process held nothing that other members need.
type Retired struct {
	Node        string
	Incarnation string
	Epoch       uint64
}

// Settle records that all members were reconciled and fully replicated in Epoch. Processes that departed
// before that hold nothing that is still needed.
type Settle struct {
	Epoch uint64
}

// Outcome is the result of a command. Only the field for the command's kind is set.
type Outcome struct {
	Configuration *configuration.Result
	Store         StoreOutcome
	Lending       *GrantsOutcome
}

// StoreOutcome is the result of a command on the store membership.
type StoreOutcome int

// The results of commands on the store membership. Their numbers are part of the encoding.
const (
	StoreUnchanged StoreOutcome = iota // the state was already as requested, or the command no longer fits it
	StoreChanged
	StoreUnknown // the batch process is not a member
	StoreTooFew  // fewer active members would remain than Retire.Remain
)

// String returns the outcome's name in log lines.
func (o StoreOutcome) String() string {
	switch o {
	case StoreUnchanged:
		return "unchanged"
	case StoreChanged:
		return "changed"
	case StoreUnknown:
		return "unknown_store"
	case StoreTooFew:
		return "too_few_remain"
	}
	return "unknown"
}

// Encode returns the encoded command, as proposed to the chain.
func (c Command) Encode() ([]byte, error) { return encode(c) }

// DecodeOutcome decodes an outcome returned by [StateMachine.Apply].
func DecodeOutcome(encoded []byte) (Outcome, error) {
	var outcome Outcome
	err := decode(encoded, &outcome)
	return outcome, err
}

// encode returns the gob encoding of a value, including the definitions of its types.
func encode(value any) ([]byte, error) {
	var out bytes.Buffer
	if err := gob.NewEncoder(&out).Encode(value); err != nil {
		return nil, fmt.Errorf("statemachine: encode %T: %w", value, err)
	}
	return out.Bytes(), nil
}

// decode decodes a value encoded by encode into the value that into points to.
func decode(encoded []byte, into any) error {
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(into); err != nil {
		return fmt.Errorf("statemachine: decode %T: %w", into, err)
	}
	return nil
}

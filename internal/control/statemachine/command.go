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

// Join adds batch processes to the store membership. Each replaces members that have its node or its address:
// the disk of such a member was lost, or its machine was replaced.
type Join struct {
	Processes []protocol.Process
	// Epoch is that of the membership in which the processes were found missing. The command has no effect in
	// another one, so that a late command can't bring back a process that has been replaced since. 0 fits every
	// epoch.
	Epoch uint64
	// ActedIn is the highest epoch that one of Processes has acted in. It is above the membership's epoch where
	// the control state was founded anew; the epochs then continue from ActedIn, as a batch process never
	// returns to an earlier epoch.
	ActedIn uint64
}

// Suspect records that a batch process has timed out or, where Over is set, that it polls again. A member
// under suspicion is granted no lease, so that the lease that it has runs out.
type Suspect struct {
	Node        string
	Incarnation string
	Over        bool
}

// Evict removes a batch process whose lease has certainly ended, because its suspicion is older than a lease
// lasts.
type Evict struct {
	Node        string
	Incarnation string
	// Suspicion is the number of the suspicion that the eviction relies on; the command has no effect once that
	// is over. 0 is met in logs from before suspicions were recorded, and stands for no such condition.
	Suspicion uint64
}

// Retire begins the retirement of a batch process: it is to hand all that it stores to other members.
type Retire struct {
	Node   string
	Remain int // least number of active members that must remain
}

// Retired completes a retirement: in Epoch the batch process held nothing that others need.
type Retired struct {
	Node        string
	Incarnation string
	Epoch       uint64
}

// Settle records that all members were reconciled and fully replicated in Epoch. Processes that departed
// earlier hold nothing that is still needed.
type Settle struct {
	Epoch uint64
}

// Outcome is the result of a command. Only the field that belongs to the command's kind is set.
type Outcome struct {
	Configuration *configuration.Result
	Store         StoreOutcome
	Lending       *GrantsOutcome
}

// StoreOutcome is the result of a command on the store membership.
type StoreOutcome int

// The results of commands on the store membership. Their numbers are part of the encoding.
const (
	StoreUnchanged StoreOutcome = iota // the state was as asked for already, or the command no longer fits it
	StoreChanged
	StoreUnknown // the membership has no such batch process
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

// Encode returns the command as the chain carries it.
func (c Command) Encode() ([]byte, error) { return encode(c) }

// DecodeOutcome decodes what [StateMachine.Apply] returned.
func DecodeOutcome(encoded []byte) (Outcome, error) {
	var outcome Outcome
	err := decode(encoded, &outcome)
	return outcome, err
}

// encode encodes a value by itself, with the definitions of its types.
func encode(value any) ([]byte, error) {
	var out bytes.Buffer
	if err := gob.NewEncoder(&out).Encode(value); err != nil {
		return nil, fmt.Errorf("statemachine: encode %T: %w", value, err)
	}
	return out.Bytes(), nil
}

// decode decodes what encode returned.
func decode(encoded []byte, into any) error {
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(into); err != nil {
		return fmt.Errorf("statemachine: decode %T: %w", into, err)
	}
	return nil
}

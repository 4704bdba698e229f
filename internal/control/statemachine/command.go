// Package statemachine owns the state that the control processes agree on, as the chain's state machine: the operator's
// configuration and the agreed set of batch processes. It is deterministic: it reads no clock and draws no numbers. It must
// never know how orders reach it.
package statemachine

import (
	"bytes"
	"encoding/gob"
	"fmt"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

// Command is one order of the chain. Exactly one member is set.
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

// Join takes batch processes into the set. A member with the same node or address and another incarnation goes: its disk was
// lost or its machine replaced.
type Join struct {
	Processes []protocol.Process
	Epoch     uint64 // of the set as it was when they were found missing; nothing is done in a later one. 0: in any
	// ActedIn is the highest epoch that one of them acted in. It is above that of the set where the control state was founded anew;
	// epochs go on from there, as no batch process goes back.
	ActedIn uint64
}

// Suspect says that a batch process has fallen silent, or that it polls again. One that is suspected gets no lease, so that the one
// that it has ends.
type Suspect struct {
	Node        string
	Incarnation string
	Over        bool
}

// Evict removes a batch process whose lease has surely ended: under a suspicion that is as old as a lease lasts.
type Evict struct {
	Node        string
	Incarnation string
	Suspicion   uint64 // its number; nothing is done where that is over. 0: of logs from before there were suspicions
}

// Retire asks for a batch process to be emptied.
type Retire struct {
	Node   string
	Remain int // how many active members must remain at least
}

// Retired states that a retiring batch process holds nothing that others need, as seen in a store view.
type Retired struct {
	Node        string
	Incarnation string
	Epoch       uint64
}

// Settle states that all members of the set stood whole in an epoch: whoever left before holds nothing that others need.
type Settle struct {
	Epoch uint64
}

// Outcome is what came of a command.
type Outcome struct {
	Configuration *configuration.Result
	Store         StoreOutcome
	Lending       *GrantsOutcome
}

// StoreOutcome is what came of a command on the set of batch processes.
type StoreOutcome int

// The outcomes on the set.
const (
	StoreUnchanged StoreOutcome = iota // it was so already, or the command no longer fits
	StoreChanged
	StoreUnknown // no such batch process
	StoreTooFew  // too few would remain
)

// Encode gives the command's form in the chain.
func (c Command) Encode() ([]byte, error) { return encode(c) }

// DecodeOutcome reads what Apply gave.
func DecodeOutcome(raw []byte) (Outcome, error) {
	var outcome Outcome
	err := decode(raw, &outcome)
	return outcome, err
}

func encode(value any) ([]byte, error) {
	var out bytes.Buffer
	if err := gob.NewEncoder(&out).Encode(value); err != nil {
		return nil, fmt.Errorf("control's state machine: %w", err)
	}
	return out.Bytes(), nil
}

func decode(raw []byte, into any) error {
	if err := gob.NewDecoder(bytes.NewReader(raw)).Decode(into); err != nil {
		return fmt.Errorf("control's state machine: %w", err)
	}
	return nil
}

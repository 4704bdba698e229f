package statemachine

import (
	"sync"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

// StateMachine is the control plane's replicated state machine. It is safe for concurrent use: the chain
// applies commands while others read.
type StateMachine struct {
	onChange func() // set before the first command, and not changed after it; called without mutex held

	// mutex guards the fields below. Apply holds it for the whole of a command, so that a reader sees each
	// command's effect whole or not at all.
	mutex         sync.RWMutex
	configuration *configuration.State
	stores        *membership
	grants        grantRecord
}

// New returns the state before the first command.
func New() *StateMachine {
	return &StateMachine{configuration: configuration.NewState(), stores: newMembership(), onChange: func() {}}
}

// OnChange sets a function that is called after each command and after each Restore. It must be set before
// the first of them, and must not block: the chain's next command waits for it.
func (m *StateMachine) OnChange(call func()) { m.onChange = call }

// Apply applies the encoded command at an index of the log and returns the encoded [Outcome]. A command that
// can't be decoded changes nothing and returns nil; all members agree on that, as they decode the same bytes.
func (m *StateMachine) Apply(index uint64, encoded []byte) []byte {
	var command Command
	if decode(encoded, &command) != nil {
		return nil
	}
	m.mutex.Lock()
	outcome := m.apply(index, command)
	m.mutex.Unlock()
	m.onChange()
	result, err := encode(outcome)
	if err != nil {
		return nil // can't happen: every Outcome can be encoded
	}
	return result
}

// apply applies a command with mutex held.
func (m *StateMachine) apply(index uint64, command Command) Outcome {
	switch {
	case command.Configuration != nil:
		result := m.configuration.Apply(index, *command.Configuration)
		return Outcome{Configuration: &result}
	case command.Join != nil:
		return Outcome{Store: m.stores.join(command.Join)}
	case command.Evict != nil:
		return Outcome{Store: m.stores.evict(command.Evict)}
	case command.Suspect != nil:
		return Outcome{Store: m.stores.suspect(command.Suspect)}
	case command.Retire != nil:
		return Outcome{Store: m.stores.retire(command.Retire)}
	case command.Retired != nil:
		return Outcome{Store: m.stores.retired(command.Retired)}
	case command.Settle != nil:
		return Outcome{Store: m.stores.reconcile(command.Settle)}
	case command.Lending != nil:
		return Outcome{Lending: m.grants.apply(command.Lending)}
	}
	return Outcome{}
}

// snapshot is the encoded form of a StateMachine.
type snapshot struct {
	Configuration []byte // as configuration.State.Encode gives it
	Stores        membershipSnapshot
	Lending       grantRecord
}

// Snapshot returns the encoded state.
func (m *StateMachine) Snapshot() []byte {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	encodedConfiguration, err := m.configuration.Encode()
	if err != nil {
		return nil
	}
	encoded, err := encode(snapshot{Configuration: encodedConfiguration, Stores: m.stores.snapshot(), Lending: m.grants})
	if err != nil {
		return nil
	}
	return encoded
}

// Restore replaces the state by one that Snapshot returned. On an error the state stays as it was.
func (m *StateMachine) Restore(encoded []byte) error {
	var decoded snapshot
	if err := decode(encoded, &decoded); err != nil {
		return err
	}
	state, err := configuration.DecodeState(decoded.Configuration)
	if err != nil {
		return err
	}
	m.mutex.Lock()
	m.configuration = state
	m.stores = restoreMembership(decoded.Stores)
	m.grants = decoded.Lending
	m.mutex.Unlock()
	m.onChange()
	return nil
}

// Configuration returns the current version of the configuration. Its Generation is 0 before the first one.
func (m *StateMachine) Configuration() *configuration.Version {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.configuration.Current()
}

// ConfigurationSince returns the update that leads from the version at an index to the current one; nil if
// that is the current one.
func (m *StateMachine) ConfigurationSince(index uint64) *protocol.ConfigurationUpdate {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.configuration.UpdateSince(index)
}

// Evaluate returns what Apply would return for an operator's change of the configuration now, without
// applying it.
func (m *StateMachine) Evaluate(change configuration.ChangeRequest) configuration.Result {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.configuration.Evaluate(change)
}

// Remembered returns what is known of an operator's earlier change by its digest and the version that it
// builds on.
func (m *StateMachine) Remembered(digest configuration.Digest, ifMatch uint64) configuration.Status {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.configuration.StatusOf(digest, ifMatch)
}

// Stores returns the store membership.
func (m *StateMachine) Stores() protocol.StoreView {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.stores.view()
}

// MayJoin reports whether a Join of a batch process would have an effect.
func (m *StateMachine) MayJoin(process protocol.Process) bool {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.stores.mayJoin(m.stores.members, process)
}

// Suspicion returns the number of the suspicion that an incarnation of a batch process is under, 0 for none.
func (m *StateMachine) Suspicion(node, incarnation string) uint64 {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.stores.suspicionNumber(node, incarnation)
}

// Retirement returns the state of a batch process's retirement.
func (m *StateMachine) Retirement(node string) Retirement {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.stores.retirementState(node)
}

// CountRetirements returns the number of remembered retirements that are active, or completed.
func (m *StateMachine) CountRetirements(state Retirement) int {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.stores.countRetirements(state)
}

// Grantor returns the process that may grant quota.
func (m *StateMachine) Grantor() Grantor {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.grants.Lender
}

package statemachine

import (
	"sync"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

// StateMachine is the control plane's replicated state machine. It is safe for concurrent use: the chain
// applies commands while others read.
type StateMachine struct {
	onChange func() // set before the first command and not changed afterwards; called without mutex held

	// mutex guards the fields below. Apply holds it for the whole of a command, so that a reader sees either all
	// or none of a command's effects.
	mutex         sync.RWMutex
	configuration *configuration.State
	stores        *membership
	grants        grantRecord
}

// New returns a state machine in the state before the first command.
func New() *StateMachine {
	return &StateMachine{configuration: configuration.NewState(), stores: newMembership(), onChange: func() {}}
}

// OnChange sets a function that is called after each command and after each Restore. It must be set before the
// first command or Restore. The function must not block, because the chain's next command waits for it.
func (m *StateMachine) OnChange(callback func()) { m.onChange = callback }

// Apply applies the encoded command at an index of the log and returns the encoded [Outcome]. For a command that
// can't be decoded it changes nothing and returns nil. All members do the same, since they decode the same bytes.
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
	Configuration []byte // encoded by configuration.State.Encode
	Stores        membershipSnapshot
	Lending       grantRecord
}

// Snapshot returns the encoded state, or nil if it can't be encoded.
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

// Restore replaces the state with one returned by Snapshot. If it returns an error, the state is unchanged.
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

// ConfigurationSince returns the update from the version at a log index to the current version, or nil if the
// version at that index is the current one.
func (m *StateMachine) ConfigurationSince(index uint64) *protocol.ConfigurationUpdate {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.configuration.UpdateSince(index)
}

// Evaluate returns the result that Apply would currently give for an operator's change of the configuration,
// without applying the change.
func (m *StateMachine) Evaluate(change configuration.ChangeRequest) configuration.Result {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.configuration.Evaluate(change)
}

// ChangeStatus returns the status of an operator's earlier change, which is identified by its digest. ifMatch is
// the version that the change builds on. See [configuration.State.StatusOf] for the possible statuses.
func (m *StateMachine) ChangeStatus(digest configuration.Digest, ifMatch uint64) configuration.Status {
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

// Suspicion returns the number of the current suspicion of an incarnation of a batch process, or 0 if it is not
// under suspicion.
func (m *StateMachine) Suspicion(node, incarnation string) uint64 {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.stores.suspicionNumber(node, incarnation)
}

// Retirement returns the state of a node's last retirement.
func (m *StateMachine) Retirement(node string) Retirement {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.stores.retirementState(node)
}

// CountRetirements returns the number of recorded retirements in the given state, RetirementActive or
// RetirementCompleted.
func (m *StateMachine) CountRetirements(state Retirement) int {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.stores.countRetirements(state)
}

// Grantor returns the grantor on record, the process that may grant quota.
func (m *StateMachine) Grantor() Grantor {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.grants.Lender
}

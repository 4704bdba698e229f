package statemachine

import (
	"sync"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

// Machine is the chain's state machine. It is safe for concurrent use: the chain applies, others read.
type StateMachine struct {
	mutex         sync.RWMutex
	configuration *configuration.State
	stores        *membership
	grants        grantRecord
	onChange      func()
}

// New gives the state before the first order.
func New() *StateMachine {
	return &StateMachine{configuration: configuration.NewState(), stores: newMembership(), onChange: func() {}}
}

// OnChange has a function called after each order and each restoration. It must be set before the first, and return soon.
func (m *StateMachine) OnChange(call func()) { m.onChange = call }

// Apply carries out the order with an index and gives its Outcome, encoded. An order that can't be read changes nothing: every
// replica reads the same bytes.
func (m *StateMachine) Apply(index uint64, order []byte) []byte {
	var command Command
	if decode(order, &command) != nil {
		return nil
	}
	m.mutex.Lock()
	outcome := m.apply(index, command)
	m.mutex.Unlock()
	m.onChange()
	raw, err := encode(outcome)
	if err != nil {
		return nil // an Outcome always has a form
	}
	return raw
}

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

// image is the form of a Machine in a snapshot.
type snapshot struct {
	Configuration []byte
	Stores        membershipSnapshot
	Lending       grantRecord
}

// Snapshot gives the state's form.
func (m *StateMachine) Snapshot() []byte {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	raw, err := m.configuration.Encode()
	if err != nil {
		return nil
	}
	whole, err := encode(snapshot{Configuration: raw, Stores: m.stores.snapshot(), Lending: m.grants})
	if err != nil {
		return nil
	}
	return whole
}

// Restore replaces the state by one that Snapshot gave.
func (m *StateMachine) Restore(raw []byte) error {
	var form snapshot
	if err := decode(raw, &form); err != nil {
		return err
	}
	state, err := configuration.DecodeState(form.Configuration)
	if err != nil {
		return err
	}
	m.mutex.Lock()
	m.configuration = state
	m.stores = restoreMembership(form.Stores)
	m.grants = form.Lending
	m.mutex.Unlock()
	m.onChange()
	return nil
}

// Configuration gives the version in force here. Its Generation is 0 before the first.
func (m *StateMachine) Configuration() *configuration.Version {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.configuration.Current()
}

// Since gives what leads from a version of the configuration to the one in force, or nil.
func (m *StateMachine) ConfigurationSince(index uint64) *protocol.ConfigurationUpdate {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.configuration.UpdateSince(index)
}

// Evaluate tells what would come of an order of the operator now.
func (m *StateMachine) Evaluate(order configuration.ChangeRequest) configuration.Result {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.configuration.Evaluate(order)
}

// Stores gives the agreed set of batch processes.
func (m *StateMachine) Stores() protocol.StoreView {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.stores.view()
}

// MayJoin tells whether an order to let a batch process into the set would.
func (m *StateMachine) MayJoin(process protocol.Process) bool {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.stores.mayJoin(m.stores.members, process)
}

// Suspicion gives the number of the suspicion that a life of a batch process is under, 0 for none.
func (m *StateMachine) Suspicion(node, incarnation string) uint64 {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.stores.suspicionNumber(node, incarnation)
}

// Retirement tells how far a batch process's retirement is.
func (m *StateMachine) Retirement(node string) Retirement {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.stores.retirementState(node)
}

// Remembered tells what is remembered of the operator's order with a digest.
func (m *StateMachine) Remembered(digest configuration.Digest, ifMatch uint64) configuration.Status {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.configuration.StatusOf(digest, ifMatch)
}

// Package statemachine is the replicated state machine of the control plane: the state that all control
// processes agree on, and the commands that change it (Schneider, "Implementing Fault-Tolerant Services Using
// the State Machine Approach", 1990).
//
// # Parts of the state
//
//   - The operator's configuration, with its versions (package configuration).
//   - The store membership: the agreed set of batch processes that keep batch jobs ("stores"), its epoch, the
//     members under suspicion, and the retirements that the operator has ordered (membership.go).
//   - The grant record: which process may grant quota, and which nodes and tenants its grants may concern
//     (grants.go). It lets the next grantor count everything that may still be held under earlier grants.
//
// # Use
//
// A control process encodes a [Command] and proposes it to the chain (coord/replica). The chain hands
// committed commands to [StateMachine.Apply] on every member, in the order of their indexes, and returns the
// encoded [Outcome] to the proposer. Everything else reads the state through the other methods; what they
// return is as new as the last command applied here. [StateMachine.Snapshot] and [StateMachine.Restore] carry
// the state over log compaction and to members that are far behind.
//
// # Invariants
//
//   - Apply is deterministic: it reads no clock and draws no random numbers, so equal logs give equal states
//     on all members.
//   - A command that no longer fits the state, such as one that names an earlier epoch, changes nothing. A
//     proposer may therefore repeat a command whose outcome it doesn't know.
//   - The epoch of the store membership rises with each change of its members, and never otherwise.
//   - Slices that a method returns are never changed in place.
//
// # Format
//
// Commands, outcomes and snapshots are encoded with encoding/gob, which matches fields by name: exported
// fields of the types in this package keep their names, also where the rest of the code uses another term
// (Lender, Lending, Settle, Settled, Suspected). The golden tests hold them to it. Names of types may change.
package statemachine

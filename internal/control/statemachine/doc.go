// Package statemachine is the replicated state machine of the control plane: the state that all control
// processes agree on, and the commands that change it (Schneider, "Implementing Fault-Tolerant Services Using
// the State Machine Approach", 1990).
//
// # Parts of the state
//
//   - The operator's configuration, with its versions (package configuration).
//   - The store membership: the agreed set of batch processes that store batch jobs ("stores"), its epoch, the
//     members under suspicion, and the retirements requested by the operator (membership.go, suspicion.go,
//     retirement.go).
//   - The grant record: which process may grant quota, which nodes may hold its grants, and the floors of the
//     tenants' pools (grants.go). With it the next grantor can account for all quota that may still be held
//     under earlier grants.
//
// # Use
//
// A control process encodes a [Command] and proposes it to the chain (coord/replica). The chain hands
// committed commands to [StateMachine.Apply] on every member, in the order of their indexes, and returns the
// encoded [Outcome] to the proposer. All other code reads the state through the other methods, which return
// the state after the last command applied by this process. [StateMachine.Snapshot] and [StateMachine.Restore]
// preserve the state over log compaction and transfer it to members that are far behind.
//
// # Invariants
//
//   - Apply is deterministic: it reads no clock and draws no random numbers, so equal logs give equal states
//     on all members.
//   - A command that no longer fits the state, such as one that names an earlier epoch, changes nothing. A
//     proposer may therefore repeat a command whose outcome it doesn't know.
//   - The epoch of the store membership increases with each change of its members, and only then.
//   - Slices returned by a method are never modified in place.
//
// # Format
//
// Commands, outcomes and snapshots are encoded with encoding/gob, which matches fields by name. Exported
// fields of the types in this package therefore keep their names, even where the rest of the code uses another
// term (Lender, Lending, Settle, Settled, Suspected). The golden tests check this. Names of types may change.
package statemachine

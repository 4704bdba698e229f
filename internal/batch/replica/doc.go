// Package replica implements the replication protocol of batch jobs between stores. A store is the batch process of a
// machine with a disk. The protocol decides which batch jobs are accepted, which stores keep a replica of each, which
// store owns it (runs its items and orders its results), and which results may be shown to clients.
//
// # A pure state machine
//
// StateMachine is one store's part in the protocol. As in etcd/raft, it does no input or output and has no clock of its
// own. Its input is calls of clients (Call), messages of other stores (Receive), durable writes (Synced), agreed views
// (InstallView), leases (GrantLease), output and failures of items (Finish, SaveProgress, RecordFailures) and time
// (Tick). Its output goes through Environment: records to write, messages to send, answers to calls, batch jobs to run.
// It never runs an item itself. It isn't safe for concurrent use: internal/batch/server protects it with a mutex. It is
// deterministic, so simulations can replay it from a seed.
//
// # Views and leases
//
// The set of stores is a protocol.StoreView, which the control processes agree on, and which has an epoch.
// This is the division of labour of Vertical Paxos (Lamport, Malkhi, Zhou 2009) and PacificA (Lin et al.
// 2008): a separate group agrees on the configuration, so that f + 1 replicas tolerate the loss of f. A store acts only
// as a member of the newest view that it knows and while its lease runs (MayAct; Gray and Cheriton 1989); control
// removes a store from the set only after the store's lease has certainly ended. Each message carries its sender's
// epoch (Stamp), and messages whose epoch differs from the receiver's are dropped: messages that matter are sent again
// on a timer. The epoch is written to disk, and no lower one is entered afterwards, not even after a restart.
//
// A view also lists the stores that departed since all members had last reconciled, and states whether all members have
// reconciled in its epoch (StoreView.Settled). Stores don't conclude either by themselves, because no store can be sure
// that it has seen all views.
//
// # The states of a batch job at a store
//
//	absent           the batch job isn't known here, or it expired
//	accepting        an acceptance collects votes and capacity; nothing is written yet
//	owned            this store is the first of the replica set, lists results and answers clients
//	  replicating      not yet known to be on all replicas: nothing is acknowledged or shown
//	  replicated       all replicas have reported a copy of this version: it is served, its items run
//	  handing over     this store retires, and copies it to the first store of a new set
//	replica          another store owns it; this store stores what the owner sends
//	  superseded       a higher version exists; kept until that version's owner confirms that it is fully replicated
//	  releasable       superseded, and the owner has confirmed; dropped once all members have reconciled
//	  handed over      this store retires, and isn't needed for the batch job any more
//	corrupt          some records can't be used: the results are a sound prefix. Combines with the states above.
//	closed           a client ended it, or all items are finished; dropped after Options.Retention
//
// # Acceptance, and the meaning of 202
//
// Two stores must not both accept a batch job with the same id. Each id has 2f + 1 arbiters
// (2(ReplicationFactor - 1) + 1 stores, chosen by rendezvous hashing from the id and the view), and a store
// needs the votes of a majority of them (reservation.go). An arbiter gives its vote for an id to one store only, until
// that store releases it. Before the store has a majority, nothing is written anywhere, and a refusal (503, 429)
// promises that the batch job isn't accepted. Afterwards the store writes the batch job to its own disk, sends it to
// the other members of the replica set that it chose, and answers 202 once all of them have synced it. So when a client
// reads 202, the batch job is on f + 1 disks. A member that is slow to confirm is replaced by another store under a
// higher version (slowreplicas.go). Once anything is written, a failure is answered 504, which promises nothing.
//
// An arbiter votes only after it has the inventories of all members of its epoch. Inventories include batch jobs that
// are written and not yet acknowledged, so the arbiter knows of each batch job that was accepted in an earlier epoch or
// may still be. An arbiter that restarted has forgotten its votes; all stores discard them as soon as they see its new
// incarnation.
//
// The owner also needs capacity for the tokens of the batch job within the limit of its account (claims.go,
// claimcounter.go, internal/batch/queuedtokens).
//
// # Results
//
// The owner writes a result to the next position of the list in its own log first, and sends it once it is durable. A
// replica's list is therefore always a prefix of the owner's, even after the owner lost results that it had not synced.
// A result is committed, and shown to clients, when it is durable on all replicas of the present version (maybeCommit),
// as in primary-backup replication. As all replicas are required, not a majority, the owner's list alone contains at
// least all results that were shown.
//
// # Versions and reconciliation
//
// A replica set has a Version: the epoch in which it was chosen and a number within that epoch. Each change of the set
// raises the version, and the owner has the new version on its own disk before it sends it to any other store.
//
// In each new epoch, and when a member's process restarts, all members exchange inventories and compare them
// (reconciliation.go). Only the copies of a batch job that have the highest version count. The first member of that
// version's set that is present and holds a copy owns the batch job; it completes the set with other active members
// under a new version. Nothing is shown or acknowledged until the batch job is fully replicated by that set. A store
// has reconciled (Status.Reconciled) when all batch jobs that it owns are on all disks of their sets in the present
// epoch, and the owners of its superseded copies have confirmed that these copies are not needed.
//
// Why no committed result is lost: all results that were shown under a version are on every copy of that version, so
// the new owner's list contains them. Once results have been shown under a higher version, a copy of a lower version is
// never used again: results are shown only after all members of the higher version's set hold that version, and at
// least one of them remains as long as no more than f disks are lost at once. While more than f machines have departed
// (departures.go), the copies of the highest version may all be on them: then a batch job whose newest version isn't
// certain is not owned, accepted anew or reported as absent. A superseded copy is dropped only when the owner has
// confirmed, in the present epoch, that all stores of the newer set hold theirs (superseded.go).
//
// # Corrupt copies
//
// A copy with records that can't be used isn't a full copy of its version, and its inventory entry states that it is
// corrupt. The designated owner of a batch job transfers its ownership to a store with a sound copy of the highest
// version (ownershiptransfer.go). If there is none, the store with the longest sound prefix becomes the owner: as all
// results that were shown are on every copy, only the corrupted results are missing from it. The owner replaces corrupt
// copies. A store whose log may have held batch jobs that it can't name (an incomplete log) counts like a departed
// store when the question is whether a batch job exists.
//
// # Invariants and where they are checked
//
//   - Only one store at a time may act for a batch job: MayAct and storedJob.owned, checked before each item starts
//     (MayRun) and by internal/batch/server before each answer.
//   - An item has one result, at one position: storedJob.appendResult panics otherwise.
//   - The conditions that each view fulfils, and the claim that an acceptance needs: invariants.go. They are checked in
//     service; violations are counted and logged.
//   - Conditions across stores (no acknowledged batch job or shown result is lost or changed, an ended batch job stays
//     ended): checked by the simulations and the model in the tests, which also show that injected bugs are detected.
//
// # Differences from the papers
//
// PacificA's configuration service chooses each replica group; here control agrees only on the set of stores, and
// owners choose replica sets among its members by rendezvous hashing. Which copy is the newest follows from the
// versions, the inventories of all members and the list of departed stores instead.
package replica

// Package replica is the replication protocol of batch jobs between stores. A store is the batch process of a
// machine with a disk. The protocol decides which batch jobs are accepted, which stores keep a replica of
// each, which of them owns it (runs its items and orders its results), and what a client may be shown.
//
// # A pure state machine
//
// StateMachine is one store's part. As in etcd/raft, it does no input or output and has no clock of its own.
// Its input is calls of clients (Call), messages of other stores (Receive), durable writes (Synced), agreed
// views (InstallView), leases (GrantLease), finished items (Finish, SaveProgress) and time (Tick). What it
// wants done goes out through Environment: records to write, messages to send, answers to give, batch jobs to
// run. It never runs an item. It isn't safe for concurrent use: internal/batch/server holds a mutex around
// it. Given the same input it does the same, so simulations can replay it from a seed.
//
// # Views and leases
//
// The set of stores is a protocol.StoreView, which the control processes agree on, and which has an epoch.
// This is the division of labour of Vertical Paxos (Lamport, Malkhi, Zhou 2009) and PacificA (Lin et al.
// 2008): a separate group agrees on the configuration, so f + 1 replicas bear the loss of f. A store acts
// only as a member of the newest view that it knows and while its lease runs (MayAct; Gray and Cheriton
// 1989); control removes a store from the set only after the store's lease has surely ended. Each message
// carries its sender's epoch (Stamp), and messages of another epoch than the receiver's are dropped: what
// matters is sent again on a timer. The epoch is on the disk, and no lower one is entered afterwards, not
// even after a restart.
//
// A view also lists the stores that departed since all members had last reconciled, and says whether all
// members have reconciled in its epoch (StoreView.Settled). Stores don't conclude either by themselves, as
// none is sure to have seen all views.
//
// # The states of a batch job at a store
//
//	absent           nothing is known of it, or it expired
//	accepting        an acceptance collects votes and capacity; nothing is written yet
//	owned            this store is the first of the replica set, lists results and answers clients
//	  replicating      not yet known to be on all replicas: nothing is acknowledged or shown
//	  replicated       all replicas have reported a copy of this version: it is served, its items run
//	  handing over     this store retires, and copies it to the first store of a new set
//	replica          another store owns it; this one stores what the owner sends
//	  superseded       a higher version exists; kept until its owner confirms that this one's set has it
//	  releasable       ... and it has; the copy is dropped once all members have reconciled
//	  handed over      this store retires, and isn't needed for the batch job any more
//	corrupt          some records can't be used: its results are a sound prefix. It combines with the states above.
//	closed           a client ended it, or all items are finished; dropped after Options.Retention
//
// # Acceptance, and what 202 promises
//
// Two stores must not both accept a batch job with the same id. Each id has 2f + 1 arbiters
// (2(ReplicationFactor - 1) + 1 stores, chosen by rendezvous hashing from the id and the view), and a store
// needs the votes of a majority of them (reservation.go). An arbiter gives its vote for an id to one store
// only, until that store gives it back. Before the majority, nothing is written anywhere and a refusal (503,
// 429) is a promise that the batch job isn't accepted. After it, the store writes the batch job to its own
// disk, sends it to the other members of the replica set that it chose, and answers 202 once all of them have
// synced it. So when a client reads 202, the batch job is on f + 1 disks. A member that is slow to confirm is
// replaced by another under a higher version (slowreplicas.go). Once something is written, a failure is
// answered 504, which promises nothing.
//
// An arbiter votes only after it has the inventories of all members of its epoch. These list what is written
// and not yet acknowledged as well, so a batch job that was accepted in an earlier epoch, or still may be, is
// known to it. An arbiter that restarted has forgotten its votes; they are discarded everywhere as soon as
// its new incarnation is seen.
//
// The owner also needs capacity for the tokens of the batch job within the limit of its account (claims.go,
// claimcounter.go, internal/batch/queuedtokens).
//
// # Results
//
// The owner lists a result at the next position in its own log first and then sends it. A replica's list is
// therefore always a prefix of the owner's, also after the owner lost what it had not synced. A result is
// committed, and shown to clients, when it is durable on all replicas of the present version (maybeCommit),
// as in primary-backup replication: the commit rule is all replicas, not a majority, which is why the owner's
// list alone is at least what was shown.
//
// # Versions and reconciliation
//
// A replica set has a Version: the epoch in which it was chosen and a number within that epoch. Each change
// of the set raises it, and the owner has the new version on its own disk before it is sent to any other
// store.
//
// In each new epoch, and when a member's process restarts, all members exchange inventories and match them
// (reconciliation.go). Of each batch job the copies of the highest version count. The first member of that
// set which is present and holds a copy owns the batch job; it completes the set with other active members
// under a new version. Nothing is shown or acknowledged until that set is fully replicated. A store has
// reconciled (Status.Reconciled) when all that it owns is on all disks of its sets in the present epoch, and
// the owners of its superseded copies have confirmed that these are not needed.
//
// Why no committed result is lost: all that was shown under a version is on every copy of that version, so
// the new owner's list contains it. A copy of a lower version is never used again once a higher one has shown
// something, because something is shown only after all members of the higher version's set hold it, and one
// of them remains as long as no more than f disks are lost at once. While more than f machines have departed
// (departures.go), the highest version may be among them: then nothing of which it isn't certain is owned,
// accepted anew or denied. A superseded copy is dropped only when its owner has said, in the present epoch,
// that all of the newer set hold theirs (superseded.go).
//
// # Corrupt copies
//
// A copy some of whose records can't be used isn't a full copy of its version, and its inventory entry says
// so. The designated owner of a batch job transfers its ownership to a store with a sound copy of the highest
// version (ownershiptransfer.go). If there is none, the longest sound prefix is owned: as all that was shown
// is on every copy, only what was corrupted is missing from it. The owner replaces corrupt copies. A store
// whose log may have held batch jobs that it can't name (an incomplete log) counts like a departed store
// where it is asked whether a batch job exists.
//
// # Invariants and where they are checked
//
//   - One store at a time may act for a batch job: MayAct and storedJob.owned, checked before each item starts
//     (MayRun) and by internal/batch/server before each answer.
//   - An item has one result, at one position: storedJob.appendResult panics otherwise.
//   - What a view must hold, and the claim that an acceptance needs: invariants.go. They are checked in service;
//     violations are counted and logged.
//   - What holds between stores (no acknowledged batch job or shown result is lost or changed, an ended batch job
//     stays ended): by the simulations and the model in the tests, which also show that injected bugs are found.
//
// # Differences from the papers
//
// PacificA's configuration service chooses each replica group; here control agrees on the set of stores only,
// and owners choose replica sets among its members by rendezvous hashing. In its place the versions, the
// inventories of all members and the list of departed stores tell which copy is the newest.
package replica

// Package server assembles a batch process, which is the store on a machine with a disk: it keeps batch jobs,
// runs their items at model servers, and answers calls about them.
//
// It connects the following parts and makes no decision about a batch job itself:
//
//   - replica.StateMachine, which is pure, decides together with the other stores which store owns, replicates
//     and may run a batch job. Server is its Environment: it provides clocks, log, messages and answers. All
//     methods of the state machine are called with Server.mutex held.
//   - wal.WAL holds the data that must outlive the process. Durable records are reported to the state machine.
//   - runner.Runner runs the items of the batch jobs that this store owns. Server is its Store and its
//     Discovery.
//   - subscription.Subscription polls control for the configuration, the servers, the stores' view and the
//     lease under which this store may act.
//   - transport.Server receives calls from gateways and messages from other stores.
//
// # Files in the data directory
//
//	life               incarnation of the disk and number of process starts (incarnation.go)
//	segment-00000001   segments of the write-ahead log (package wal)
package server

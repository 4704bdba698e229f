// Package protocol defines the messages that control processes, gateways and batch processes exchange.
//
// The messages are encoded with gob and sent over connections of coord/transport. There are three kinds of exchanges:
//
//   - Subscriptions. A gateway or a batch process keeps one connection to a control process, preferably one
//     in its own zone. It sends a Poll every PollInterval and gets an Update. Between polls the control process
//     pushes an Update when something changes. A Poll contains the versions that the sender has, so that an
//     Update carries only newer ones. If a push is lost, the answer to the next poll replaces it.
//   - Quota. A gateway sends a QuotaRequest to the allocator, at MemberList.QuotaAddress, and gets a
//     QuotaReply.
//   - Batch calls. A gateway passes a client's call to any batch process as a BatchCall, and gets a
//     BatchAnswer.
//
// Two rules keep processes of different versions compatible. First, the names of types and fields are part of the
// format: gob skips a field that it doesn't know, so a renamed field is lost without an error. Second, the zero value
// of a new field must mean what the absence of the field meant before. The names on the wire are in wire.go; the golden
// test checks the names of types and fields.
//
// Durations in messages are lengths of time, never points in time, because the clocks of machines aren't compared. A
// period of validity counts from when the receiver sent its request, by the receiver's own monotonic clock.
package protocol

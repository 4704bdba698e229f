// Package protocol holds the messages that control processes, gateways and batch processes exchange.
//
// They travel as gob over connections of coord/transport. There are three conversations:
//
//   - Subscriptions. A gateway or a batch process keeps one connection to a control process, preferably one
//     in its own zone. It sends a Poll every PollInterval and gets an Update. Between polls control pushes an
//     Update when something changes. Versions in a Poll say what the sender has, so that an Update carries
//     only what is newer. A push may be lost; the next poll makes up for it.
//   - Quota. A gateway sends a QuotaRequest to the allocator, at MemberList.QuotaAddress, and gets a
//     QuotaReply.
//   - Batch calls. A gateway passes a client's call to any batch process as a BatchCall, and gets a
//     BatchAnswer.
//
// Two rules keep processes of different versions compatible. The names of types and fields are part of the
// format: gob skips a field that it doesn't know, so a renamed field is lost without an error. And a new
// field must mean, where it is zero, what its absence meant before. The names on the wire are in wire.go; the
// golden test checks both.
//
// Durations in messages are lengths, never moments: clocks of machines aren't compared. Where a length says
// how long something holds, it counts from when the receiver sent its request, by the receiver's own steady
// clock.
package protocol

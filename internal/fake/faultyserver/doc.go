// Package faultyserver simulates clients of a gateway and faulty servers behind it, in memory and virtual
// time, for tests of the real proxy on the real connection pool, and of the batch processes' client.
//
// # The simulation
//
// Everything follows from a seed. Clients send requests and abandon some of them. Each server draws a
// faultPlan for each request: which response it gives, and what goes wrong on the way. It may break the
// connection at any byte of a request or a response (by a close, a reset, or silence), respond before it has
// read the body, send responses twice, late, or under another request's id, send stray bytes, or close an
// idle connection just as a request comes. Meanwhile servers are drained, crash, and start under new ids, and
// the gateway's list of servers lags behind.
//
// # What is checked
//
// Clients and servers both report to a [Checker]. Each execution of a request has a signature of its own,
// which all that a server sends of it carries. So the checker can tell of any byte that reaches a client
// which execution it is from:
//
//   - A server gets requests exactly as their clients sent them, and no other ones.
//   - A client gets the response to its own request, complete or visibly truncated. The events of a stream
//     are in order, and are only continued by an execution that was asked to continue there.
//   - A request isn't executed more often than its route allows, and not at all if the client was told that
//     it wasn't.
//   - No request is sent on a connection after the client could see that stray bytes had arrived on it, nor
//     to a drained server.
//   - Every client gets an end of its request by its deadline.
//
// [RunSeeds] runs simulations of many seeds, [EveryByte] breaks at each byte systematically, and
// [RequireBugFound] shows that the simulations find injected bugs. The package must not be linked into a
// program that is deployed.
package faultyserver

// Package modelserver is a fake of a language-model server, for tests and demonstrations of the whole system.
// It speaks the HTTP protocol that the gateway's design documents call "Servers", and behaves as an engine
// with continuous batching does:
//
//   - A request holds one of a fixed number of slots. While all are taken a few requests are queued; more are
//     rejected.
//   - Prefill: parts of the prompt that aren't in the prefix cache are read at a fixed rate, in tokens per
//     second.
//   - Decode: the response is a stream of server-sent events at an interval that grows with the number of
//     running requests.
//   - The data of an event follows from the request's id and the event's number alone. So any server can
//     resume a stream that another began (Last-Event-Id), and clients can check every byte.
//   - A response is signed (X-Response-Signature), and a rejection promises that the request hasn't run
//     (X-Not-Executed).
//
// All servers of a test share an [ExecutionLog], from which it learns which requests ran, and where. The
// servers don't judge what a gateway should have done. The package must not be linked into a program that is
// deployed.
package modelserver

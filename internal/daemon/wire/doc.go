// Package wire decodes and encodes the protocol with which a simulator runs the policy of many gateways in one process
// (cmd/sprucelane-sim). It converts between that protocol and the types of package policy, and makes no decisions.
//
// The simulator sends batches of events, each batch for one moment in virtual time, and waits for a reply with the
// resulting actions. All numbers are big endian.
//
//	batch:  number of events (4 bytes), length of the rest (4), time in ns (8), events
//	event:  code (1), gateway (2; a ListDefined event has none), fields that depend on the code
//	reply:  length of the rest (4), actions
//	action: code (1), gateway (2), fields that depend on the code
//
// Times are in ns; quantities such as numbers of units are 32-bit floats. A server is an IPv4 address and a port (6
// bytes).
package wire

// Package wire reads and writes the protocol by which a simulator runs the policy of many gateways in one process
// (cmd/sprucelane-sim). It translates between that protocol and package policy, and decides nothing.
//
// The simulator sends batches, each of the events of one moment in virtual time, and waits for a reply with the actions
// that follow from them. All numbers are big endian.
//
//	batch:  number of events (4 bytes), length of the rest (4), time in ns (8), events
//	event:  code (1), gateway (2; a ListDefined event has none), what the code says
//	reply:  length of the rest (4), actions
//	action: code (1), gateway (2), what the code says
//
// Times are in ns, numbers of units and the like are 32-bit floats. A server is an IPv4 address and a port (6 bytes).
package wire

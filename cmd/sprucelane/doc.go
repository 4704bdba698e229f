// Command sprucelane is one gateway of a fleet: a reverse proxy before a pool of servers that holds the quotas of
// customers over all gateways together. Run without a command it serves; the other commands (check, store, knowledge,
// version) are for operators.
//
// This package is the wiring: it reads the command line, builds the parts of a gateway, connects them and handles
// signals. Each part has a package of its own:
//
//	client -> front -> platform / introspect -> core (policy) -> pool -> server
//	                                              ^      ^
//	                         discovery: server lists    peer: datagrams of other gateways
//
// The files, by the question that they answer:
//
//	main.go          which commands and flags there are
//	serve.go         in which order a gateway starts, which signals it handles, and how it ends
//	gateway.go       of which parts a gateway consists, and how each is opened
//	exchange.go      what gateways tell each other
//	reload.go        what a reload of the configuration changes, and which limits hold
//	successor.go     what this process takes over from the one before it, in an upgrade
//	predecessor.go   what this process hands over to the one after it
//	counters.go      what the log lines with counters hold
//	storecommand.go  the operators' commands on a store's folder
//
// # Signals
//
// SIGTERM and SIGINT start a graceful shutdown (package service), SIGHUP reloads the configuration, and SIGUSR1 logs
// all counters.
//
// # Upgrades
//
// A new process that is started beside a serving one takes over its sockets and its state (package handover). Both
// processes together keep to the gateway's limits: the predecessor reports what it still uses, and the successor
// uses only the rest (applyLimits).
package main

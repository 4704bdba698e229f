// Command sprucelane is one gateway of a fleet: a reverse proxy in front of a pool of servers that enforces the quotas
// of customers across all gateways together. Run without a command it serves; the other commands (check, store,
// knowledge, version) are for operators.
//
// This package reads the command line, builds the components of a gateway, connects them and handles signals. Each
// component has its own package:
//
//	client -> front -> platform / introspect -> core (policy) -> pool -> server
//	                                              ^      ^
//	                         discovery: server lists    peer: datagrams of other gateways
//
// The files:
//
//	main.go          commands and flags
//	serve.go         start order, signal handling and shutdown
//	gateway.go       the components of a gateway, and how each is opened
//	exchange.go      messages between gateways
//	reload.go        reloading the configuration, and applying limits
//	successor.go     in an upgrade, what this process takes over from its predecessor
//	predecessor.go   in an upgrade, what this process hands over to its successor
//	counters.go      the log lines with counters
//	storecommand.go  the operators' commands on a store's folder
//
// # Signals
//
// SIGTERM and SIGINT start a graceful shutdown (package service), SIGHUP reloads the configuration, and SIGUSR1 logs
// all counters.
//
// # Upgrades
//
// A new process that is started while another one serves takes over that process's sockets and state (package
// handover). Both processes together stay within the gateway's limits: the predecessor reports what it still uses, and
// the successor uses only the rest (applyLimits).
package main

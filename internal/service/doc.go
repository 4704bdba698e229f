// Package service tracks the state of service of a gateway process, from start to graceful shutdown, and
// derives from it whether clients should be sent to the gateway, whether new connections are accepted, whether
// a response is the last one of its connection, when idle connections are closed, and when the process may
// exit. It reads no clock and does no input or output: callers pass the current time and act on the results
// (package front for connections, the process for the rest).
//
// # Phases
//
//	Starting --MarkStarted--> Serving --Drain--> Draining --Undrain--> Serving
//	                                  --HandOver--> HandedOver --TakeBack--> Serving
//	any phase --Shutdown--> ShuttingDown
//
// A drain that was requested stays in force during a hand-over: Phase then returns HandedOver, and Draining
// after TakeBack. ShuttingDown is final. In the phases Draining, HandedOver and ShuttingDown clients have to
// leave: each response is the last one of its connection, and idle connections are closed after IdleGrace.
//
// # Shutdown
//
// A load balancer continues to send connections for a short time after SIGTERM, so new connections are still
// accepted for the accept period. The process exits when no connection is open any more, at the latest after
// the timeout that was passed to Shutdown, which must end before the platform kills the process
// ([ShutdownTimes]).
//
//	Shutdown       accept period      newConnGrace        timeout
//	   |------ accepting ------|---- answering ---- exit if none open ----| exit
package service

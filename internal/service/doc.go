// Package service has the state of service of a gateway process, from start to graceful shutdown, and what
// follows from it: whether clients should come, whether new connections are accepted, whether a response is
// the last one of its connection, when idle connections are closed, and when the process may exit. It reads
// no clock and does no input or output: callers pass the time in and act on the answers (package front on
// connections, the process on the rest).
//
// # Phases
//
//	Starting --MarkStarted--> Serving --Drain--> Draining --Undrain--> Serving
//	                                  --HandOver--> HandedOver --TakeBack--> Serving
//	any phase --Shutdown--> ShuttingDown
//
// A drain that was requested outlives a hand-over; Phase then says HandedOver, and Draining after TakeBack.
// ShuttingDown is final. In the last three phases clients are to leave: each response is the last one of its
// connection, and idle connections are closed after IdleGrace.
//
// # Shutdown
//
// A load balancer goes on sending for a short time after SIGTERM, so new connections are
// still accepted for the accept period. The process exits once none is open, at the latest after the timeout
// that Shutdown was given, which must end before the platform kills the process ([ShutdownTimes]).
//
//	Shutdown       accept period      newConnGrace        timeout
//	   |------ accepting ------|---- answering ---- exit if none open ----| exit
package service

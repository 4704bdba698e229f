// Package recovery tracks a gateway's progress to full service, from the start of its process or from the end of a
// process pause, in which the process was not scheduled (SIGSTOP, a frozen or overcommitted machine). It decides which
// phase the gateway is in, how old a request may be when it is read from a socket, and how long to wait before deciding
// on it. Package internal/service decides whether clients are accepted at all.
//
// A process that resumes after a pause faces two dangers. The requests that it reads may have waited in its sockets for
// the whole pause, so that their clients may have given up, and its view of the servers is as old as the pause is long.
// So for a short time after the pause it assumes the highest possible age of each request, and waits for an update of
// service discovery.
//
// The package is pure: it does no I/O and reads no clock; times are arguments.
//
// Invariants: no request is assumed to be younger than it may be; none waits for longer than a fixed bound; full
// service, once reached, is left only by a pause.
package recovery

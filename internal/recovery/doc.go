// Package recovery tracks a gateway's way from the start of its process to full service, and back to it after a
// process pause, in which the process was not scheduled (SIGSTOP, a frozen or overcommitted machine). It decides
// which phase the gateway is in, how old a request may be that was read from a socket, and how long to wait before
// deciding on one. Package internal/service decides whether clients are accepted at all.
//
// A process that resumes after a pause faces two dangers. Requests that it reads may have waited in its sockets for the
// whole pause, and their clients may have given up; and its view of the servers is as old as the pause. So for a short
// time after the resume it takes each request for as old as it can be, and waits for an update of service discovery.
//
// The package is pure: it does no I/O and reads no clock; times are arguments.
//
// Invariants: no request is taken for younger than it can be; none waits for longer than a fixed bound; full service,
// once reached, is left only by a pause.
package recovery

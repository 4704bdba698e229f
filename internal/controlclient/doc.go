// Package controlclient is a client of the operator's API (internal/control/operatorapi). It finds a control process
// that answers, follows redirections, and repeats requests that got no definite answer.
//
// Repeating a request is safe, because the API executes a change with the same If-Match, method and body only once.
// For this reason a request is never altered between two attempts. A rejected request is never repeated. If no attempt
// got a definite answer, the change may or may not have been accepted ([Unanswered]).
package controlclient

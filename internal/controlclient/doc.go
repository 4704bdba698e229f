// Package controlclient is a client of the operator's API (internal/control/operatorapi). It finds a control
// process that answers, follows redirections, and repeats requests that got no definite answer.
//
// To repeat a request is safe: the API executes the same change, by If-Match, method and body, once. So a
// request is never altered between two attempts, and one that was rejected is never repeated. If no attempt
// got a definite answer, the change may have been accepted or not ([Unanswered]).
package controlclient

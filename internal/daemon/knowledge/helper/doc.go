// Package helper is the gateway's side of the exchange of knowledge on pool members. It runs the helper program,
// sprucelane-link, as a child process, sends it the gateway's observations (package pipe), and applies the
// priors that it returns. A child that is missing, slow, faulty or dead never delays the gateway, which then works as
// it does without priors.
package helper

// Package control is the server for operators' calls to a gateway process: GET /ready, POST /drain, POST /undrain,
// each on a connection of its own. It reads and changes package service's state and nothing else, so that an answer
// never waits for clients, servers or discovery. A call takes effect only once it was read completely.
//
// It doesn't use net/http's server: callers that connect and send nothing must not keep others out, so at the bound
// the oldest connection is closed for a new one.
package control

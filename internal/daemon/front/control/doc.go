// Package control is the server for operators' calls to a gateway process: GET /ready, POST /drain and POST /undrain.
// Each connection carries one call. The server reads and changes only the state of package service, so that an answer
// never waits for clients, servers or discovery. A call takes effect only after it has been read completely.
//
// It doesn't use net/http's server: callers that connect and send nothing must not block others, so when the maximum
// number of connections is reached, the oldest one is closed to make room for a new one.
package control

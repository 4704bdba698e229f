// Package datagram exchanges knowledge on pool members in the small datagrams that gateways send each other, where
// the gRPC exchange of package link is not available. A gateway that has just started requests snapshots a few
// times, and each peer answers with what fits into one datagram.
//
// It sends nothing unrequested, at most one datagram in answer to one, and drops invalid ones.
package datagram

// Package introspect checks bearer tokens (RFC 6750) by OAuth 2.0 token introspection (RFC 7662). As a client, a
// Checker asks the authorization server's endpoints whether a request's token is active, before each attempt of the
// request; as a server, a Front answers the introspection requests of the site's own tools.
//
// The checks are requests of a core of their own, whose servers are the endpoints: the same decision module admits
// them, applies their customers' quotas, selects an endpoint and retries.
//
// A result is not cached, so that a revoked token is rejected at once. No token is logged, and no request passes
// without a check: if there is no valid result the request is not forwarded.
package introspect

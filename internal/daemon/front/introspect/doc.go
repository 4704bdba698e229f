// Package introspect checks bearer tokens (RFC 6750) by OAuth 2.0 token introspection (RFC 7662). As a client, a
// Checker asks the authorization server's endpoints whether a request's token is active, before each attempt of the
// request; as a server, a Front answers the introspection requests of the site's own tools.
//
// The checks run as requests through a separate core whose servers are the endpoints, so that the same decision module
// admits them, applies the customers' quotas, selects an endpoint and retries.
//
// Results are not cached, so that a revoked token is rejected at once. Tokens are never logged. The front fails closed:
// without a valid introspection response a request is not forwarded.
package introspect

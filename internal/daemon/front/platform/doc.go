// Package platform is the front for the platform's protocol: it reads a client's request into a core.Request and
// writes the final answer, which the core determines. A malformed request is answered with a 4xx and reaches neither
// the decision module nor a server.
//
// # Bodies
//
// A body of up to 64 KiB is read completely before the request is passed to the core. Of a longer body only the
// beginning is read, and the attempt that forwards the request reads the rest (type Body). Clients must send at a
// minimum rate, so that a request whose body never ends is aborted soon.
//
// # Status codes
//
//   - 429 and 503: the request was not executed and may be sent again after Retry-After.
//   - 502 and 504: the request may have been executed.
//   - 401: the request's token was not accepted.
//   - other 4xx: the request was malformed.
package platform

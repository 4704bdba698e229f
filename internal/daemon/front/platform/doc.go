// Package platform is the front for the platform's protocol: it reads a client's request into a core.Request, and
// writes the final answer. It decides nothing about the answer. A malformed request gets a 4xx, and reaches neither
// the decision module nor a server.
//
// # Bodies
//
// A body of up to 64 KiB is read whole before the request is decided on; of a longer one only the beginning is, and
// the rest is read by the attempt that forwards it (type Body). Clients must keep up a minimum rate, so that a body
// that never ends is given up soon.
//
// # Status codes
//
// 429 and 503 say that the request was not executed and may be sent again after Retry-After; 502 and 504 that it
// may have been executed; 401 that its token was not accepted; other 4xx that it was malformed.
package platform

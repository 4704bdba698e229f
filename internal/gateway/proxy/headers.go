package proxy

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers of the protocol between clients, gateways and servers.
const (
	headerID              = "X-Request-Id"
	headerDeadline        = "X-Deadline-Ms"        // how long the sender waits for the response
	headerAPIKey          = "Api-Key"              // a tenant's key; never forwarded
	headerTenant          = "X-Tenant"             // the tenant's name, sent to the server instead of the key
	headerInstance        = "X-Expect-Instance"    // id of the intended server; another one at its address answers 421
	headerSignature       = "X-Response-Signature" // present in a server's successful responses
	headerNotExecuted     = "X-Not-Executed"       // the server has not run the request
	headerPromptPrefix    = "X-Prompt-Prefix"
	headerTokenUsage      = "X-Token-Usage"
	headerLastEventID     = "Last-Event-Id"
	headerWait            = "X-Wait-Ms" // how long a long poll of a batch job waits
	headerRetryAfter      = "Retry-After"
	headerContentType     = "Content-Type"
	headerContentEncoding = "Content-Encoding"
	headerContentLength   = "Content-Length"
	contentEventStream    = "text/event-stream"
)

// hopByHopHeaders concern one connection only and are not forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// gatewayHeaders are request headers that the gateway sets itself or doesn't forward.
var gatewayHeaders = map[string]bool{
	headerAPIKey: true, headerTenant: true, headerInstance: true, headerDeadline: true, headerLastEventID: true,
	headerContentLength: true, "Host": true, "Expect": true,
}

// connectionHeaders returns the names listed in Connection headers, which are hop-by-hop headers as well. It
// returns nil if there are none.
func connectionHeaders(header http.Header) map[string]bool {
	var names map[string]bool
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if names == nil {
				names = map[string]bool{}
			}
			names[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}

// forwardedHeaders returns the header lines that go unchanged to every server that the request is sent to.
func forwardedHeaders(header http.Header) []byte {
	lines := make([]byte, 0, 512)
	named := connectionHeaders(header)
	for name, values := range header {
		if hopByHopHeaders[name] || gatewayHeaders[name] || named[name] {
			continue
		}
		for _, value := range values {
			lines = appendHeaderLine(lines, name, value)
		}
	}
	return lines
}

func appendHeaderLine(lines []byte, name, value string) []byte {
	lines = append(lines, name...)
	lines = append(lines, ": "...)
	lines = append(lines, value...)
	return append(lines, "\r\n"...)
}

// writeRequestHead writes the request's head for one attempt. It is called right before the head is sent, so
// that X-Deadline-Ms is the time left until the deadline at that moment.
func (q *request) writeRequestHead(b *bytes.Buffer, instance, lastEventID string) {
	b.WriteString(q.r.Method)
	b.WriteByte(' ')
	b.WriteString(q.r.RequestURI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(q.r.Host)
	b.WriteString("\r\n")
	now := time.Now()
	if q.proxy.bugs.keepFirstDeadline {
		now = q.arrived
	}
	left := max(1, q.deadline.Sub(now).Milliseconds())
	line := b.AvailableBuffer()
	line = appendHeaderLine(line, headerDeadline, strconv.FormatInt(left, 10))
	line = appendHeaderLine(line, headerInstance, instance)
	if q.tenant != nil {
		line = appendHeaderLine(line, headerTenant, q.tenant.Name)
	}
	if lastEventID != "" {
		line = appendHeaderLine(line, headerLastEventID, lastEventID)
	}
	if len(q.body.bytes) > 0 || q.r.Method == http.MethodPost {
		line = appendHeaderLine(line, headerContentLength, strconv.Itoa(len(q.body.bytes)))
	}
	b.Write(line)
	b.Write(q.headerLines)
	b.WriteString("\r\n")
}

// copyResponseHeaders copies a server's headers into the response to the client, except hop-by-hop headers and
// Content-Length.
func copyResponseHeaders(to, from http.Header) {
	named := connectionHeaders(from)
	for name, values := range from {
		if !hopByHopHeaders[name] && !named[name] && name != headerContentLength {
			to[name] = values
		}
	}
	if _, set := from[headerContentType]; !set {
		to[headerContentType] = nil // keeps net/http from guessing the type
	}
}

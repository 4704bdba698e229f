package proxy

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// hopByHop names the headers that concern one connection only.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// own names the headers of a request that the gateway sets itself or keeps to itself.
var gatewayHeaders = map[string]bool{
	headerAPIKey: true, headerTenant: true, headerInstance: true, headerDeadline: true, headerLastEventID: true, headerContentLength: true,
	"Host": true, "Expect": true,
}

// connectionNames gives the headers that a Connection header names.
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

// passOn gives the lines of a request's headers that go to the server as they came.
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

// writeHead writes the head of the request to a server, as it is right now.
func (q *request) writeRequestHead(b *bytes.Buffer, instance string) {
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
	if q.lastEventID != "" {
		line = appendHeaderLine(line, headerLastEventID, q.lastEventID)
	}
	if len(q.body.bytes) > 0 || q.r.Method == http.MethodPost {
		line = appendHeaderLine(line, headerContentLength, strconv.Itoa(len(q.body.bytes)))
	}
	b.Write(line)
	b.Write(q.headerLines)
	b.WriteString("\r\n")
}

// copyHead takes a server's head over into the answer, without what concerns its connection and without its length.
func copyResponseHeaders(to, from http.Header) {
	named := connectionHeaders(from)
	for name, values := range from {
		if !hopByHopHeaders[name] && !named[name] && name != headerContentLength {
			to[name] = values
		}
	}
	if _, told := from[headerContentType]; !told {
		to[headerContentType] = nil // net/http would guess one
	}
}

// Package httpsyntax checks strings from outside before they become part of the head of an HTTP/1.1 request. A line
// end or a space in the wrong place would add a header, or a whole request, that nobody sent (request smuggling, RFC
// 9112, section 11.2). The grammar is that of net/http and golang.org/x/net/http/httpguts, so that what comes within a
// batch job or a configuration is held to the same rules as what a client sends as a request of its own.
package httpsyntax

import (
	"errors"
	"fmt"
	"net/url"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is wrapped by all errors of this package.
var ErrMalformed = errors.New("malformed for an HTTP request")

// whitespace is what a receiver trims from both ends of a header's value (RFC 9110, section 5.5).
const whitespace = " \t"

// CheckTarget checks a request target in origin form: an absolute path, with a query if there is one (RFC 9112,
// section 3.2.1).
func CheckTarget(target string) error {
	_, err := url.ParseRequestURI(target) // rejects control characters and malformed escapes
	if err != nil || !strings.HasPrefix(target, "/") || strings.ContainsAny(target, " #") {
		return malformed("path", target)
	}
	return nil
}

// CheckHost checks the value of a Host header.
func CheckHost(host string) error {
	if host == "" || !httpguts.ValidHostHeader(host) {
		return malformed("host", host)
	}
	return nil
}

// CheckHeader checks a header's name and value.
func CheckHeader(name, value string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return malformed("header name", name)
	}
	if !httpguts.ValidHeaderFieldValue(value) {
		return malformed("value of header "+name, value)
	}
	return nil
}

// CheckIdentifier checks a header's value that the receiver must read unchanged, such as an id or a name: it isn't
// empty, and has no whitespace at its ends, which would be trimmed. what describes the value in the error.
func CheckIdentifier(what, value string) error {
	if value == "" || !httpguts.ValidHeaderFieldValue(value) || strings.Trim(value, whitespace) != value {
		return malformed(what, value)
	}
	return nil
}

// maxQuoted is the maximum number of bytes of a malformed string that an error quotes.
const maxQuoted = 80

// malformed returns an error with the malformed string, escaped and cut off after maxQuoted bytes.
func malformed(what, value string) error {
	if len(value) > maxQuoted {
		return fmt.Errorf("%s %q...: %w", what, value[:maxQuoted], ErrMalformed)
	}
	return fmt.Errorf("%s %q: %w", what, value, ErrMalformed)
}

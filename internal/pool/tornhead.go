package pool

import (
	"errors"
	"net/http"
	"regexp"
	"slices"
	"strings"
)

// errTornHead is the error for a response head that begins within another, truncated one.
var errTornHead = errors.New("pool: truncated response head with another response in it")

// statusLinePattern matches the beginning of a status line, up to the space or the line end after the status
// code. Values of header fields are not expected to contain this.
var statusLinePattern = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]( |$)`)

// isTorn reports whether a response head consists of two heads: one that is truncated, in its status line or in
// the value of a field, and a complete one after it. A faulty server produces this when it abandons a response
// half-way and responds again on the same connection. Taken for one response, it would have the status of the
// first head and the identifying fields of the second.
func isTorn(resp *http.Response) bool {
	if hasStatusLine(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		if slices.ContainsFunc(values, hasStatusLine) {
			return true
		}
	}
	return false
}

// hasStatusLine reports whether a text contains a status line. The search for a fixed string avoids running the
// regular expression on almost all texts.
func hasStatusLine(text string) bool {
	return strings.Contains(text, "HTTP/1.") && statusLinePattern.MatchString(text)
}

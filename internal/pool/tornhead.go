package pool

import (
	"errors"
	"net/http"
	"regexp"
	"slices"
	"strings"
)

// errTornHead reports a response head that begins within another, truncated one.
var errTornHead = errors.New("pool: truncated response head with another response in it")

// statusLinePattern matches the beginning of a response, as far as the value of a header field is not
// expected to contain it.
var statusLinePattern = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]( |$)`)

// isTorn reports whether a response head was read that consists of two: one that breaks off, in its status
// line or in the value of a field, and a complete one behind it. A faulty server produces this when it
// abandons a response half-way and answers again on the same connection. Taken for one response, the two
// would have the status of the first and the identifying fields of the second.
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

// hasStatusLine reports whether a text contains a status line. The search for a fixed string spares the
// regular expression for almost all texts.
func hasStatusLine(text string) bool {
	return strings.Contains(text, "HTTP/1.") && statusLinePattern.MatchString(text)
}

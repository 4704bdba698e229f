package configuration

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"sprucelane.example/sprucelane/internal/node"
)

// This file splits JSON texts into their parts without decoding them, so that a document can keep the bytes of its
// items and findings can contain lines and columns. The split functions require well-formed input, which checkSyntax
// ensures.

// span is one value in a well-formed JSON text.
type span struct {
	key    string // key of a member of an object
	raw    json.RawMessage
	offset int // offset of raw in the whole text, in bytes
}

// syntaxCheck makes encoding/json check the syntax of a whole text without building values.
type syntaxCheck struct{}

// UnmarshalJSON ignores the value: encoding/json has checked its syntax before the call.
func (*syntaxCheck) UnmarshalJSON([]byte) error { return nil }

// checkSyntax reports whether a text is exactly one JSON value, and adds a finding if it isn't.
func checkSyntax(text []byte, findings *node.Findings) bool {
	err := json.Unmarshal(text, &syntaxCheck{})
	if err == nil {
		return true
	}
	offset := len(text)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = int(syntax.Offset)
	}
	findings.Addf(position(text, offset), "cannot be read: %v", err)
	return false
}

// position returns the line and column (in bytes) of an offset, both counted from 1.
func position(text []byte, offset int) string {
	offset = min(max(offset, 0), len(text))
	line := 1 + bytes.Count(text[:offset], []byte("\n"))
	column := offset - bytes.LastIndexByte(text[:offset], '\n')
	return fmt.Sprintf("line %d, column %d", line, column)
}

// splitObject returns the members of an object in order, or false if the value isn't an object.
func splitObject(raw []byte, offset int) ([]span, bool) {
	at := skipSpace(raw, 0)
	if at == len(raw) || raw[at] != '{' {
		return nil, false
	}
	var members []span
	for at = skipSpace(raw, at+1); raw[at] != '}'; at = skipSeparator(raw, at) {
		end := valueEnd(raw, at)
		var key string
		if err := json.Unmarshal(raw[at:end], &key); err != nil {
			return nil, false
		}
		at = skipSpace(raw, skipSpace(raw, end)+1) // the colon
		end = valueEnd(raw, at)
		members = append(members, span{key: key, raw: raw[at:end:end], offset: offset + at})
		at = end
	}
	return members, true
}

// splitArray returns the elements of an array, or false if the value isn't an array.
func splitArray(raw []byte, offset int) ([]span, bool) {
	at := skipSpace(raw, 0)
	if at == len(raw) || raw[at] != '[' {
		return nil, false
	}
	var elements []span
	for at = skipSpace(raw, at+1); raw[at] != ']'; at = skipSeparator(raw, at) {
		end := valueEnd(raw, at)
		elements = append(elements, span{raw: raw[at:end:end], offset: offset + at})
		at = end
	}
	return elements, true
}

// skipSpace returns the offset of the first non-space character at or after an offset.
func skipSpace(raw []byte, at int) int {
	for at < len(raw) && (raw[at] == ' ' || raw[at] == '\t' || raw[at] == '\n' || raw[at] == '\r') {
		at++
	}
	return at
}

// skipSeparator returns the offset after the comma between elements, if there is one, and the space around it.
func skipSeparator(raw []byte, at int) int {
	at = skipSpace(raw, at)
	if raw[at] == ',' {
		at = skipSpace(raw, at+1)
	}
	return at
}

// valueEnd returns the offset just after the value that begins at an offset.
func valueEnd(raw []byte, at int) int {
	switch raw[at] {
	case '"':
		return stringEnd(raw, at)
	case '{', '[':
		return nestedEnd(raw, at)
	}
	for at < len(raw) && !bytes.ContainsRune([]byte(",]} \t\r\n"), rune(raw[at])) {
		at++
	}
	return at
}

// stringEnd returns the offset just after the string that begins at an offset.
func stringEnd(raw []byte, at int) int {
	for at++; raw[at] != '"'; at++ {
		if raw[at] == '\\' {
			at++
		}
	}
	return at + 1
}

// nestedEnd returns the offset just after the object or array that begins at an offset.
func nestedEnd(raw []byte, at int) int {
	depth := 0
	for {
		switch raw[at] {
		case '"':
			at = stringEnd(raw, at)
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		at++
		if depth == 0 {
			return at
		}
	}
}

// Package job owns a batch job as a value: how a client writes it, and how it stands in a log and on the wire between
// stores. It must never know who keeps or runs it.
package job

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
)

// MaxItems is the most items that a batch job may list.
const MaxItems = 200

// MostTokens is the most tokens that an item may have: sums over all that a fleet holds don't overflow.
const MaxItemTokens = 1 << 31

// Item is one request of a batch job.
type Item struct {
	ID      string
	Path    string
	Headers []Header
	Body    []byte
	Tokens  int // of the prompt and the most to come out
}

// Header is one of an item's headers.
type Header struct{ Name, Value string }

// Content is a batch job as it was accepted. It never changes.
type Content struct {
	ID        string
	Tenant    string
	Route     string // name
	FirstSent int64  // when it first came, in Unix milliseconds
	Items     []Item
}

// State is what became of an item.
type State byte

// The states of listed items.
const (
	Completed  State = 1
	DeadLetter State = 2
)

// String gives the state's name on the wire.
func (s State) String() string {
	if s == Completed {
		return "completed"
	}
	return "dead_letter"
}

// ErrInvalid is wrapped by all errors of ParseSubmission.
var ErrInvalid = errors.New("not a valid batch job")

type submission struct {
	Requests []struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    string            `json:"body"`
		Tokens  int               `json:"tokens"`
	} `json:"requests"`
}

// ParseSubmission reads the items of a batch job as a client sends them.
func ParseSubmission(text []byte) ([]Item, error) {
	var read submission
	if err := json.Unmarshal(text, &read); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if len(read.Requests) == 0 || len(read.Requests) > MaxItems {
		return nil, fmt.Errorf("%w: %d items", ErrInvalid, len(read.Requests))
	}
	items := make([]Item, 0, len(read.Requests))
	seen := make(map[string]bool, len(read.Requests))
	for i := range read.Requests {
		request := &read.Requests[i]
		if request.ID == "" || request.Path == "" || seen[request.ID] {
			return nil, fmt.Errorf("%w: item %d has no id or path of its own", ErrInvalid, i)
		}
		seen[request.ID] = true
		if request.Tokens < 0 || request.Tokens > MaxItemTokens {
			return nil, fmt.Errorf("%w: tokens of item %d: %d", ErrInvalid, i, request.Tokens)
		}
		body, err := base64.StdEncoding.DecodeString(request.Body)
		if err != nil {
			return nil, fmt.Errorf("%w: body of item %d: %w", ErrInvalid, i, err)
		}
		item := Item{ID: request.ID, Path: request.Path, Body: body, Tokens: request.Tokens}
		for name, value := range request.Headers {
			item.Headers = append(item.Headers, Header{Name: name, Value: value})
		}
		items = append(items, item)
	}
	return items, nil
}

package job

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
)

// ErrInvalid is wrapped by all errors of ParseSubmission.
var ErrInvalid = errors.New("job: invalid submission")

// submission is the JSON body that a client submits.
type submission struct {
	Requests []struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    string            `json:"body"` // base64
		Tokens  int               `json:"tokens"`
	} `json:"requests"`
}

// ParseSubmission parses the JSON body of a client's submission and returns the items of the batch job. Errors wrap
// ErrInvalid, and name the invalid item if there is one.
func ParseSubmission(text []byte) ([]Item, error) {
	var parsed submission
	if err := json.Unmarshal(text, &parsed); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if len(parsed.Requests) == 0 || len(parsed.Requests) > MaxItems {
		return nil, fmt.Errorf("%w: %d items, which is 0 or above the limit", ErrInvalid, len(parsed.Requests))
	}
	items := make([]Item, 0, len(parsed.Requests))
	seen := make(map[string]bool, len(parsed.Requests))
	for i := range parsed.Requests {
		request := &parsed.Requests[i]
		if request.ID == "" || request.Path == "" || seen[request.ID] {
			return nil, fmt.Errorf("%w: item %d has no path, or its id is empty or a duplicate", ErrInvalid, i)
		}
		seen[request.ID] = true
		if request.Tokens < 0 || request.Tokens > MaxItemTokens {
			return nil, fmt.Errorf("%w: item %d has %d tokens: negative or above the limit", ErrInvalid, i, request.Tokens)
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

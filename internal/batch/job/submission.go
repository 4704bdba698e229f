package job

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"sprucelane.example/sprucelane/internal/httpsyntax"
)

// ErrInvalid is wrapped by all errors of ParseSubmission.
var ErrInvalid = errors.New("job: invalid submission")

// submission is the JSON body that a client submits.
type submission struct {
	Requests []submittedItem `json:"requests"`
}

// submittedItem is one item in the JSON body that a client submits.
type submittedItem struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"` // base64
	Tokens  int               `json:"tokens"`
}

// ParseSubmission parses the JSON body of a client's submission and returns the items of the batch job. Errors wrap
// ErrInvalid, and name the invalid item if there is one. A batch job with an item that can't be sent as an HTTP request
// is invalid as a whole.
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
		item, err := parsed.Requests[i].item()
		if err != nil {
			return nil, fmt.Errorf("%w: requests[%d]: %w", ErrInvalid, i, err)
		}
		if seen[item.ID] {
			return nil, fmt.Errorf("%w: requests[%d]: id %q: is the id of an earlier item", ErrInvalid, i, item.ID)
		}
		seen[item.ID] = true
		items = append(items, item)
	}
	return items, nil
}

// item checks a submitted item and returns it with its body decoded.
func (s *submittedItem) item() (Item, error) {
	if s.Tokens < 0 || s.Tokens > MaxItemTokens {
		return Item{}, fmt.Errorf("tokens: %d is negative or above the limit of %d", s.Tokens, MaxItemTokens)
	}
	body, err := base64.StdEncoding.DecodeString(s.Body)
	if err != nil {
		return Item{}, fmt.Errorf("body: %w", err)
	}
	item := Item{ID: s.ID, Path: s.Path, Body: body, Tokens: s.Tokens}
	for _, name := range slices.Sorted(maps.Keys(s.Headers)) {
		item.Headers = append(item.Headers, Header{Name: name, Value: s.Headers[name]})
	}
	return item, item.CheckSyntax()
}

// CheckSyntax checks that the item's id, path and headers can be sent within an HTTP request and are received as they
// are. Errors wrap httpsyntax.ErrMalformed.
func (i *Item) CheckSyntax() error {
	if err := httpsyntax.CheckIdentifier("id", i.ID); err != nil {
		return err
	}
	if err := httpsyntax.CheckTarget(i.Path); err != nil {
		return err
	}
	for _, header := range i.Headers {
		if err := httpsyntax.CheckHeader(header.Name, header.Value); err != nil {
			return err
		}
	}
	return nil
}

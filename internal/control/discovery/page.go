package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
)

// page is one page of the list as sent by the platform.
type page struct {
	Instances []instance `json:"instances"`
	NextToken *string    `json:"next-token"`
}

// instance is one server as sent by the platform.
type instance struct {
	ID              string  `json:"id"`
	Backend         string  `json:"backend"`
	Address         string  `json:"address"`
	Zone            string  `json:"zone"`
	Slots           float64 `json:"slots"`
	State           string  `json:"state"`
	ColdRemainingMs float64 `json:"cold-remaining-ms"`
	Stage           string  `json:"stage"`
}

// stateDraining is the state of a server that takes no new requests.
const stateDraining = "draining"

// server converts an instance to the form that is sent to subscribers.
func (i *instance) server() protocol.Server {
	return protocol.Server{
		ID:       i.ID,
		Backend:  i.Backend,
		Address:  i.Address,
		Zone:     i.Zone,
		Slots:    int(i.Slots),
		Draining: i.State == stateDraining,
		Cold:     time.Duration(i.ColdRemainingMs * float64(time.Millisecond)),
		Stage:    i.Stage,
	}
}

// parsePage decodes a page. A response without a list of instances is an error, because it must not be mistaken
// for an empty list.
func parsePage(body []byte) (*page, error) {
	var parsed page
	if err := json.Unmarshal(body, &parsed); err != nil {
		return nil, fmt.Errorf("discovery: decode a page of the platform's list: %w", err)
	}
	if parsed.Instances == nil {
		return nil, errors.New("discovery: a page of the platform's list has no instances")
	}
	return &parsed, nil
}

package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/controlclient"
	"sprucelane.example/sprucelane/internal/lab/system"
)

// Limits of a tenant of the long list.
const (
	tenantRate  = 8 // a second
	tenantBurst = 8
)

// Change is a change of the configuration.
type Change struct {
	Generation   uint64
	Acknowledged time.Duration   // from its sending
	InForce      []time.Duration // from its acknowledgement, of each member that has it, in rising order; 0 where that came before
	Missing      int             // members that don't have it

	ackedAt time.Time
}

// document gives a configuration with many tenants.
func document(generation uint64, tenants int) configuration.Document {
	document := system.Configuration(generation)
	for i := range tenants {
		name := fmt.Sprintf("tenant-%05d", i)
		document.Tenants = append(document.Tenants, configuration.Tenant{Name: name, APIKeys: []string{"key-of-" + name},
			Priority: 1, RatePerSec: tenantRate, Burst: tenantBurst})
	}
	return document
}

// patch is a change of named items, as the operator sends it.
type patch struct {
	Generation uint64  `json:"generation"`
	Upsert     upserts `json:"upsert"`
}

type upserts struct {
	Routes []configuration.Route `json:"routes"`
}

// change changes the configuration at a steady rate for the measured time.
func (r *run) change(ctx context.Context, generation uint64) ([]Change, error) {
	var changes []Change
	ticker := time.NewTicker(r.plan.ChangeEvery)
	defer ticker.Stop()
	end := time.NewTimer(r.plan.For)
	defer end.Stop()
	for {
		select {
		case <-ticker.C:
		case <-end.C:
			return changes, nil
		case <-ctx.Done():
			return changes, ctx.Err()
		}
		next, err := r.patch(ctx, generation)
		if err != nil {
			return changes, fmt.Errorf("scale: change %d: %w", generation+1, err)
		}
		changes = append(changes, next)
		generation = next.Generation
	}
}

// patch changes the time-out of a route, on top of a generation.
func (r *run) patch(ctx context.Context, generation uint64) (Change, error) {
	next := Change{Generation: generation + 1}
	route := system.Configuration(next.Generation).Routes[0]
	route.TimeoutMs += float64(next.Generation)
	body, err := json.Marshal(patch{next.Generation, upserts{[]configuration.Route{route}}})
	if err != nil {
		return next, err
	}
	began := time.Now()
	_, err = r.fleet.Operator().Call(ctx, controlclient.Order{
		Method:  http.MethodPatch,
		Path:    "/config",
		IfMatch: strconv.FormatUint(generation, 10),
		Body:    body,
	})
	next.ackedAt = time.Now()
	next.Acknowledged = next.ackedAt.Sub(began)
	return next, err
}

// inForce tells when the changes came into force at the members; it gives the last one time.
func (r *run) inForce(ctx context.Context, changes []Change) []Change {
	until := time.Now().Add(lastInForce)
	for i := range changes {
		one := &changes[i]
		for _, member := range r.members {
			at, is := member.await(ctx, one.Generation, until)
			if !is {
				one.Missing++
				continue
			}
			one.InForce = append(one.InForce, max(0, at.Sub(one.ackedAt)))
		}
		slices.Sort(one.InForce)
	}
	return changes
}

// await waits for a generation until a moment.
func (h *hollow) await(ctx context.Context, generation uint64, until time.Time) (time.Time, bool) {
	for {
		at, is := h.since(generation)
		if is || time.Now().After(until) || ctx.Err() != nil {
			return at, is
		}
		time.Sleep(lookEvery)
	}
}

package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/lab/system"
)

const (
	// retentionSeconds is how long batch jobs are kept, beyond any run.
	retentionSeconds = 3600
	// changedTenantName is the tenant whose rate and priority tell the generation and the variant of a configuration.
	changedTenantName = "changing"
	// minStreamTimeout is the shortest time-out of routes for streams, and streamTimeoutStep the difference between two.
	minStreamTimeout  = 4 * time.Second
	streamTimeoutStep = 250 * time.Millisecond
)

// revision identifies the content of a configuration: changes that race for one generation differ by their variant.
type revision struct {
	generation uint64
	variant    int
}

// document returns the configuration of a revision.
func (v revision) document() configuration.Document {
	document := system.Configuration(v.generation)
	for i := range document.Routes {
		switch route := &document.Routes[i]; route.Name {
		case system.BatchRoute:
			route.RetentionSeconds = retentionSeconds
		case system.StreamRoute:
			route.TimeoutMs = v.streamTimeoutMs()
		}
	}
	document.Routes = append(document.Routes, v.overlappingRoutes()...)
	document.Tenants = append(document.Tenants, v.changedTenant())
	return document
}

// streamTimeoutMs returns the time-out of routes for streams.
func (v revision) streamTimeoutMs() float64 {
	steps := time.Duration(v.generation % 5)
	return float64((minStreamTimeout + steps*streamTimeoutStep).Milliseconds())
}

// overlappingPrefixes are prefixes of routes that come and go. They overlap the fixed paths of batch jobs, of operators and
// of health checks, and the prefixes of the routes that clients use. Streams may match any of them, and get the same
// response.
var overlappingPrefixes = []string{
	"/", "/lots/", "/items/", "/config/", "/healthz/", "/readyz/", "/metrics/", "/report/", system.StreamPrefix + "2f/",
	system.BatchPrefix + "3/",
}

// overlappingRoutes returns the routes of a revision that overlap others: about half of those that there can be.
func (v revision) overlappingRoutes() []configuration.Route {
	random := rand.New(rand.NewPCG(v.generation, uint64(v.variant)))
	var routes []configuration.Route
	for _, host := range []string{system.StreamHost, system.BatchHost} {
		for i, prefix := range overlappingPrefixes {
			if random.IntN(2) == 0 {
				continue
			}
			routes = append(routes, configuration.Route{Name: fmt.Sprintf("overlap-%d-%s", i, host), Hostname: host,
				PathPrefix: prefix, Type: configuration.RouteStreaming, TimeoutMs: v.streamTimeoutMs(), TargetLatencyMs: 400,
				Backend: system.ServiceName, MaxAttempts: 2, Resumable: true})
		}
	}
	return routes
}

// changedTenant returns the tenant that every change changes, as it is in a revision.
func (v revision) changedTenant() configuration.Tenant {
	return configuration.Tenant{Name: changedTenantName, APIKeys: []string{"key-of-" + changedTenantName},
		Priority: 1 + v.variant, RatePerSec: float64(1 + v.generation%1000), Burst: float64(1 + v.generation%1000)}
}

// configurationChange is a request that changes the configuration from one revision to another.
type configurationChange struct {
	method         string // PUT or PATCH
	baseGeneration uint64
	revision       revision
	body           []byte
}

// newConfigurationChange returns a change to the generation after that of base, by PATCH or PUT.
func newConfigurationChange(base revision, variant int, patch bool) configurationChange {
	next := revision{generation: base.generation + 1, variant: variant}
	change := configurationChange{method: http.MethodPut, baseGeneration: base.generation, revision: next}
	var content any = next.document()
	if patch {
		change.method = http.MethodPatch
		content = newPatch(base.document(), next.document())
	}
	body, err := json.Marshal(content)
	if err != nil {
		panic(err) // unreachable: the types above can be encoded
	}
	change.body = body
	return change
}

// patch is the body of a PATCH.
type patch struct {
	Generation uint64       `json:"generation"`
	Upsert     patchUpserts `json:"upsert"`
	Delete     patchDeletes `json:"delete"`
}

type patchUpserts struct {
	Routes  []configuration.Route  `json:"routes,omitempty"`
	Tenants []configuration.Tenant `json:"tenants,omitempty"`
}

type patchDeletes struct {
	Routes []string `json:"routes,omitempty"`
}

// newPatch returns the patch from one document to the next.
func newPatch(from, to configuration.Document) patch {
	changed := patch{Generation: to.Generation, Upsert: patchUpserts{Routes: to.Routes, Tenants: to.Tenants}}
	kept := routeNames(to)
	for _, name := range routeNames(from) {
		if !slices.Contains(kept, name) {
			changed.Delete.Routes = append(changed.Delete.Routes, name)
		}
	}
	return changed
}

// routeNames returns the sorted names of a document's routes.
func routeNames(document configuration.Document) []string {
	var names []string
	for _, route := range document.Routes {
		names = append(names, route.Name)
	}
	slices.Sort(names)
	return names
}

func (c configurationChange) request() operatorRequest {
	return operatorRequest{method: c.method, path: "/config", baseGeneration: c.baseGeneration, body: c.body}
}

// checkDocument returns the revision of a document, and an error where it isn't what the change to that revision made
// of it.
func checkDocument(document configuration.Document) (revision, error) {
	for _, tenant := range document.Tenants {
		if tenant.Name != changedTenantName {
			continue
		}
		v := revision{generation: document.Generation, variant: tenant.Priority - 1}
		if want := v.changedTenant(); tenant.RatePerSec != want.RatePerSec {
			return v, fmt.Errorf("soak: generation %d has the tenant's rate %v", document.Generation, tenant.RatePerSec)
		}
		if got, want := routeNames(document), routeNames(v.document()); !slices.Equal(got, want) {
			return v, fmt.Errorf("soak: generation %d, variant %d has the routes %q in place of %q", v.generation, v.variant, got,
				want)
		}
		return v, nil
	}
	return revision{}, errors.New("soak: the tenant is missing")
}

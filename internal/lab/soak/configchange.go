package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/lab/system"
)

const (
	// retentionSeconds is how long batch jobs are kept, beyond any run.
	retentionSeconds = 3600
	// changedTenantName is the tenant whose rate tells the generation of a configuration.
	changedTenantName = "changing"
)

// documentAt returns the configuration of a generation.
func documentAt(generation uint64) configuration.Document {
	document := system.Configuration(generation)
	for i := range document.Routes {
		if document.Routes[i].Name == system.BatchRoute {
			document.Routes[i].RetentionSeconds = retentionSeconds
		}
	}
	document.Tenants = append(document.Tenants, changedTenantAt(generation))
	return document
}

// changedTenantAt returns the tenant that every change changes, as it is in a generation.
func changedTenantAt(generation uint64) configuration.Tenant {
	return configuration.Tenant{Name: changedTenantName, APIKeys: []string{"key-of-" + changedTenantName}, Priority: 1,
		RatePerSec: float64(1 + generation%1000), Burst: float64(1 + generation%1000)}
}

// configurationChange is a request that changes the configuration from one generation to the next.
type configurationChange struct {
	method         string // PUT or PATCH
	baseGeneration uint64
	generation     uint64
	body           []byte
}

func newConfigurationChange(baseGeneration uint64, patch bool) configurationChange {
	change := configurationChange{method: http.MethodPut, baseGeneration: baseGeneration, generation: baseGeneration + 1}
	var content any = documentAt(change.generation)
	if patch {
		change.method = http.MethodPatch
		content = map[string]any{"generation": change.generation,
			"upsert": map[string]any{"tenants": []configuration.Tenant{changedTenantAt(change.generation)}}}
	}
	body, err := json.Marshal(content)
	if err != nil {
		panic(err) // unreachable: the types above can be encoded
	}
	change.body = body
	return change
}

func (c configurationChange) request() operatorRequest {
	return operatorRequest{method: c.method, path: "/config", baseGeneration: c.baseGeneration, body: c.body}
}

// checkDocument returns an error where a document isn't what the change to its generation made of it.
func checkDocument(document configuration.Document) error {
	for _, tenant := range document.Tenants {
		if tenant.Name != changedTenantName {
			continue
		}
		if want := changedTenantAt(document.Generation); tenant.RatePerSec != want.RatePerSec {
			return fmt.Errorf("soak: generation %d has the tenant's rate %v", document.Generation, tenant.RatePerSec)
		}
		return nil
	}
	return errors.New("soak: the tenant is missing")
}

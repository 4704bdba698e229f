package system

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/controlclient"
)

// Names in the configurations that Configuration returns.
const (
	ServiceName  = "text-lm"
	StreamRoute  = "assist"
	StreamHost   = "assist.example"
	StreamPrefix = "/assist/"
	StreamPath   = StreamPrefix + "2f" // of all streaming requests
	BatchRoute   = "tagging"
	BatchHost    = "tagging.example"
	BatchPrefix  = "/tagging/"
	TenantName   = "crew"
	TenantKey    = "key-of-crew"
	SecondTenant = "office"
	SecondKey    = "key-of-office"
)

// Configuration returns the configuration of a generation: a streaming route, a batch route and two tenants.
func Configuration(generation uint64) configuration.Document {
	return configuration.Document{
		Generation: generation,
		Routes: []configuration.Route{
			{
				Name:            StreamRoute,
				Hostname:        StreamHost,
				PathPrefix:      StreamPrefix,
				Type:            configuration.RouteStreaming,
				TimeoutMs:       5000,
				TargetLatencyMs: 400,
				Backend:         ServiceName,
				MaxAttempts:     2,
				Sticky:          true,
				Resumable:       true,
				GapTargetMs:     300,
			},
			{
				Name:               BatchRoute,
				Hostname:           BatchHost,
				PathPrefix:         BatchPrefix,
				Type:               configuration.RouteBatch,
				TimeoutMs:          4000,
				TargetLatencyMs:    400,
				Priority:           1,
				Backend:            ServiceName,
				MaxAttempts:        3,
				Sticky:             true,
				Resumable:          true,
				CompletionTargetMs: 10000,
				RetentionSeconds:   60,
			},
		},
		Backends: []configuration.Backend{
			{
				Name:       ServiceName,
				HealthPath: "/healthz",
				MaxConns:   engineConns,
				Protocol:   "h1",
				Engine: configuration.Engine{
					Slots:    engineSlots,
					KVTokens: engineKVTokens,
					KVBytes:  327680,
					LinkMbps: 2.2e6,
					Stride:   engineTokensPerEvent,
					Models:   []configuration.Model{{Name: "m"}},
				},
			},
		},
		Limits: configuration.Limits{
			MaxHeaderBytes:  16384,
			MaxBodyBytes:    4194304,
			HeaderTimeoutMs: 3000,
			IdleTimeoutMs:   15000,
		},
		Tenants: []configuration.Tenant{
			{Name: TenantName, APIKeys: []string{TenantKey}, Priority: 1, RatePerSec: 200, Burst: 200},
			{Name: SecondTenant, APIKeys: []string{SecondKey}, Priority: 1, RatePerSec: 200, Burst: 200},
		},
	}
}

// PutConfiguration puts a configuration on top of a generation (If-Match): the change fails where another is
// in force.
func (c *Cluster) PutConfiguration(ctx context.Context, baseGeneration uint64, document configuration.Document) error {
	body, err := json.Marshal(document)
	if err != nil {
		return err
	}
	_, err = c.Operator().Call(ctx, controlclient.Request{
		Method:  http.MethodPut,
		Path:    "/config",
		IfMatch: strconv.FormatUint(baseGeneration, 10),
		Body:    body,
	})
	return err
}

// Configuration reads the configuration in force from any control process.
func (c *Cluster) Configuration(ctx context.Context) (configuration.Document, error) {
	var document configuration.Document
	answer, err := c.Operator().Call(ctx, controlclient.Request{Method: http.MethodGet, Path: "/config"})
	if err != nil {
		return document, err
	}
	return document, json.Unmarshal(answer.Body, &document)
}

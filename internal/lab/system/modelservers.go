package system

import (
	"fmt"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/fake/modelserver"
)

// The fake model servers' capacity and speed, of which the configuration's engine and the clients' checks
// also speak.
const (
	engineSlots          = 16
	engineConns          = 190
	engineKVTokens       = 232000
	enginePrefillRate    = 128000 // prompt tokens per second
	engineTokensPerEvent = 24
	engineEventInterval  = 10 * time.Millisecond
)

// AddModelServer starts a model server in the next zone and lists it at the platform.
func (c *Cluster) AddModelServer() (*modelserver.Server, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	number := len(c.modelServers)
	server, err := modelserver.Start(modelserver.Options{
		ID:             fmt.Sprintf("i-%04d", number+1),
		Service:        ServiceName,
		Address:        hostPort(c.ipAddress(c.Options.modelServerNumber(number)), portModelServer),
		Slots:          engineSlots,
		MaxConnections: engineConns,
		KVTokens:       engineKVTokens,
		PrefillRate:    enginePrefillRate,
		EventInterval:  engineEventInterval,
		TokensPerEvent: engineTokensPerEvent,
		ExecutionLog:   c.ExecutionLog,
		FailStatus:     c.Options.FailStatus,
		ReportLoad:     c.Options.ReportLoad,
	})
	if err != nil {
		return nil, err
	}
	c.modelServers = append(c.modelServers, server)
	c.Platform.Put(server, c.Options.Zones[number%len(c.Options.Zones)])
	return server, nil
}

// DrainModelServer has a model server drain: the platform lists it as leaving, and it goes on serving.
func (c *Cluster) DrainModelServer(server *modelserver.Server) {
	c.mu.Lock()
	number := slices.Index(c.modelServers, server)
	c.mu.Unlock()
	server.Drain()
	c.Platform.Put(server, c.Options.Zones[number%len(c.Options.Zones)])
}

// ModelServers returns the model servers.
func (c *Cluster) ModelServers() []*modelserver.Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.modelServers)
}

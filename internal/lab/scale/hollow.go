package scale

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/gateway/limits"
	"sprucelane.example/sprucelane/internal/gateway/servers"
	"sprucelane.example/sprucelane/internal/gateway/subscription"
	"sprucelane.example/sprucelane/internal/lab/system"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/pool"
	"sprucelane.example/sprucelane/internal/protocol"
)

// patience is how long a hollow gateway's request waits for a token.
var patience = limits.Patience{Unsure: 100 * time.Millisecond, Sure: 250 * time.Millisecond}

// noPool stands for the connections to servers, of which a hollow gateway has none.
type noPool struct{}

// Apply takes nothing in.
func (noPool) Apply([]pool.Change) {}

// arrival is a configuration that a gateway put in force.
type arrival struct {
	generation uint64
	at         time.Time
}

// hollow is a gateway without traffic: what it knows from control and its tokens of quota are the real code, over the real
// transport.
type hollow struct {
	subscription *subscription.Subscription
	servers      *servers.Registry
	quotas       *limits.Keeper
	messages     atomic.Uint64 // updates taken: answers to polls, and pushes

	mutex    sync.Mutex
	arrivals []arrival // in order
}

func newHollow(settings *node.Settings, incarnation string) *hollow {
	process := protocol.Process{Node: settings.NodeName, Role: protocol.RoleGateway, Zone: settings.Zone, IP: settings.IP,
		Incarnation: incarnation}
	options := transport.Options{Identity: transport.Identity{System: protocol.System, Node: process.Node, Role: process.Role,
		Zone: process.Zone, Address: process.IP, Incarnation: incarnation}}
	h := &hollow{servers: servers.NewRegistry(noPool{})}
	h.subscription = subscription.New(subscription.Options{
		Settings:   settings,
		Process:    process,
		Transport:  options,
		Servers:    h.servers,
		Ready:      func() bool { return true },
		Log:        zerolog.Nop(),
		Configured: h.configured,
		Updated:    func() { h.messages.Add(1) },
	})
	h.quotas = limits.New(limits.Options{Process: process, Transport: options, Members: h.subscription.Members, Log: zerolog.Nop()})
	return h
}

func (h *hollow) configured(snapshot *configuration.Snapshot) {
	h.quotas.Configure(snapshot)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.arrivals = append(h.arrivals, arrival{snapshot.Generation, time.Now()})
}

// run keeps the gateway until the context ends, with so many requests for tokens a second.
func (h *hollow) run(ctx context.Context, requests float64) {
	var all sync.WaitGroup
	all.Go(func() { h.subscription.Run(ctx) })
	all.Go(func() { h.quotas.Run(ctx) })
	if requests > 0 {
		all.Go(func() { h.request(ctx, time.Duration(float64(time.Second)/requests)) })
	}
	all.Wait()
}

// request asks for a token of a random tenant at a steady rate.
func (h *hollow) request(ctx context.Context, every time.Duration) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	var all sync.WaitGroup
	defer all.Wait()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		snapshot := h.subscription.Configuration()
		if snapshot == nil || len(snapshot.Tenants) == 0 {
			continue
		}
		tenant := &snapshot.Tenants[rand.IntN(len(snapshot.Tenants))]
		all.Go(func() { h.quotas.Acquire(ctx, tenant, patience) })
	}
}

// complete tells whether the gateway holds a configuration, as many servers of the laboratory's service as were listed, and a list
// of processes with so many gateways.
func (h *hollow) complete(listed, gateways int) bool {
	table, members := h.servers.Current(), h.subscription.Members()
	return h.subscription.Configuration() != nil && members != nil && len(members.Gateways) == gateways &&
		(listed == 0 || table != nil && len(table.Of(system.ServiceName)) >= listed)
}

// since gives when a generation, or one above it, came into force; false: it hasn't.
func (h *hollow) since(generation uint64) (time.Time, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, one := range h.arrivals {
		if one.generation >= generation {
			return one.at, true
		}
	}
	return time.Time{}, false
}

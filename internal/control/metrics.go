package control

import (
	"runtime"
	"strconv"
	"time"

	"sprucelane.example/sprucelane/internal/control/statemachine"
	"sprucelane.example/sprucelane/internal/node/metrics"
	"sprucelane.example/sprucelane/internal/protocol"
)

// Metrics returns the metrics of a control process. With a nil Control the metrics can be described but not
// read.
func Metrics(c *Control) []metrics.Metric {
	list := append(c.chainMetrics(), c.membershipMetrics()...)
	return append(list, c.subscriptionMetrics()...)
}

// chainMetrics returns the metrics of the chain that replicates the state.
func (c *Control) chainMetrics() []metrics.Metric {
	return []metrics.Metric{
		{Name: "sprucelane_chain_epoch", Kind: metrics.Gauge, Help: "Epoch of the newest view that this process knows.",
			Read: func(emit metrics.Emit) { emit.Value(float64(c.replica.View().Epoch)) }},
		{Name: "sprucelane_chain_members", Kind: metrics.Gauge, Labels: []string{"set"},
			Help: "Members of that view: voters, and those of the chain.",
			Read: func(emit metrics.Emit) {
				current := c.replica.View()
				emit.Value(float64(len(current.Voters)), "voters")
				emit.Value(float64(len(current.Chain)), "chain")
			}},
		{Name: "sprucelane_chain_leader", Kind: metrics.Gauge,
			Help: "1 while this process holds the leader lease; the sum over all processes is never above 1.",
			Read: func(emit metrics.Emit) {
				_, until, held := c.replica.LeaderLease()
				emit.Bool(held && time.Now().Before(until))
			}},
		{Name: "sprucelane_chain_applied_index", Kind: metrics.Gauge, Help: "Index of the newest command applied here.",
			Read: func(emit metrics.Emit) { emit.Value(float64(c.replica.Applied())) }},
		{Name: "sprucelane_chain_staleness_seconds", Kind: metrics.Gauge,
			Help: "Age of the proof that the state here is the latest; no value without one. Above 0.8 nothing is confirmed.",
			Read: func(emit metrics.Emit) {
				if age, proven := c.replica.Staleness(); proven {
					emit.Value(age.Seconds())
				}
			}},
		{Name: "sprucelane_chain_known_processes", Kind: metrics.Gauge,
			Help: "Control processes that this one knows, itself included.",
			Read: func(emit metrics.Emit) { emit.Value(float64(len(c.controlIPs()))) }},
	}
}

// membershipMetrics returns the metrics of the store membership and the configuration.
func (c *Control) membershipMetrics() []metrics.Metric {
	return []metrics.Metric{
		{Name: "sprucelane_configuration_generation", Kind: metrics.Gauge,
			Help: "Generation of the newest configuration applied here.",
			Read: func(emit metrics.Emit) { emit.Value(float64(c.state.Configuration().Generation)) }},
		{Name: "sprucelane_store_membership_epoch", Kind: metrics.Gauge, Help: "Epoch of the store membership.",
			Read: func(emit metrics.Emit) { emit.Value(float64(c.state.Stores().Epoch)) }},
		{Name: "sprucelane_stores", Kind: metrics.Gauge, Labels: []string{"state"},
			Help: "Stores of the membership (active, retiring, retired), and those departed since all had last reconciled.",
			Read: func(emit metrics.Emit) { emitStores(emit, c.state.Stores()) }},
		{Name: "sprucelane_stores_reconciled", Kind: metrics.Gauge,
			Help: "1 if all stores have reconciled in the membership's epoch: the next loss is tolerated.",
			Read: func(emit metrics.Emit) { emit.Bool(c.state.Stores().Settled) }},
		{Name: "sprucelane_retirements", Kind: metrics.Gauge, Labels: []string{"state"},
			Help: "Remembered retirements of store machines, active and completed.",
			Read: func(emit metrics.Emit) {
				emit.Value(float64(c.state.CountRetirements(statemachine.RetirementActive)), "active")
				emit.Value(float64(c.state.CountRetirements(statemachine.RetirementCompleted)), "completed")
			}},
	}
}

// emitStores emits the number of stores in each state.
func emitStores(emit metrics.Emit, stores protocol.StoreView) {
	counts := map[protocol.StoreState]int{}
	for _, member := range stores.Members {
		counts[member.State]++
	}
	emit.Value(float64(counts[protocol.StoreActive]), "active")
	emit.Value(float64(counts[protocol.StoreRetiring]), "retiring")
	emit.Value(float64(counts[protocol.StoreRetired]), "retired")
	emit.Value(float64(len(stores.Departed)), "departed")
}

// subscriptionMetrics returns the metrics of this process's subscribers and of the server list.
func (c *Control) subscriptionMetrics() []metrics.Metric {
	return []metrics.Metric{
		{Name: "sprucelane_subscribers", Kind: metrics.Gauge, Labels: []string{"role"},
			Help: "Processes that are connected here.",
			Read: func(emit metrics.Emit) {
				counts := map[string]int{protocol.RoleGateway: 0, protocol.RoleBatch: 0}
				c.mutex.Lock()
				for _, sub := range c.subscribers {
					counts[sub.process.Role]++
				}
				c.mutex.Unlock()
				for role, count := range counts {
					emit.Value(float64(count), role)
				}
			}},
		{Name: "sprucelane_gateways", Kind: metrics.Gauge, Labels: []string{"complete"},
			Help: "Gateways that poll any control process; complete: counted for long enough to know all.",
			Read: func(emit metrics.Emit) {
				c.mutex.Lock()
				defer c.mutex.Unlock()
				emit.Value(float64(len(c.members.list.Gateways)), strconv.FormatBool(c.members.list.GatewaysComplete))
			}},
		{Name: "sprucelane_listed_servers", Kind: metrics.Gauge, Help: "Servers on the platform's list.",
			Read: func(emit metrics.Emit) {
				c.mutex.Lock()
				defer c.mutex.Unlock()
				emit.Value(float64(len(c.servers.list.Servers)))
			}},
		{Name: "sprucelane_server_list_age_seconds", Kind: metrics.Gauge, Help: "Time since that list was read.",
			Read: func(emit metrics.Emit) {
				c.mutex.Lock()
				defer c.mutex.Unlock()
				emit.Value((c.now() - c.servers.readAt).Seconds())
			}},
		{Name: "sprucelane_build_info", Kind: metrics.Gauge, Labels: []string{"role", "go_version"},
			Help: "Always 1: what runs.",
			Read: func(emit metrics.Emit) { emit.Value(1, "control", runtime.Version()) }},
	}
}

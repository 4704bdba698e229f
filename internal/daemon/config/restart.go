package config

import (
	"bytes"
	"reflect"
	"slices"
)

// difference is the result of comparing a key's values in two configurations.
type difference struct {
	key  string
	same bool
}

// differingKeys returns the keys whose values differ.
func differingKeys(compared []difference) (keys []string) {
	for _, d := range compared {
		if !d.same {
			keys = append(keys, d.key)
		}
	}
	return keys
}

// RestartKeys returns the keys in which the reloaded configuration next differs from c, with which the process was
// started, and whose changes take effect only after a restart.
func (c *Config) RestartKeys(next *Config) []string {
	keys := differingKeys([]difference{
		{"name", c.Name == next.Name},
		{"listen", c.Listen == next.Listen},
		{"control", c.Control == next.Control},
		{"peer_listen", c.PeerListen == next.PeerListen},
		{"peers", slices.Equal(c.Peers, next.Peers)},
		{"peers_all", c.PeerBroadcast == next.PeerBroadcast},
		{"introspection", bytes.Equal(c.Site.introspectionJSON, next.Site.introspectionJSON)},
		{"knowledge", bytes.Equal(c.Site.knowledgeJSON, next.Site.knowledgeJSON)},
		{"storm", reflect.DeepEqual(c.Site.Storm, next.Site.Storm)},
		{"store", reflect.DeepEqual(c.Site.Store, next.Site.Store)},
	})
	_, settings := next.Deployment.WithRestartKeysOf(c.Deployment)
	return append(keys, settings...)
}

// WithRestartKeysOf returns d with the values of start for the keys whose changes need a restart, and the names of
// those keys in which d and start differ. These are the keys that define numbers (of gateways, zones, kinds, fields
// of load reports), or on which sockets and peers depend.
func (d Deployment) WithRestartKeysOf(start Deployment) (merged Deployment, differing []string) {
	differing = differingKeys([]difference{
		{"settings.self_index", d.Self == start.Self},
		{"settings.group_size", d.Gateways == start.Gateways},
		{"settings.zone", d.Zone == start.Zone},
		{"settings.zones", slices.Equal(d.Zones, start.Zones)},
		{"settings.kinds", slices.Equal(d.Kinds, start.Kinds)},
		{"settings.allowed.peers", d.Peers == start.Peers},
		{"settings.extra.peer_intake", d.PeerMessageRate == start.PeerMessageRate},
		{"settings.discovery", d.Subscribe == start.Subscribe},
		{"settings.report.names", slices.Equal(d.LoadReportFields, start.LoadReportFields)},
	})
	d.Self, d.Gateways, d.Zone, d.Zones, d.Kinds = start.Self, start.Gateways, start.Zone, start.Zones, start.Kinds
	d.Peers, d.PeerMessageRate, d.Subscribe = start.Peers, start.PeerMessageRate, start.Subscribe
	d.LoadReportFields = start.LoadReportFields
	return d, differing
}

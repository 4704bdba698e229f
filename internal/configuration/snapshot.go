package configuration

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// Snapshot is a version with the indexes that requests are routed by. It is immutable and safe for concurrent use:
// the values that its methods return must not be modified.
type Snapshot struct {
	Document
	Index uint64 // index in the replicated log of the change request that created the version

	hosts    map[string][]*Route // by normalized host name; the longest prefix first
	routes   map[string]*Route   // by name
	backends map[string]*Backend // by name
	tenants  map[string]*Tenant  // by name
	keys     map[string]*Tenant  // by API key
}

// NewSnapshot returns the snapshot of a document, which must have been validated.
func NewSnapshot(document Document, index uint64) *Snapshot {
	s := &Snapshot{
		Document: document,
		Index:    index,
		hosts:    make(map[string][]*Route),
		routes:   make(map[string]*Route, len(document.Routes)),
		backends: make(map[string]*Backend, len(document.Backends)),
		tenants:  make(map[string]*Tenant, len(document.Tenants)),
		keys:     make(map[string]*Tenant, 2*len(document.Tenants)),
	}
	for i := range s.Routes {
		route := &s.Routes[i]
		host := normalizeHost(route.Hostname)
		s.hosts[host] = append(s.hosts[host], route)
		s.routes[route.Name] = route
	}
	for _, list := range s.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range s.Backends {
		s.backends[s.Backends[i].Name] = &s.Backends[i]
	}
	for i := range s.Tenants {
		tenant := &s.Tenants[i]
		s.tenants[tenant.Name] = tenant
		for _, key := range tenant.APIKeys {
			s.keys[key] = tenant
		}
	}
	return s
}

// RouteFor returns the route for a request: among the routes of its host, the one with the longest prefix of its
// path. It returns nil if there is none.
func (s *Snapshot) RouteFor(host, path string) *Route {
	for _, route := range s.hosts[normalizeHost(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// RoutesForHost returns the routes of a host, ordered from the longest path prefix to the shortest.
func (s *Snapshot) RoutesForHost(host string) []*Route { return s.hosts[normalizeHost(host)] }

// RouteByName returns the route with a name, or nil.
func (s *Snapshot) RouteByName(name string) *Route { return s.routes[name] }

// BackendByName returns the backend with a name, or nil.
func (s *Snapshot) BackendByName(name string) *Backend { return s.backends[name] }

// TenantByName returns the tenant with a name, or nil.
func (s *Snapshot) TenantByName(name string) *Tenant { return s.tenants[name] }

// TenantByKey returns the tenant with an API key, or nil.
func (s *Snapshot) TenantByKey(key string) *Tenant { return s.keys[key] }

// normalizeHost returns a host name without port and in lower case.
func normalizeHost(host string) string {
	if strings.IndexByte(host, ':') >= 0 {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(host)
}

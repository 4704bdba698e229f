package configuration

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// Snapshot is one version in force: a document with what is looked up in it. Nobody changes it.
type Snapshot struct {
	Document
	Index uint64 // of the order that made it, in the chain

	hosts    map[string][]*Route // longest prefix first
	routes   map[string]*Route
	backends map[string]*Backend
	tenants  map[string]*Tenant
	keys     map[string]*Tenant
}

// NewSnapshot makes a snapshot of a checked document.
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

// RouteFor gives the route of a host with the longest prefix that a path begins with, or nil.
func (s *Snapshot) RouteFor(host, path string) *Route {
	for _, route := range s.hosts[normalizeHost(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// RoutesOf gives the routes of a host, those with the longest prefixes first. Nobody changes the list.
func (s *Snapshot) RoutesForHost(host string) []*Route { return s.hosts[normalizeHost(host)] }

// RouteNamed gives a route by its name, or nil.
func (s *Snapshot) RouteByName(name string) *Route { return s.routes[name] }

// BackendNamed gives a service by its name, or nil.
func (s *Snapshot) BackendByName(name string) *Backend { return s.backends[name] }

// TenantNamed gives a tenant by its name, or nil.
func (s *Snapshot) TenantByName(name string) *Tenant { return s.tenants[name] }

// TenantFor gives the tenant that holds a key, or nil.
func (s *Snapshot) TenantByKey(key string) *Tenant { return s.keys[key] }

func normalizeHost(host string) string {
	if strings.IndexByte(host, ':') >= 0 {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(host)
}

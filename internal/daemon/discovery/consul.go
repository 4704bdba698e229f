package discovery

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"sprucelane.example/sprucelane/policy"
)

// Consul identifies a service in a Consul agent's catalogue. Its fields are keys of the site file.
type Consul struct {
	Addr    string // host:port of the agent; required
	Service string // name of the service; required
	Tag     string // tag that instances must have; empty: any
	Token   string // ACL token; empty: none
}

// consulHealthEntry is an instance in an answer of /v1/health/service/.
type consulHealthEntry struct {
	Node    struct{ Node, Address, Datacenter string }
	Service struct {
		ID, Address string
		Port        int
		Meta        map[string]string
		Weights     struct{ Passing float64 }
	}
	Checks []struct{ Status string }
}

// consulCatalogEntry is an instance in an answer of /v1/catalog/service/, which has the same data in a flat structure
// and without checks.
type consulCatalogEntry struct {
	Node, Address, Datacenter, ServiceID, ServiceAddress string
	ServicePort                                          int
	ServiceMeta                                          map[string]string
	ServiceWeights                                       struct{ Passing float64 }
}

// consulMaxWait is the maximum time that an agent may take to answer a blocking query: Consul adds up to a sixteenth to
// the requested wait, to spread its clients.
const consulMaxWait = longPollWait*17/16 + longPollSlack

// WatchConsul follows a service with Consul's blocking queries until ctx ends. If the agent rejects the health endpoint
// or doesn't have it, WatchConsul queries the catalogue endpoint instead, which has no health checks, and vice versa.
//
// If the index goes back, the agent has lost its state, and the watch restarts at index 0, as Consul documents for
// blocking queries.
func WatchConsul(ctx context.Context, at Consul, backoff *Backoff, m *Membership) {
	c := &client{baseURL: "http://" + at.Addr, http: newHTTP(), token: at.Token}
	defer c.http.CloseIdleConnections()
	index, useCatalog := uint64(0), false
	for ctx.Err() == nil {
		var health []consulHealthEntry
		var catalog []consulCatalogEntry
		path, into := "/v1/health/service/", any(&health)
		if useCatalog {
			path, into = "/v1/catalog/service/", &catalog
		}
		start := time.Now()
		header, err := c.get(ctx, path+at.query(index), consulMaxWait, into)
		if err != nil {
			var status statusError
			if errors.As(err, &status) && (status == http.StatusNotFound || status == http.StatusForbidden) {
				useCatalog = !useCatalog
			}
			if ctx.Err() == nil {
				slog.Warn("consul_failed", "service", at.Service, "catalogue", useCatalog, "err", err)
			}
			index = 0 // so that the next call is answered at once, with the whole list
			m.RecordFailure(err)
			sleep(ctx, backoff.afterFailure(err, time.Since(start)))
			continue
		}
		next, err := strconv.ParseUint(header.Get("X-Consul-Index"), 10, 64)
		switch {
		case err != nil || next == 0:
			slog.Warn("consul_failed", "service", at.Service, "err", "no X-Consul-Index")
			index = 0
			sleep(ctx, backoff.afterUnreachable())
		case next == index: // the wait ended without a change
			m.RecordAnswer()
			backoff.reset()
			continue
		case next < index:
			index = 0
			backoff.reset()
		default:
			index = next
			backoff.reset()
		}
		m.RecordAnswer()
		m.Apply(policy.ListFull, consulInstances(health, catalog))
	}
}

// query returns the part of a URL with the service and the parameters of a blocking query for changes after an index.
func (at Consul) query(index uint64) string {
	q := url.Values{"index": {strconv.FormatUint(index, 10)}, "wait": {longPollWait.String()}}
	if at.Tag != "" {
		q.Set("tag", at.Tag)
	}
	return url.PathEscape(at.Service) + "?" + q.Encode()
}

// consulInstances returns the instances of an answer in the platform's format. One of the two lists is empty.
func consulInstances(health []consulHealthEntry, catalog []consulCatalogEntry) []Instance {
	list := make([]Instance, 0, len(health)+len(catalog))
	for _, h := range health {
		list = append(list, h.instance())
	}
	for _, c := range catalog {
		list = append(list, c.healthEntry().instance())
	}
	return list
}

// healthEntry converts the entry to the format of the health endpoint, without checks.
func (c consulCatalogEntry) healthEntry() (h consulHealthEntry) {
	h.Node.Node, h.Node.Address, h.Node.Datacenter = c.Node, c.Address, c.Datacenter
	h.Service.ID, h.Service.Address, h.Service.Port = c.ServiceID, c.ServiceAddress, c.ServicePort
	h.Service.Meta, h.Service.Weights = c.ServiceMeta, c.ServiceWeights
	return h
}

// instance converts the entry to the platform's format. An instance with a critical check or in maintenance mode gets
// the lifecycle draining, so that it gets no new requests.
func (h consulHealthEntry) instance() Instance {
	host := h.Service.Address
	if host == "" {
		host = h.Node.Address
	}
	in := Instance{
		ID:        h.Node.Node + "/" + h.Service.ID,
		Addr:      net.JoinHostPort(host, strconv.Itoa(h.Service.Port)),
		Zone:      h.Service.Meta["zone"],
		Kind:      h.Service.Meta["machine_type"],
		Lifecycle: "up",
		Weight:    max(1, h.Service.Weights.Passing),
	}
	if in.Zone == "" {
		in.Zone = h.Node.Datacenter
	}
	in.Cell, _ = strconv.Atoi(h.Service.Meta["cell"])
	in.StartedMs, _ = strconv.ParseInt(h.Service.Meta["started_at_ms"], 10, 64)
	for _, check := range h.Checks {
		if check.Status == "critical" || check.Status == "maintenance" {
			in.Lifecycle = "draining"
		}
	}
	return in
}

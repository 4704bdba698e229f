package configuration

import (
	"encoding/json"
	"fmt"
	"strings"

	"sprucelane.example/sprucelane/internal/node"
)

// checkItem checks one item as far as that is possible without the rest of the document.
func (p *parser) checkItem(value any, element span, path string) {
	switch value := value.(type) {
	case Route:
		p.checkRoute(&value, element, path)
	case Tenant:
		if value.RatePerSec < 0 {
			p.addf(path+".rate-per-s", element.offset, "must not be below 0")
		}
		if value.Burst < 0 {
			p.addf(path+".burst", element.offset, "must not be below 0")
		}
	}
}

// checkRoute checks the values of one route.
func (p *parser) checkRoute(route *Route, element span, path string) {
	if !strings.HasPrefix(route.PathPrefix, "/") || !strings.HasSuffix(route.PathPrefix, "/") {
		p.addf(path+".path-prefix", element.offset, "%q must begin and end with a slash", route.PathPrefix)
	}
	if route.Hostname == "" {
		p.addf(path+".hostname", element.offset, "is missing or empty")
	}
	if route.TimeoutMs < 0 || route.TimeoutMs == 0 && hasMember(element.raw, "timeout-ms") {
		p.addf(path+".timeout-ms", element.offset, "must be above 0")
	}
	if route.MaxAttempts < 0 {
		p.addf(path+".max-attempts", element.offset, "must not be below 0")
	}
	if route.MaxQueuedTokens < 0 || route.MaxQueuedTokens > maxQueuedTokensBound {
		p.addf(path+".max-queued-tokens", element.offset, "%d must be from 0 to %d",
			route.MaxQueuedTokens, int64(maxQueuedTokensBound))
	}
	p.checkWeights(route, element, path)
}

// maxQueuedTokensBound is the largest valid max-queued-tokens. Sums of such numbers stay far from overflowing an
// int64, and a float64, which JSON implementations use, represents them exactly.
const maxQueuedTokensBound = 1 << 50

// hasMember reports whether an object has a member with a key. It distinguishes an explicit zero from an absent
// member.
func hasMember(raw []byte, key string) bool {
	var members map[string]json.RawMessage
	if json.Unmarshal(raw, &members) != nil {
		return false
	}
	_, found := members[key]
	return found
}

// checkLimits checks the types of the values in the limits member.
func (p *parser) checkLimits(s span, path string) {
	var limits Limits
	if err := decode(s.raw, &limits); err != nil {
		p.addf(path, s.offset, "%s", describeDecodeError(err))
	}
}

// checkWeights checks that the weights of a traffic split aren't negative and that their sum is above 0.
func (p *parser) checkWeights(route *Route, element span, path string) {
	if len(route.TrafficSplit) == 0 {
		return
	}
	sum := 0.0
	for i, split := range route.TrafficSplit {
		if split.Weight < 0 {
			p.addf(fmt.Sprintf("%s.traffic-split[%d].weight", path, i), element.offset, "must not be below 0")
		}
		sum += split.Weight
	}
	if sum <= 0 {
		p.addf(path+".traffic-split", element.offset, "the weights add up to 0")
	}
}

// checkReferences checks the relations between the items of a document.
func checkReferences(document *Document, findings *node.Findings) {
	checkBackendReferences(document, findings)
	checkRouteConflicts(document, findings)
	checkSharedKeys(document, findings)
}

// checkBackendReferences finds routes without a backend and routes to a backend that isn't in the document.
func checkBackendReferences(document *Document, findings *node.Findings) {
	known := make(map[string]bool, len(document.Backends))
	for i := range document.Backends {
		known[document.Backends[i].Name] = true
	}
	for i := range document.Routes {
		route := &document.Routes[i]
		path := fmt.Sprintf("routes[%d] %q", i, route.Name)
		if route.Backend != "" && !known[route.Backend] {
			findings.Addf(path+".backend", "no service is named %q", route.Backend)
		}
		if route.Backend == "" && len(route.TrafficSplit) == 0 {
			findings.Addf(path+".backend", "the route names no service")
		}
		for j, split := range route.TrafficSplit {
			if !known[split.Backend] {
				findings.Addf(fmt.Sprintf("%s.traffic-split[%d].backend", path, j), "no service is named %q", split.Backend)
			}
		}
	}
}

// checkRouteConflicts finds routes with the same host and prefix as an earlier route.
func checkRouteConflicts(document *Document, findings *node.Findings) {
	type location struct{ host, prefix string }
	owners := make(map[location]string, len(document.Routes))
	for i := range document.Routes {
		route := &document.Routes[i]
		at := location{normalizeHost(route.Hostname), route.PathPrefix}
		if other, taken := owners[at]; taken {
			findings.Addf(fmt.Sprintf("routes[%d] %q", i, route.Name), "has the host and prefix of route %q", other)
			continue
		}
		owners[at] = route.Name
	}
}

// checkSharedKeys finds tenants that share an API key. The findings don't contain the key itself, because they are
// logged.
func checkSharedKeys(document *Document, findings *node.Findings) {
	owners := make(map[string]string, 2*len(document.Tenants))
	for i := range document.Tenants {
		tenant := &document.Tenants[i]
		for j, key := range tenant.APIKeys {
			if other, taken := owners[key]; taken && other != tenant.Name {
				path := fmt.Sprintf("tenants[%d] %q.api-keys[%d]", i, tenant.Name, j)
				findings.Addf(path, "is a key of tenant %q too", other)
				continue
			}
			owners[key] = tenant.Name
		}
	}
}

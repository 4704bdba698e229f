package subscription

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
)

const (
	stableKey       = "stable"
	volatile        = 4    // number of keys that are replaced, and of routes that are added and removed
	replacedShare   = 0.15 // fraction of the keys that a command replaces
	oldKeys         = 4    // number of a key's latest versions that clients still use
	commandInterval = 600 * time.Millisecond
	unknownKey      = "never"
	stableRoute     = "stable"
	openRoute       = "open"
)

// version is a proposed configuration, with its keys and routes.
type version struct {
	request    configuration.ChangeRequest
	keys       map[string]bool
	routes     map[string]bool
	proposedAt time.Duration
	ackedAt    time.Duration // when it was acknowledged; 0: not yet
}

// operatorModel records the commands that the operator sent and when they were acknowledged.
type operatorModel struct {
	versions  []*version
	numbers   [volatile]int // number of the newest key of each kind
	dueAt     time.Duration
	closed    bool // no more commands are sent
	replacing bool // the next command is the last one and replaces all keys
}

// next returns the operator's next command, if one is due.
func (o *operatorModel) next(h *harness) (configuration.ChangeRequest, bool) {
	now := h.Elapsed()
	if o.closed || now < o.dueAt || len(o.versions) > 0 && o.versions[len(o.versions)-1].ackedAt == 0 {
		return configuration.ChangeRequest{}, false
	}
	o.dueAt = now + h.span(2*commandInterval)
	share := replacedShare
	if o.replacing {
		o.closed, share = true, 1
	}
	proposed := &version{proposedAt: now, keys: map[string]bool{stableKey: true}, routes: map[string]bool{stableRoute: true, openRoute: true}}
	for i := range volatile {
		if h.random.Chance(share) {
			o.numbers[i]++
		}
		proposed.keys[keyName(i, o.numbers[i])] = true
		proposed.routes[fmt.Sprint("open-", i)] = h.random.Chance(0.6)
	}
	generation := uint64(len(o.versions))
	proposed.request = configuration.ChangeRequest{IfMatch: generation, Body: body(proposed.document(generation + 1))}
	o.versions = append(o.versions, proposed)
	return proposed.request, true
}

// replaceAll makes the next command the last one, sent at a given time, and has it replace all keys.
func (o *operatorModel) replaceAll(at time.Duration) { o.dueAt, o.replacing = at, true }

func (v *version) document(generation uint64) configuration.Document {
	d := configuration.Document{Generation: generation, Backends: []configuration.Backend{{Name: "b"}}}
	tenant := configuration.Tenant{Name: "t"}
	tenant.APIKeys = slices.Sorted(maps.Keys(v.keys))
	d.Tenants = []configuration.Tenant{tenant}
	for _, name := range routeNames() {
		if v.routes[name] {
			d.Routes = append(d.Routes, configuration.Route{Name: name, Hostname: "h", PathPrefix: "/" + name + "/", Type: configuration.RouteSafe,
				TimeoutMs: 1000, Backend: "b", MaxAttempts: 1, Public: name != stableRoute})
		}
	}
	return d
}

func keyName(kind, number int) string { return fmt.Sprintf("key-%d-%d", kind, number) }

// randomKey returns one of the newest keys or of those that were removed recently. With replaceAll it returns one
// of the keys before the last command.
func (o *operatorModel) randomKey(h *harness) string {
	kind := h.random.IntN(volatile)
	if o.replacing {
		return keyName(kind, o.replacedNumber(kind))
	}
	return keyName(kind, max(0, o.numbers[kind]-h.random.IntN(oldKeys)))
}

// replacedNumber returns the number of the key of a kind before the last command replaced all keys.
func (o *operatorModel) replacedNumber(kind int) int {
	if o.closed {
		return o.numbers[kind] - 1
	}
	return o.numbers[kind]
}

func routeNames() []string {
	list := []string{stableRoute, openRoute}
	for i := range volatile {
		list = append(list, fmt.Sprint("open-", i))
	}
	return list
}

func (o *operatorModel) acknowledged(index int, at time.Duration) { o.versions[index-1].ackedAt = at }

// removedAt returns the time since which a key is in no configuration that may be in force, which is when the
// configuration that removed it was acknowledged. It returns 0 if the key may be in force.
func (o *operatorModel) removedAt(key string) time.Duration {
	for i := len(o.versions) - 1; i >= 0; i-- {
		if o.versions[i].keys[key] {
			if i == len(o.versions)-1 {
				return 0
			}
			return o.versions[i+1].ackedAt
		}
	}
	return time.Nanosecond
}

// mayLack reports whether a configuration that may have been in force at the time since or later lacks a key or
// a route.
func (o *operatorModel) mayLack(since time.Duration, lacks func(*version) bool) bool {
	for i, proposed := range o.versions {
		replaced := i+1 < len(o.versions) && o.versions[i+1].ackedAt > 0 && o.versions[i+1].ackedAt+configApply < since
		if !replaced && lacks(proposed) {
			return true
		}
	}
	return len(o.versions) == 0 || o.versions[0].ackedAt == 0 || o.versions[0].ackedAt+configApply >= since
}

// checkConfirmation checks a control process's confirmation: everything that was acknowledged longer than age
// ago must have been applied there.
func (o *operatorModel) checkConfirmation(h *harness, c *simControl, age time.Duration, fresh bool) {
	if !fresh || h.bug != noBug {
		return // the checks at the gateways must detect an injected bug
	}
	for i, version := range o.versions {
		if version.ackedAt > 0 && version.ackedAt < h.Elapsed()-age && c.applied <= i {
			h.failf("%s confirms everything up to %v ago, but has not applied command %d, acknowledged at %v", c.name, age, i+1, version.ackedAt)
		}
	}
}

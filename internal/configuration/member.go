package configuration

import (
	"bytes"
	"encoding/json"
	"slices"
)

// Keys of the members of a document and of a patch that this package interprets. All other members are kept as
// received.
const (
	memberGeneration = "generation"
	memberRoutes     = "routes"
	memberBackends   = "backends"
	memberLimits     = "limits"
	memberTenants    = "tenants"
	memberUpsert     = "upsert" // of a patch
	memberDelete     = "delete" // of a patch
)

// member is one member of a document: a list of named items, or any other value. It is immutable.
type member struct {
	key   string
	list  bool
	items []item          // of a list of named items
	raw   json.RawMessage // of any other value
}

// item is a named element of a list: its bytes as received, and its value.
type item struct {
	name  string
	raw   json.RawMessage
	value any // Route, Backend or Tenant; nil in lists that this package doesn't interpret
}

// isTypedList reports whether a member with a key is a list whose items are decoded.
func isTypedList(key string) bool {
	return key == memberRoutes || key == memberBackends || key == memberTenants
}

// put sets a member. A list of items is merged into the existing list with the same key.
func (v *Version) put(m member) {
	at := slices.IndexFunc(v.members, func(other member) bool { return other.key == m.key })
	switch {
	case at < 0:
		v.members = append(v.members, m)
	case m.list && v.members[at].list:
		v.members[at] = member{key: m.key, list: true, items: mergeItems(v.members[at].items, m.items)}
	default:
		v.members[at] = m
	}
}

// mergeItems returns the old items with items of the same name replaced in place and new ones appended. Neither list
// is modified.
func mergeItems(old, changed []item) []item {
	positions := make(map[string]int, len(old))
	for i := range old {
		positions[old[i].name] = i
	}
	merged := slices.Clone(old)
	for _, one := range changed {
		if at, found := positions[one.name]; found {
			merged[at] = one
			continue
		}
		positions[one.name] = len(merged)
		merged = append(merged, one)
	}
	return merged
}

// remove removes items from a list by name. Names that aren't in it are ignored.
func (v *Version) remove(key string, names []string) {
	at := slices.IndexFunc(v.members, func(other member) bool { return other.key == key && other.list })
	if at < 0 || len(names) == 0 {
		return
	}
	removed := make(map[string]bool, len(names))
	for _, name := range names {
		removed[name] = true
	}
	kept := make([]item, 0, len(v.members[at].items))
	for _, one := range v.members[at].items {
		if !removed[one.name] {
			kept = append(kept, one)
		}
	}
	v.members[at] = member{key: key, list: true, items: kept}
}

// renderMembers returns a document as JSON. Items have exactly the bytes that were received.
func renderMembers(members []member) []byte {
	var out bytes.Buffer
	out.WriteByte('{')
	for i, one := range members {
		if i > 0 {
			out.WriteByte(',')
		}
		key, _ := json.Marshal(one.key) // a string can always be marshaled
		out.Write(key)
		out.WriteByte(':')
		if !one.list {
			out.Write(one.raw)
			continue
		}
		renderItems(&out, one.items)
	}
	out.WriteByte('}')
	return out.Bytes()
}

// renderItems writes a list of items as a JSON array.
func renderItems(out *bytes.Buffer, items []item) {
	out.WriteByte('[')
	for i, one := range items {
		if i > 0 {
			out.WriteByte(',')
		}
		out.Write(one.raw)
	}
	out.WriteByte(']')
}

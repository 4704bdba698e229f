package configuration

import (
	"encoding/json"
	"slices"

	"sprucelane.example/sprucelane/internal/node"
)

// Patch is a read PATCH: items to remove and items to put in by their names. Removals come first, so that an item that
// stands in both is there afterwards; a name to remove that isn't there is passed over.
type Patch struct {
	Generation uint64
	upserts    []member
	deletes    map[string][]string // member to names
}

// ParsePatch reads a PATCH and checks what can be told of it alone. The error is of type node.Findings.
func ParsePatch(body []byte) (*Patch, error) {
	p := &parser{text: body}
	spans, ok := p.object()
	if !ok {
		return nil, p.findings
	}
	patch := &Patch{Generation: p.generation(spans), deletes: map[string][]string{}}
	for _, one := range spans {
		switch one.key {
		case memberUpsert:
			p.upserts(one, patch)
		case memberDelete:
			p.deletes(one, patch)
		case memberLimits:
			patch.upserts = append(patch.upserts, p.member(one))
		}
	}
	if err := p.findings.OrNil(); err != nil {
		return nil, err
	}
	return patch, nil
}

func (p *parser) upserts(one span, patch *Patch) {
	members, isObject := splitObject(one.raw, one.offset)
	if !isObject {
		p.addf(memberUpsert, one.offset, "must be an object of lists")
		return
	}
	p.checkDuplicates(members)
	for _, list := range members {
		switch {
		case typedList(list.key):
			items := p.items(list, memberUpsert+"."+list.key)
			patch.upserts = append(patch.upserts, member{key: list.key, list: true, items: items})
		case list.key == memberGeneration:
			p.addf(memberUpsert+"."+list.key, list.offset, "stands beside upsert, not in it")
		default:
			patch.upserts = append(patch.upserts, p.otherMember(list))
		}
	}
}

func (p *parser) deletes(one span, patch *Patch) {
	members, isObject := splitObject(one.raw, one.offset)
	if !isObject {
		p.addf(memberDelete, one.offset, "must be an object of lists of names")
		return
	}
	for _, list := range members {
		var names []string
		if err := json.Unmarshal(list.raw, &names); err != nil {
			p.addf(memberDelete+"."+list.key, list.offset, "must be a list of names")
			continue
		}
		patch.deletes[list.key] = append(patch.deletes[list.key], names...)
	}
}

// Apply gives the version that a patch makes of this one. The error is of type node.Findings.
func (v *Version) Apply(patch *Patch, index uint64) (*Version, error) {
	next := &Version{Generation: patch.Generation, Index: index, members: slices.Clone(v.members)}
	next.put(generationMember(patch.Generation))
	for key, names := range patch.deletes {
		next.remove(key, names)
	}
	for _, one := range patch.upserts {
		next.put(one)
	}
	return next.finish(&node.Findings{})
}

// put sets a member, or merges a list into the one that is there.
func (v *Version) put(one member) {
	at := slices.IndexFunc(v.members, func(other member) bool { return other.key == one.key })
	switch {
	case at < 0:
		v.members = append(v.members, one)
	case one.list && v.members[at].list:
		v.members[at] = member{key: one.key, list: true, items: mergeItems(v.members[at].items, one.items)}
	default:
		v.members[at] = one
	}
}

// mergeItems replaces items in their places and appends new ones. Neither list is changed.
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

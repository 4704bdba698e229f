package configuration

import (
	"encoding/json"
	"slices"

	"sprucelane.example/sprucelane/internal/node"
)

// Patch is a parsed PATCH: items to remove and items to add or replace, by name. Removals are applied first, so an
// item that is both removed and added is present afterwards. Names to remove that don't exist are ignored.
type Patch struct {
	Generation uint64
	upserts    []member
	deletes    map[string][]string // names of the items to remove, by key of the member
}

// ParsePatch parses a PATCH and checks it as far as that is possible without the version that it applies to. The
// error is of type node.Findings.
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

// upserts parses the member with the items to add or replace.
func (p *parser) upserts(one span, patch *Patch) {
	members, isObject := splitObject(one.raw, one.offset)
	if !isObject {
		p.addf(memberUpsert, one.offset, "must be an object of lists")
		return
	}
	p.checkDuplicates(members)
	for _, list := range members {
		switch {
		case isTypedList(list.key):
			items := p.items(list, memberUpsert+"."+list.key)
			patch.upserts = append(patch.upserts, member{key: list.key, list: true, items: items})
		case list.key == memberGeneration:
			p.addf(memberUpsert+"."+list.key, list.offset, "stands beside upsert, not in it")
		default:
			patch.upserts = append(patch.upserts, p.otherMember(list))
		}
	}
}

// deletes parses the member with the names of items to remove.
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

// Apply returns the version that results from applying a patch to this one, which isn't modified. The error is of
// type node.Findings.
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

package configuration

import (
	"slices"
	"strconv"

	"sprucelane.example/sprucelane/internal/node"
)

// Version is one version of the configuration. It is immutable and safe to share. Versions share the items that they
// have in common.
type Version struct {
	Generation uint64 // version number assigned by the operator; 0: the empty version before the first
	Index      uint64 // index in the replicated log of the change request that created it; 0: the empty version
	members    []member
	document   Document // decoded from members
}

// JSON returns the whole document. Its items are as the operator sent them, including members that this program
// doesn't know.
func (v *Version) JSON() []byte { return renderMembers(v.members) }

// Document returns the typed content. The caller must not modify the values that it refers to.
func (v *Version) Document() Document { return v.document }

// Snapshot returns the version with the indexes that requests are routed by.
func (v *Version) Snapshot() *Snapshot { return NewSnapshot(v.document, v.Index) }

// next returns the version that results from changing this one by body, which is a patch or a whole document. The
// error is of type node.Findings.
func (v *Version) next(index uint64, patch bool, body []byte) (*Version, error) {
	if !patch {
		return ParseDocument(body, index)
	}
	parsed, err := ParsePatch(body)
	if err != nil {
		return nil, err
	}
	if v.Generation == 0 {
		return nil, node.Findings{{Place: "If-Match", Text: "there is no configuration to change yet"}}
	}
	return v.Apply(parsed, index)
}

// ParseDocument parses and validates a whole document. The error is of type node.Findings.
func ParseDocument(body []byte, index uint64) (*Version, error) {
	p := &parser{text: body}
	spans, ok := p.object()
	if !ok {
		return nil, p.findings
	}
	version := &Version{Generation: p.generation(spans), Index: index, members: make([]member, 0, len(spans))}
	for _, span := range spans {
		version.members = append(version.members, p.member(span))
	}
	p.checkRequiredLists(spans)
	return version.finish(&p.findings)
}

// checkRequiredLists checks that the lists that every document must contain are present.
func (p *parser) checkRequiredLists(spans []span) {
	for _, key := range []string{memberRoutes, memberBackends} {
		if !slices.ContainsFunc(spans, func(s span) bool { return s.key == key }) {
			p.findings.Addf(key, "is missing")
		}
	}
}

// finish decodes the members into the typed document and validates it as a whole. It adds to findings. If there are
// any findings, also earlier ones, they are the error.
func (v *Version) finish(findings *node.Findings) (*Version, error) {
	v.document = Document{Generation: v.Generation}
	for _, one := range v.members {
		v.document.decodeMember(one)
	}
	checkReferences(&v.document, findings)
	if err := findings.OrNil(); err != nil {
		return nil, err
	}
	return v, nil
}

// decodeMember adds a member to the typed document.
func (d *Document) decodeMember(m member) {
	if m.key == memberLimits && !m.list {
		_ = decode(m.raw, &d.Limits) // an error was reported when the member was parsed
		return
	}
	for i := range m.items {
		switch value := m.items[i].value.(type) {
		case Route:
			d.Routes = append(d.Routes, value)
		case Backend:
			d.Backends = append(d.Backends, value)
		case Tenant:
			d.Tenants = append(d.Tenants, value)
		}
	}
}

// generationMember returns the member with the version number.
func generationMember(generation uint64) member {
	return member{key: memberGeneration, raw: strconv.AppendUint(nil, generation, 10)}
}

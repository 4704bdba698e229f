package configuration

import (
	"strconv"

	"sprucelane.example/sprucelane/internal/node"
)

// Version is one version of the configuration: what the operator sent, item by item, and what was read of it. Nobody changes
// it, so that it may be shared.
type Version struct {
	Generation uint64
	Index      uint64 // of the order that made it, in the chain; 0: the empty version before the first
	members    []member
	document   Document
}

// JSON gives the whole document. Items are as the operator sent them, unknown members included.
func (v *Version) JSON() []byte { return renderMembers(v.members) }

// Document gives what was read. The caller doesn't change it.
func (v *Version) Document() Document { return v.document }

// Snapshot gives what requests are routed by.
func (v *Version) Snapshot() *Snapshot { return NewSnapshot(v.document, v.Index) }

// ParseDocument reads a whole document and checks it. The error is of type node.Findings.
func ParseDocument(body []byte, index uint64) (*Version, error) {
	p := &parser{text: body}
	spans, ok := p.object()
	if !ok {
		return nil, p.findings
	}
	version := &Version{Generation: p.generation(spans), Index: index, members: make([]member, 0, len(spans))}
	for _, one := range spans {
		version.members = append(version.members, p.member(one))
	}
	p.checkRequiredLists(spans)
	return version.finish(&p.findings)
}

// requireLists holds a whole document to having what a document can't be without.
func (p *parser) checkRequiredLists(spans []span) {
	for _, key := range []string{memberRoutes, memberBackends} {
		if !hasSpan(spans, key) {
			p.findings.Addf(key, "is missing")
		}
	}
}

func hasSpan(spans []span, key string) bool {
	for _, one := range spans {
		if one.key == key {
			return true
		}
	}
	return false
}

// finish fills in what is read from the members, and checks across them.
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

func (d *Document) decodeMember(one member) {
	if one.key == memberLimits && !one.list {
		_ = decode(one.raw, &d.Limits) // checked when it was read
		return
	}
	for i := range one.items {
		switch value := one.items[i].value.(type) {
		case Route:
			d.Routes = append(d.Routes, value)
		case Backend:
			d.Backends = append(d.Backends, value)
		case Tenant:
			d.Tenants = append(d.Tenants, value)
		}
	}
}

func generationMember(generation uint64) member {
	return member{key: memberGeneration, raw: strconv.AppendUint(nil, generation, 10)}
}

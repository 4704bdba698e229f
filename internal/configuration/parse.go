package configuration

import (
	"encoding/json"
	"fmt"
	"strconv"

	"sprucelane.example/sprucelane/internal/node"
)

// parser parses one text, a document or a patch, and collects all errors in it as findings.
type parser struct {
	text     []byte
	findings node.Findings
}

// addf adds a finding at a path in the document, with the line and column of an offset in the text.
func (p *parser) addf(path string, offset int, format string, values ...any) {
	p.findings.Addf(path+" ("+position(p.text, offset)+")", format, values...)
}

// object splits the text's outermost object into its members. It returns false if the text isn't a JSON object.
func (p *parser) object() ([]span, bool) {
	if !checkSyntax(p.text, &p.findings) {
		return nil, false
	}
	members, isObject := splitObject(p.text, 0)
	if !isObject {
		p.findings.Addf(position(p.text, skipSpace(p.text, 0)), "must be an object")
		return nil, false
	}
	p.checkDuplicates(members)
	return members, true
}

// checkDuplicates adds a finding for each repeated key, because JSON implementations differ in which of the members
// they take.
func (p *parser) checkDuplicates(members []span) {
	seen := make(map[string]bool, len(members))
	for _, one := range members {
		if seen[one.key] {
			p.addf(one.key, one.offset, "stands twice")
		}
		seen[one.key] = true
	}
}

// generation parses the member with the version number.
func (p *parser) generation(members []span) uint64 {
	for _, one := range members {
		if one.key != memberGeneration {
			continue
		}
		number, ok := parseWholeNumber(one.raw)
		if !ok {
			p.addf(memberGeneration, one.offset, "must be a whole number above 0")
		}
		return number
	}
	p.findings.Addf(memberGeneration, "is missing")
	return 0
}

// member parses one member of a document.
func (p *parser) member(s span) member {
	if !isTypedList(s.key) {
		return p.otherMember(s)
	}
	return member{key: s.key, list: true, items: p.items(s, s.key)}
}

// otherMember parses a member that isn't a typed list. A list of named objects becomes a list of items, so that it
// can be patched by name although its items aren't interpreted.
func (p *parser) otherMember(s span) member {
	if s.key == memberLimits {
		p.checkLimits(s, memberLimits)
	}
	if elements, isArray := splitArray(s.raw, s.offset); isArray && len(elements) > 0 {
		if items, named := namedItems(elements); named {
			return member{key: s.key, list: true, items: items}
		}
	}
	return member{key: s.key, raw: s.raw}
}

// namedItems converts elements to items. It returns false unless all elements have a name.
func namedItems(elements []span) ([]item, bool) {
	items := make([]item, 0, len(elements))
	for _, element := range elements {
		name, found := itemName(element)
		if !found {
			return nil, false
		}
		items = append(items, item{name: name, raw: element.raw})
	}
	return items, true
}

// itemName returns the name of an element, or false if the element isn't an object or has no name.
func itemName(element span) (string, bool) {
	members, isObject := splitObject(element.raw, element.offset)
	if !isObject {
		return "", false
	}
	for _, one := range members {
		if one.key == "name" {
			var name string
			err := json.Unmarshal(one.raw, &name)
			return name, err == nil && name != ""
		}
	}
	return "", false
}

// items parses a list of routes, backends or tenants.
func (p *parser) items(list span, path string) []item {
	elements, isArray := splitArray(list.raw, list.offset)
	if !isArray {
		p.addf(path, list.offset, "must be a list")
		return nil
	}
	items := make([]item, 0, len(elements))
	seen := make(map[string]int, len(elements))
	for i, element := range elements {
		one, ok := p.item(list.key, element, fmt.Sprintf("%s[%d]", path, i))
		if !ok {
			continue
		}
		if first, duplicate := seen[one.name]; duplicate {
			p.addf(fmt.Sprintf("%s[%d].name", path, i), element.offset, "%q stands at %s[%d] already", one.name, path, first)
		}
		seen[one.name] = i
		items = append(items, one)
	}
	return items
}

// item parses and checks one element of a typed list. It returns false if the element has no name or wrong types.
func (p *parser) item(list string, element span, path string) (item, bool) {
	name, found := itemName(element)
	if !found {
		p.addf(path, element.offset, "must be an object with a name")
		return item{}, false
	}
	value, err := decodeItem(list, element.raw)
	if err != nil {
		p.addf(path+" "+strconv.Quote(name), element.offset, "%s", describeDecodeError(err))
		return item{}, false
	}
	p.checkItem(value, element, path+" "+strconv.Quote(name))
	return item{name: name, raw: element.raw, value: value}, true
}

package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"

	"sprucelane.example/sprucelane/internal/node"
)

// The members of a document that have a meaning here. All others are kept as they came.
const (
	memberGeneration = "generation"
	memberRoutes     = "routes"
	memberBackends   = "backends"
	memberLimits     = "limits"
	memberTenants    = "tenants"
	memberUpsert     = "upsert"
	memberDelete     = "delete"
)

// member is one of a document's members, in the order in which they came. Nobody changes it.
type member struct {
	key   string
	raw   json.RawMessage // of what is no list of named items
	items []item          // of a list of named items
	list  bool
}

// item is one named element of a list, kept as it came beside what was read of it.
type item struct {
	name  string
	raw   json.RawMessage
	value any // Route, Backend or Tenant; nil in lists that have no meaning here
}

// typedLists tells which members are lists whose items are read.
func typedList(key string) bool {
	return key == memberRoutes || key == memberBackends || key == memberTenants
}

// parser reads one text and collects what is wrong with it.
type parser struct {
	text     []byte
	findings node.Findings
}

// addf adds a finding whose place is a path in the document and its line and column.
func (p *parser) addf(path string, offset int, format string, values ...any) {
	p.findings.Addf(path+" ("+position(p.text, offset)+")", format, values...)
}

// object splits the text's outermost object.
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

func (p *parser) checkDuplicates(members []span) {
	seen := make(map[string]bool, len(members))
	for _, one := range members {
		if seen[one.key] {
			p.addf(one.key, one.offset, "stands twice")
		}
		seen[one.key] = true
	}
}

// generation reads the number of a version.
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

func parseWholeNumber(raw []byte) (uint64, bool) {
	if number, err := strconv.ParseUint(string(raw), 10, 64); err == nil {
		return number, number > 0
	}
	number, err := strconv.ParseFloat(string(raw), 64)
	if err != nil || number != math.Trunc(number) || !(number >= 1 && number < 1<<53) {
		return 0, false
	}
	return uint64(number), true
}

// member reads one member of a whole document.
func (p *parser) member(one span) member {
	if !typedList(one.key) {
		return p.otherMember(one)
	}
	return member{key: one.key, list: true, items: p.items(one, one.key)}
}

// otherMember keeps a member without a meaning here; a list of named objects can still be patched by name.
func (p *parser) otherMember(one span) member {
	if one.key == memberLimits {
		p.checkLimits(one, memberLimits)
	}
	if elements, isArray := splitArray(one.raw, one.offset); isArray && len(elements) > 0 {
		if items, named := namedItems(elements); named {
			return member{key: one.key, list: true, items: items}
		}
	}
	return member{key: one.key, raw: one.raw}
}

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

func (p *parser) checkLimits(one span, path string) {
	var limits Limits
	if err := decode(one.raw, &limits); err != nil {
		p.addf(path, one.offset, "%s", describeDecodeError(err))
	}
}

// items reads a list of routes, backends or tenants.
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
		if first, twice := seen[one.name]; twice {
			p.addf(fmt.Sprintf("%s[%d].name", path, i), element.offset, "%q stands at %s[%d] already", one.name, path, first)
		}
		seen[one.name] = i
		items = append(items, one)
	}
	return items
}

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

func decodeItem(list string, raw []byte) (any, error) {
	switch list {
	case memberRoutes:
		var route Route
		err := decode(raw, &route)
		return route, err
	case memberBackends:
		var backend Backend
		err := decode(raw, &backend)
		return backend, err
	default:
		var tenant Tenant
		err := decode(raw, &tenant)
		return tenant, err
	}
}

// decode reads a value. Whole numbers may be written with a fraction of zero, as JSON knows one kind of number only.
func decode(raw []byte, into any) error {
	err := json.Unmarshal(raw, into)
	if err == nil {
		return nil
	}
	var loose any
	if json.Unmarshal(raw, &loose) != nil {
		return err
	}
	plain, marshalError := json.Marshal(loose)
	if marshalError != nil || json.Unmarshal(plain, into) != nil {
		return err
	}
	return nil
}

func describeDecodeError(err error) string {
	if wrong, ok := err.(*json.UnmarshalTypeError); ok && wrong.Field != "" {
		return fmt.Sprintf("%s: is a %s, but must be a %s", wrong.Field, wrong.Value, typeDescription(wrong.Type.Kind().String()))
	}
	return err.Error()
}

func typeDescription(kind string) string {
	switch kind {
	case "int", "int64", "uint64":
		return "whole number"
	case "float64":
		return "number"
	case "bool":
		return "true or false"
	case "slice":
		return "list"
	case "struct":
		return "object"
	}
	return kind
}

// renderMembers writes a document out: known items exactly as they came.
func renderMembers(members []member) []byte {
	var out bytes.Buffer
	out.WriteByte('{')
	for i, one := range members {
		if i > 0 {
			out.WriteByte(',')
		}
		key, _ := json.Marshal(one.key) // a string always has a form in JSON
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

package transport

import (
	"encoding/gob"
	"fmt"
	"maps"
	"reflect"
	"sync"
	"sync/atomic"
)

// registry is an immutable table of the types that may be sent, by type and by name on the wire.
type registry struct {
	names map[reflect.Type]string
	types map[string]reflect.Type
}

var (
	// registered is the current table. Encoders and decoders read it without a lock; each change replaces it
	// as a whole.
	registered atomic.Pointer[registry]
	// registeredMutex serializes the replacements of registered.
	registeredMutex sync.Mutex
)

func init() {
	registered.Store(&registry{names: map[reflect.Type]string{}, types: map[string]reflect.Type{}})
	RegisterNamed(NamedType{Name: "sprucelane.example/sprucelane/coord/transport.RemoteError", Sample: RemoteError{}})
}

// NamedType is a message type with its name on the wire.
type NamedType struct {
	// Name is part of the wire format and must not change when the type is renamed or moved. It has at most
	// 512 bytes.
	Name string
	// Sample is any value of the type.
	Sample any
}

// RegisterNamed registers message types under explicit names, and also registers them with gob as values of
// interface fields. Both sides must have registered a type under the same name before it is sent. It may be
// called again with the same types and names, and panics if a name is registered for another type or a type
// under another name.
func RegisterNamed(types ...NamedType) {
	registeredMutex.Lock()
	defer registeredMutex.Unlock()
	next := registered.Load().clone()
	for _, named := range types {
		gob.RegisterName(named.Name, named.Sample)
		next.add(named.Name, reflect.TypeOf(named.Sample))
	}
	registered.Store(next)
}

// Register registers the types of the values as RegisterNamed does, each under its import path and name. Use it
// only for messages that are never exchanged with another version of the program, in which a type may have been
// renamed or moved.
func Register(values ...any) {
	types := make([]NamedType, 0, len(values))
	for _, value := range values {
		types = append(types, NamedType{Name: typeName(reflect.TypeOf(value)), Sample: value})
	}
	RegisterNamed(types...)
}

// clone returns a copy that the caller may change.
func (r *registry) clone() *registry {
	return &registry{names: maps.Clone(r.names), types: maps.Clone(r.types)}
}

// add adds a type under its name on the wire. It panics if the name is registered for another type.
func (r *registry) add(name string, typ reflect.Type) {
	if other, taken := r.types[name]; taken && other != typ {
		panic(fmt.Sprintf("transport: %s is registered for two types", name))
	}
	r.names[typ] = name
	r.types[name] = typ
}

// typeName returns the import path and name of a type.
func typeName(typ reflect.Type) string {
	if typ.Kind() == reflect.Pointer {
		return "*" + typeName(typ.Elem())
	}
	if typ.Name() == "" || typ.PkgPath() == "" {
		return typ.String()
	}
	return typ.PkgPath() + "." + typ.Name()
}

// isEmpty reports whether a type is a struct without fields, which gob can't encode and which needs no bytes.
func isEmpty(typ reflect.Type) bool {
	return typ.Kind() == reflect.Struct && typ.NumField() == 0
}

package transport

import (
	"encoding/gob"
	"fmt"
	"reflect"
	"sync"
	"sync/atomic"
)

// registry is an immutable table of the types that may be sent.
type registry struct {
	names map[reflect.Type]string
	types map[string]reflect.Type
}

var (
	registered      atomic.Pointer[registry]
	registeredMutex sync.Mutex
)

func init() {
	registered.Store(&registry{names: map[reflect.Type]string{}, types: map[string]reflect.Type{}})
	Register(RemoteError{})
}

// Register makes the types of the values known as messages, and to gob as values of interface fields. It may be
// called again with the same types. Both sides must have registered a type before it is sent.
func Register(values ...any) {
	registeredMutex.Lock()
	defer registeredMutex.Unlock()
	old := registered.Load()
	next := &registry{names: make(map[reflect.Type]string), types: make(map[string]reflect.Type)}
	for kind, name := range old.names {
		next.names[kind] = name
		next.types[name] = kind
	}
	for _, value := range values {
		gob.Register(value)
		kind := reflect.TypeOf(value)
		name := typeName(kind)
		if other, taken := next.types[name]; taken && other != kind {
			panic(fmt.Sprintf("transport: %s is registered for two types", name))
		}
		next.names[kind] = name
		next.types[name] = kind
	}
	registered.Store(next)
}

// typeName returns the name of a type on the wire: its import path and name.
func typeName(kind reflect.Type) string {
	if kind.Kind() == reflect.Pointer {
		return "*" + typeName(kind.Elem())
	}
	if kind.Name() == "" || kind.PkgPath() == "" {
		return kind.String()
	}
	return kind.PkgPath() + "." + kind.Name()
}

// isEmpty tells whether a type is a struct without fields, which gob can't encode and which needs no bytes.
func isEmpty(kind reflect.Type) bool {
	return kind.Kind() == reflect.Struct && kind.NumField() == 0
}

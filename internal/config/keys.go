package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// This file finds out what a new configuration lacks that the one in force has. A key that is left out has a default at
// the start; in a file that replaces another it is far more likely lost.

// keys gives the keys of a JSON value that the program reads, as paths; of a list's entries those that all of them have.
func keyPaths(value any, as reflect.Type) (paths []string) {
	switch as.Kind() {
	case reflect.Pointer:
		return keyPaths(value, as.Elem())
	case reflect.Slice:
		list, _ := value.([]any)
		for i, entry := range list {
			of := keyPaths(entry, as.Elem())
			if i == 0 {
				paths = of
			}
			paths = slices.DeleteFunc(paths, func(p string) bool { return !slices.Contains(of, p) })
		}
		for i := range paths {
			paths[i] = "[]" + paths[i]
		}
	case reflect.Struct:
		object, _ := value.(map[string]any)
		for i := range as.NumField() {
			name, _, _ := strings.Cut(as.Field(i).Tag.Get("json"), ",")
			inner := object[name]
			if inner == nil {
				continue
			}
			paths = append(paths, "."+name)
			for _, p := range keyPaths(inner, as.Field(i).Type) {
				paths = append(paths, "."+name+p)
			}
		}
	}
	return paths
}

// keysOf gives the keys of a configuration file. Its settings are a form of their own, and what is known of the pool is not
// what somebody sets.
func fileKeys(text []byte) (paths []string) {
	var value map[string]any
	if json.Unmarshal(text, &value) != nil {
		return nil
	}
	for _, p := range append(keyPaths(value, reflect.TypeFor[platformFile]()), keyPaths(map[string]any{"settings": value["settings"]},
		reflect.TypeFor[struct {
			Settings settingsJSON `json:"settings"`
		}]())...) {
		if p = p[1:]; !strings.HasPrefix(p, "known.") && !slices.Contains(paths, p) {
			paths = append(paths, p)
		}
	}
	return paths
}

// lacks names the keys that a file in force has and its replacement hasn't, without those below one that is named.
func missingKeys(old, next []string) (faults []error) {
	var named []string
	for _, p := range old {
		below := func(n string) bool { return strings.HasPrefix(p, n+".") || strings.HasPrefix(p, n+"[") }
		if !slices.Contains(next, p) && !slices.ContainsFunc(named, below) {
			named = append(named, p)
			faults = append(faults, fmt.Errorf("%s: missing, though the configuration in force has it", p))
		}
	}
	return faults
}

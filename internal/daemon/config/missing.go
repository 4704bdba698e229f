package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// When a process starts, a key that is left out has its default. In a file that replaces the one in force, a missing
// key is far more likely a truncated file or a mistake in editing, so Reload rejects it.

// keyPaths returns the paths of the keys in a decoded JSON value that the type as reads, such as ".limits.cores" or
// ".peers[]". Of the entries of a list it returns the keys that all of them have.
func keyPaths(value any, as reflect.Type) (paths []string) {
	switch as.Kind() {
	case reflect.Pointer:
		return keyPaths(value, as.Elem())
	case reflect.Slice:
		list, _ := value.([]any)
		for i, entry := range list {
			ofEntry := keyPaths(entry, as.Elem())
			if i == 0 {
				paths = ofEntry
			}
			paths = slices.DeleteFunc(paths, func(p string) bool { return !slices.Contains(ofEntry, p) })
		}
		for i := range paths {
			paths[i] = "[]" + paths[i]
		}
	case reflect.Struct:
		object, _ := value.(map[string]any)
		for i := range as.NumField() {
			name, _, _ := strings.Cut(as.Field(i).Tag.Get("json"), ",")
			member := object[name]
			if member == nil {
				continue
			}
			paths = append(paths, "."+name)
			for _, p := range keyPaths(member, as.Field(i).Type) {
				paths = append(paths, "."+name+p)
			}
		}
	}
	return paths
}

// fileKeys returns the paths of the keys in a platform's file; nil if it isn't JSON. What is below the key known is
// left out: it is a cache of the platform, and nobody sets it.
func fileKeys(text []byte) (paths []string) {
	var value map[string]any
	if json.Unmarshal(text, &value) != nil {
		return nil
	}
	// platformFile leaves the settings undecoded, so they are read by their own type.
	settings := map[string]any{"settings": value["settings"]}
	settingsType := reflect.TypeFor[struct {
		Settings settingsJSON `json:"settings"`
	}]()
	all := append(keyPaths(value, reflect.TypeFor[platformFile]()), keyPaths(settings, settingsType)...)
	for _, p := range all {
		if p = p[1:]; !strings.HasPrefix(p, "known.") && !slices.Contains(paths, p) {
			paths = append(paths, p)
		}
	}
	return paths
}

// missingKeys returns an error for each key that the file in force has and its replacement lacks, but none for the keys
// below one that is missing itself.
func missingKeys(inForce, next []string) (errs []error) {
	var missing []string
	for _, p := range inForce {
		isBelow := func(parent string) bool { return strings.HasPrefix(p, parent+".") || strings.HasPrefix(p, parent+"[") }
		if !slices.Contains(next, p) && !slices.ContainsFunc(missing, isBelow) {
			missing = append(missing, p)
			errs = append(errs, fmt.Errorf("%s: missing, though the configuration in force has it", p))
		}
	}
	return errs
}

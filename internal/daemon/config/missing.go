package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// This file finds keys that are missing after a reload. When a process starts, a missing key gets its default. In a
// file that replaces the current one, a missing key is far more likely due to a truncated file or an editing mistake,
// so Reload rejects it.

// keyPaths returns the paths of the keys in a decoded JSON value that are fields of the type as, such as
// ".limits.cores" or ".peers[]". For a list it returns the keys that all entries have.
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

// fileKeys returns the paths of the keys in a platform's file, or nil if it isn't JSON. It omits keys below the key
// known, which the platform writes as a cache and nobody configures.
func fileKeys(text []byte) (paths []string) {
	var value map[string]any
	if json.Unmarshal(text, &value) != nil {
		return nil
	}
	// platformFile has the settings undecoded, so their keys are read with settingsJSON.
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

// missingKeys returns an error for each key that is in the current file and missing in its replacement. For the keys
// below a missing key it returns no further errors.
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

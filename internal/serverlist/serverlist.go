// Package serverlist owns how the platform's list of servers goes from process to process: whole at first, and then as the
// differences between two versions. A list is in the order of its servers' ids. The package is pure; it must never hold on to a
// list that it was handed, nor change one.
package serverlist

import (
	"errors"
	"slices"
	"strings"

	"sprucelane.example/sprucelane/internal/protocol"
)

// ErrGap tells that a difference doesn't apply to the list held: the whole list is needed.
var ErrGap = errors.New("serverlist: the difference does not apply to the list held")

// Difference is what leads from one list to another.
type Delta struct {
	Changed []protocol.Server // added, or with another content
	Removed []string          // ids
}

// Empty tells whether nothing differs.
func (d *Delta) Empty() bool { return len(d.Changed) == 0 && len(d.Removed) == 0 }

// Same tells whether two entries say the same. How long a server stays cold changes by itself and doesn't count.
func SameContent(a, b *protocol.Server) bool {
	return a.ID == b.ID && a.Backend == b.Backend && a.Address == b.Address && a.Zone == b.Zone && a.Slots == b.Slots &&
		a.Draining == b.Draining && a.Stage == b.Stage
}

// Between gives what leads from one list to another.
func Diff(from, to []protocol.Server) Delta {
	var d Delta
	i, j := 0, 0
	for i < len(from) || j < len(to) {
		switch compareAt(from, i, to, j) {
		case -1:
			d.Removed = append(d.Removed, from[i].ID)
			i++
		case 1:
			d.Changed = append(d.Changed, to[j])
			j++
		default:
			if !SameContent(&from[i], &to[j]) {
				d.Changed = append(d.Changed, to[j])
			}
			i++
			j++
		}
	}
	return d
}

// order tells which of two entries comes first; an end comes last.
func compareAt(from []protocol.Server, i int, to []protocol.Server, j int) int {
	switch {
	case i == len(from):
		return 1
	case j == len(to):
		return -1
	}
	return strings.Compare(from[i].ID, to[j].ID)
}

// Apply gives the list that a difference makes of another.
func Apply(list []protocol.Server, d *Delta) []protocol.Server {
	changed := slices.Clone(d.Changed)
	slices.SortFunc(changed, func(a, b protocol.Server) int { return strings.Compare(a.ID, b.ID) })
	removed := make(map[string]bool, len(d.Removed))
	for _, id := range d.Removed {
		removed[id] = true
	}
	next := make([]protocol.Server, 0, len(list)+len(changed))
	i, j := 0, 0
	for i < len(list) || j < len(changed) {
		switch compareAt(list, i, changed, j) {
		case -1:
			if !removed[list[i].ID] {
				next = append(next, list[i])
			}
			i++
		case 1:
			next = append(next, changed[j])
			j++
		default:
			next = append(next, changed[j])
			i++
			j++
		}
	}
	return next
}

// Join gives one difference for two that follow each other.
func Compose(first, second Delta) Delta {
	overwritten := make(map[string]bool, len(second.Changed)+len(second.Removed))
	composed := Delta{Changed: slices.Clone(second.Changed), Removed: slices.Clone(second.Removed)}
	for i := range second.Changed {
		overwritten[second.Changed[i].ID] = true
	}
	for _, id := range second.Removed {
		overwritten[id] = true
	}
	for i := range first.Changed {
		if !overwritten[first.Changed[i].ID] {
			composed.Changed = append(composed.Changed, first.Changed[i])
		}
	}
	for _, id := range first.Removed {
		if !overwritten[id] {
			composed.Removed = append(composed.Removed, id)
		}
	}
	return composed
}

// Follow gives the whole list after an update, which may be a difference. held may be nil. With ErrGap the whole list is needed.
func ApplyUpdate(current, update *protocol.ServerList) (*protocol.ServerList, error) {
	if update.Base == 0 {
		return update, nil
	}
	if current == nil || current.Source != update.Source || current.Version != update.Base {
		return nil, ErrGap
	}
	delta := Delta{Changed: update.Servers, Removed: update.Removed}
	return &protocol.ServerList{Version: update.Version, Source: update.Source, Servers: Apply(current.Servers, &delta)}, nil
}

// Package serverlist encodes versions of the platform's list of servers as deltas (delta encoding), so that a process
// that has one version receives only the differences to the next one.
//
// Lists are sorted by the servers' IDs. The package is pure: it neither modifies nor keeps the lists passed to it.
//
// The sender computes the Delta between two versions with Diff, or combines consecutive deltas with Compose, and
// sends it in a protocol.ServerList with a Base. The receiver computes the new version with ApplyUpdate. Invariant:
// for any lists a, b and c, Apply(a, Diff(a, b)) has the content of b (SameContent); and Compose(Diff(a, b),
// Diff(b, c)), applied to a, has the content of c.
package serverlist

import (
	"errors"
	"slices"
	"strings"

	"sprucelane.example/sprucelane/internal/protocol"
)

// ErrGap is returned by ApplyUpdate if a delta isn't based on the list that the receiver has. The receiver must then
// ask for the whole list.
var ErrGap = errors.New("serverlist: the delta is not based on the current list")

// Delta is the difference between two lists.
type Delta struct {
	Changed []protocol.Server // servers that were added or whose content changed
	Removed []string          // IDs of servers that were removed
}

// Empty reports whether the delta contains no changes.
func (d *Delta) Empty() bool { return len(d.Changed) == 0 && len(d.Removed) == 0 }

// SameContent reports whether two entries have the same content. The remaining time of a server's slow start (Cold)
// isn't compared, because it changes with time alone.
func SameContent(a, b *protocol.Server) bool {
	return a.ID == b.ID && a.Backend == b.Backend && a.Address == b.Address && a.Zone == b.Zone && a.Slots == b.Slots &&
		a.Draining == b.Draining && a.Stage == b.Stage
}

// Diff returns the delta from one list to another, in one pass over both.
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

// compareAt compares the IDs at two positions as strings.Compare does. The end of a list sorts after all IDs.
func compareAt(from []protocol.Server, i int, to []protocol.Server, j int) int {
	switch {
	case i == len(from):
		return 1
	case j == len(to):
		return -1
	}
	return strings.Compare(from[i].ID, to[j].ID)
}

// Apply returns the list that results from applying a delta to another list.
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

// Compose combines two consecutive deltas into one. If both change or remove a server, the second takes precedence.
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

// ApplyUpdate returns the list after an update, which is a whole list or a delta (Base other than 0). The current list
// is nil if there is none yet. ApplyUpdate returns ErrGap if the delta isn't based on the current version.
func ApplyUpdate(current, update *protocol.ServerList) (*protocol.ServerList, error) {
	if update.Base == 0 {
		return update, nil
	}
	if current == nil || current.Source != update.Source || current.Version != update.Base {
		return nil, ErrGap
	}
	delta := Delta{Changed: update.Servers, Removed: update.Removed}
	servers := Apply(current.Servers, &delta)
	return &protocol.ServerList{Version: update.Version, Source: update.Source, Servers: servers}, nil
}

package control

import (
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/control/discovery"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/serverlist"
)

// differencesMost is how many versions back a difference is made; who is further behind gets the whole list.
const maxDifferences = 64

// serverTable is the newest list of servers, as this process numbers it, with what led to it.
type serverTable struct {
	list        discovery.List
	version     uint64 // 0: no list was had
	readAt      time.Duration
	differences []serverlist.Delta // the last ones; the newest led to version
}

// take takes a list in, and tells whether its content changed.
func (t *serverTable) update(list discovery.List, readAt time.Duration) bool {
	if t.version > 0 && readAt < t.readAt {
		return false
	}
	t.readAt = readAt
	if t.version > 0 && t.list.Digest == list.Digest {
		return false
	}
	if len(t.differences) == maxDifferences {
		t.differences = slices.Delete(t.differences, 0, 1)
	}
	t.differences = append(t.differences, serverlist.Diff(t.list.Servers, list.Servers))
	t.list = list
	t.version++
	return true
}

// since gives what leads from a version to the newest. False: that isn't kept, or the whole list is no longer.
func (t *serverTable) differenceFrom(version uint64) (serverlist.Delta, bool) {
	behind := t.version - version
	if version == 0 || version > t.version || behind > uint64(len(t.differences)) {
		return serverlist.Delta{}, false
	}
	var joined serverlist.Delta
	for _, one := range t.differences[len(t.differences)-int(behind):] {
		joined = serverlist.Compose(joined, one)
	}
	return joined, len(joined.Changed)+len(joined.Removed) < len(t.list.Servers)
}

// message gives what a subscriber with a version lacks, with the time that servers stay cold brought up to date.
func (t *serverTable) messageFrom(source string, version uint64, now time.Duration) *protocol.ServerList {
	message := &protocol.ServerList{Version: t.version, Source: source}
	if difference, kept := t.differenceFrom(version); kept {
		message.Base, message.Servers, message.Removed = version, difference.Changed, difference.Removed
	} else {
		message.Servers = slices.Clone(t.list.Servers)
	}
	for i := range message.Servers {
		message.Servers[i].Cold = max(0, message.Servers[i].Cold-(now-t.readAt))
	}
	return message
}

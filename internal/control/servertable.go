package control

import (
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/control/discovery"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/serverlist"
)

// maxDeltas is the maximum number of versions that a delta can span. A subscriber that is further behind is
// sent the complete list.
const maxDeltas = 64

// serverTable holds the newest server list, its version, which this process increments with each change, and
// the deltas between the last versions. It is guarded by Control.mutex.
type serverTable struct {
	list    discovery.List
	version uint64 // 0: there is no list yet
	readAt  time.Duration
	deltas  []serverlist.Delta // up to maxDeltas, oldest first; the last one leads to version
}

// update replaces the list with a newer one and reports whether the content changed. A list that was read
// earlier than the current one is ignored.
func (t *serverTable) update(list discovery.List, readAt time.Duration) bool {
	if t.version > 0 && readAt < t.readAt {
		return false
	}
	t.readAt = readAt
	if t.version > 0 && t.list.Digest == list.Digest {
		return false
	}
	if len(t.deltas) == maxDeltas {
		t.deltas = slices.Delete(t.deltas, 0, 1)
	}
	t.deltas = append(t.deltas, serverlist.Diff(t.list.Servers, list.Servers))
	t.list = list
	t.version++
	return true
}

// deltaFrom returns the delta from a version to the newest one. It reports false if the deltas since that
// version are no longer kept, or if the composed delta isn't smaller than the complete list.
func (t *serverTable) deltaFrom(version uint64) (serverlist.Delta, bool) {
	behind := t.version - version
	if version == 0 || version > t.version || behind > uint64(len(t.deltas)) {
		return serverlist.Delta{}, false
	}
	var composed serverlist.Delta
	for _, delta := range t.deltas[len(t.deltas)-int(behind):] {
		composed = serverlist.Compose(composed, delta)
	}
	return composed, len(composed.Changed)+len(composed.Removed) < len(t.list.Servers)
}

// messageFrom returns the message that updates a subscriber from a version to the newest one, with the
// servers' remaining warm-up times as of now.
func (t *serverTable) messageFrom(source string, version uint64, now time.Duration) *protocol.ServerList {
	message := &protocol.ServerList{Version: t.version, Source: source}
	if delta, kept := t.deltaFrom(version); kept {
		message.Base, message.Servers, message.Removed = version, delta.Changed, delta.Removed
	} else {
		message.Servers = slices.Clone(t.list.Servers)
	}
	for i := range message.Servers {
		message.Servers[i].Cold = max(0, message.Servers[i].Cold-(now-t.readAt))
	}
	return message
}

package simulation

import "slices"

// inode holds the contents of one file: what is on the medium, and the changes since the last sync.
type inode struct {
	content  []byte // as processes see it
	durable  []byte // as of the last sync
	unsynced []contentChange
}

// contentChange is a write at an offset. If data is nil it sets the length of the file to offset.
type contentChange struct {
	offset int
	data   []byte
}

// apply makes a change to contents and returns them.
func (c contentChange) apply(content []byte) []byte {
	if c.data == nil {
		return resize(content, c.offset)
	}
	if end := c.offset + len(c.data); len(content) < end {
		content = resize(content, end)
	}
	copy(content[c.offset:], c.data)
	return content
}

// resize truncates contents, or extends them with zeros, to a length.
func resize(content []byte, length int) []byte {
	if length <= len(content) {
		return content[:length]
	}
	return append(content, make([]byte, length-len(content))...)
}

// write makes a change that is not durable yet.
func (n *inode) write(change contentChange) {
	n.content = change.apply(n.content)
	n.unsynced = append(n.unsynced, change)
}

// sync makes all changes durable.
func (n *inode) sync() {
	n.durable = append(n.durable[:0], n.content...)
	n.unsynced = nil
}

// losePower keeps, loses or tears each change since the last sync, in their order. The resulting
// contents are durable.
func (n *inode) losePower(random *Rand, loseAll bool) {
	content := slices.Clone(n.durable)
	for _, change := range n.unsynced {
		if loseAll || random.Chance(0.4) {
			continue
		}
		content = tear(change, random).apply(content)
	}
	n.content = content
	n.sync()
}

// tear returns the change as it is, or a random part of a write. A change of the length is never torn.
func tear(whole contentChange, random *Rand) contentChange {
	if len(whole.data) < 2 || random.Chance(0.5) {
		return whole
	}
	from := 0
	to := len(whole.data)
	if random.Chance(0.7) {
		to = 1 + random.IntN(to-1)
	}
	if random.Chance(0.3) {
		from = random.IntN(to)
	}
	return contentChange{offset: whole.offset + from, data: whole.data[from:to]}
}

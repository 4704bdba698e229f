package datagram

import "sprucelane.example/sprucelane/coord/membership"

// Members is an immutable snapshot of the machines that are present. It may be used by several goroutines at
// once.
type Members struct {
	list   []membership.Update
	byName map[string]membership.Update
}

// newMembers returns the snapshot of a list in the order of names, which it keeps.
func newMembers(list []membership.Update) *Members {
	byName := make(map[string]membership.Update, len(list))
	for _, update := range list {
		byName[update.Member.Name] = update
	}
	return &Members{list: list, byName: byName}
}

// List returns all machines that are alive or suspected, in the order of their names. The caller must not
// change it.
func (m *Members) List() []membership.Update {
	return m.list
}

// Get returns a machine that is alive or suspected, and false if there is none of that name.
func (m *Members) Get(name string) (membership.Update, bool) {
	update, ok := m.byName[name]
	return update, ok
}

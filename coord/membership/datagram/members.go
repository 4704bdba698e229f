package datagram

import "sprucelane.example/sprucelane/coord/membership"

// Members is an immutable snapshot of the machines that are present. It is safe for concurrent use.
type Members struct {
	list   []membership.Update
	byName map[string]membership.Update
}

// newMembers returns a snapshot that retains list, which must be sorted by name.
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

// Get returns the machine with a name if it is alive or suspected, and false otherwise.
func (m *Members) Get(name string) (membership.Update, bool) {
	update, ok := m.byName[name]
	return update, ok
}

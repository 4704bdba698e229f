// Package endpoints holds a process's list of servers: an immutable Table that is replaced as a whole with each
// new list, so that a request uses one list from the selection of a server to its end.
//
// The Registry also numbers the servers. The connection pool identifies servers by these numbers, and the
// Registry reports to it each server that is added, drained or removed. A server is identified by its id, not
// its address: if another server gets the same address, it gets another number, and connections to the former
// server aren't used for it.
package endpoints

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"sprucelane.example/sprucelane/internal/pool"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/policy"
)

// Server is one incarnation of a server. It is immutable.
type Server struct {
	protocol.Server
	Number policy.ServerID // identifies it within this process; never 0
	Hash   uint64          // of the server's id; identifies the server at all gateways
}

// Table is one version of the list of servers. It is immutable.
type Table struct {
	Version  uint64
	Source   string // source of the list; versions of different sources can't be compared
	backends map[string][]*Server
	numbers  map[policy.ServerID]*Server
}

// ForBackend returns the backend's servers that aren't draining, ordered by id. The slice must not be
// changed.
func (t *Table) ForBackend(backend string) []*Server { return t.backends[backend] }

// CountByBackend returns the number of servers of each backend.
func (t *Table) CountByBackend() map[string]int {
	counts := make(map[string]int, len(t.backends))
	for backend, servers := range t.backends {
		counts[backend] = len(servers)
	}
	return counts
}

// ByNumber returns the server with a number, or nil if it was removed or is draining.
func (t *Table) ByNumber(number policy.ServerID) *Server { return t.numbers[number] }

// Pool receives the changes of the servers from a Registry. pool.Pool implements it.
type Pool interface{ Apply([]pool.Change) }

// Registry holds the current table. It is safe for concurrent use.
type Registry struct {
	pool    Pool
	current atomic.Pointer[Table]

	// mu serializes Apply and guards the fields below.
	mu         sync.Mutex
	lastNumber policy.ServerID  // numbers are never reused
	entries    map[string]entry // by server id
}

// entry is the state of a server that was last reported to the pool.
type entry struct {
	number  policy.ServerID
	address string
	state   pool.ServerState
}

// NewRegistry returns a registry without a table that reports changes to a pool.
func NewRegistry(pool Pool) *Registry { return &Registry{pool: pool, entries: map[string]entry{}} }

// Current returns the current table, or nil if no list has been applied yet.
func (r *Registry) Current() *Table { return r.current.Load() }

// Apply replaces the table by one for a new list. Changes are reported to the pool before the new table becomes
// visible, so that the pool knows each server that can be selected.
func (r *Registry) Apply(list *protocol.ServerList) {
	r.mu.Lock()
	defer r.mu.Unlock()
	table := &Table{Version: list.Version, Source: list.Source, backends: map[string][]*Server{},
		numbers: map[policy.ServerID]*Server{}}
	next := make(map[string]entry, len(list.Servers))
	var changes []pool.Change
	for i := range list.Servers {
		server := &list.Servers[i]
		previous, known := r.entries[server.ID]
		current := entry{number: previous.number, address: server.Address, state: policy.Ready}
		if !known {
			r.lastNumber++
			current.number = r.lastNumber
		}
		if server.Draining {
			current.state = policy.Draining
		} else {
			selectable := &Server{Server: *server, Number: current.number, Hash: xxhash.Sum64String(server.ID)}
			table.backends[server.Backend] = append(table.backends[server.Backend], selectable)
			table.numbers[current.number] = selectable
		}
		next[server.ID] = current
		if !known || current != previous {
			changes = append(changes, pool.Change{ID: current.number, Address: current.address, State: current.state})
		}
	}
	for id, old := range r.entries {
		if _, stays := next[id]; !stays {
			changes = append(changes, pool.Change{ID: old.number, State: policy.Departed})
		}
	}
	for _, servers := range table.backends {
		slices.SortFunc(servers, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	r.entries = next
	if len(changes) > 0 {
		r.pool.Apply(changes)
	}
	r.current.Store(table)
}

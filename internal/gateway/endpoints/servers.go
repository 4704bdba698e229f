// Package endpoints owns the list of servers as the gateway holds it: an immutable table, swapped whole, and each server's number,
// by which the pool of connections knows it. It must never choose a server.
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

// Server is a server in one incarnation. Nobody changes it.
type Server struct {
	protocol.Server
	Number policy.ServerID // of its id, for the life of this process
	Hash   uint64          // of its id, the same at all gateways
}

// Table is one list. Nobody changes it.
type Table struct {
	Version  uint64
	Source   string
	backends map[string][]*Server
	numbers  map[policy.ServerID]*Server
}

// Of gives the servers of a service that take new work, ordered by id.
func (t *Table) ForBackend(backend string) []*Server { return t.backends[backend] }

// Numbered gives the server of a number that takes new work, or nil.
func (t *Table) ByNumber(number policy.ServerID) *Server { return t.numbers[number] }

// Pool takes in where servers are and whether they take new work.
type Pool interface{ Apply([]pool.Change) }

// Registry holds the present table.
type Registry struct {
	pool    Pool
	current atomic.Pointer[Table]

	mu         sync.Mutex
	lastNumber policy.ServerID
	entries    map[string]entry // by id
}

type entry struct {
	number  policy.ServerID
	address string
	state   pool.State
}

// NewRegistry gives a registry without a table.
func NewRegistry(into Pool) *Registry { return &Registry{pool: into, entries: map[string]entry{}} }

// Current gives the table, or nil before the first.
func (r *Registry) Current() *Table { return r.current.Load() }

// Apply puts a list in force.
func (r *Registry) Apply(list *protocol.ServerList) {
	r.mu.Lock()
	defer r.mu.Unlock()
	table := &Table{Version: list.Version, Source: list.Source, backends: map[string][]*Server{}, numbers: map[policy.ServerID]*Server{}}
	next := make(map[string]entry, len(list.Servers))
	var changes []pool.Change
	for i := range list.Servers {
		server := &list.Servers[i]
		known, held := r.entries[server.ID]
		now := entry{number: known.number, address: server.Address, state: policy.Ready}
		if !held {
			r.lastNumber++
			now.number = r.lastNumber
		}
		if server.Draining {
			now.state = policy.Draining
		} else {
			one := &Server{Server: *server, Number: now.number, Hash: xxhash.Sum64String(server.ID)}
			table.backends[server.Backend] = append(table.backends[server.Backend], one)
			table.numbers[now.number] = one
		}
		next[server.ID] = now
		if !held || now != known {
			changes = append(changes, pool.Change{ID: now.number, Address: now.address, State: now.state})
		}
	}
	for id, old := range r.entries {
		if _, stays := next[id]; !stays {
			changes = append(changes, pool.Change{ID: old.number, State: policy.Gone})
		}
	}
	for _, of := range table.backends {
		slices.SortFunc(of, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	r.entries = next
	if len(changes) > 0 {
		r.pool.Apply(changes)
	}
	r.current.Store(table)
}

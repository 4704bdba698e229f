package discovery

import (
	"cmp"
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"sprucelane.example/sprucelane/policy"
)

// Pool receives the servers' addresses and states. It receives each change before the policy does.
type Pool interface {
	Set(id policy.ServerID, addr string, state policy.ServerState)
}

// Membership holds the listed instances with their server IDs and passes lists to the pool and the policy. Apply and
// ImportState must not be called concurrently with each other; the other methods may be called at any time.
type Membership struct {
	pool         Pool
	onList       func(policy.ListKind, []policy.ServerInfo) // passes a list to the policy
	zones, kinds []string                                   // names, indexed by the policy's numbers
	lastID       policy.ServerID                            // highest ID assigned so far; IDs begin at 1

	mu         sync.Mutex // guards the fields below; not held while onList runs
	instances  map[string]*numbered
	version    uint64 // version of the list that was applied last
	lastAnswer time.Time
	calls      Calls
}

// numbered is a listed instance with its server ID.
type numbered struct {
	id       policy.ServerID
	instance Instance
}

// NewMembership returns an empty membership. onList passes a list to the policy. zones and kinds are the names of zones
// and machine types in the order of the policy's numbers.
func NewMembership(pool Pool, onList func(policy.ListKind, []policy.ServerInfo), zones, kinds []string) *Membership {
	return &Membership{pool: pool, onList: onList, zones: zones, kinds: kinds, instances: map[string]*numbered{},
		lastAnswer: time.Now()}
}

// Apply applies a list or changes from the source. Malformed entries are skipped and logged.
func (m *Membership) Apply(kind policy.ListKind, list []Instance) {
	m.onList(kind, m.update(kind, list))
}

// update updates the instances and the pool, and returns the list in the policy's format.
func (m *Membership) update(kind policy.ListKind, list []Instance) []policy.ServerInfo {
	m.mu.Lock()
	defer m.mu.Unlock()
	infos := make([]policy.ServerInfo, 0, len(list))
	listed := make(map[string]bool, len(list))
	for _, in := range list {
		state, ok := serverStates[in.Lifecycle]
		if _, _, err := net.SplitHostPort(in.Addr); in.ID == "" || !ok || err != nil && state != policy.Departed {
			slog.Warn("instance_left_out", "instance", in.ID, "addr", in.Addr, "lifecycle", in.Lifecycle)
			continue
		}
		n := m.instances[in.ID]
		if n == nil {
			m.lastID++
			n = &numbered{id: m.lastID}
			m.instances[in.ID] = n
		}
		if in.Addr == "" { // a departing instance may be listed without its address
			in.Addr = n.instance.Addr
		}
		n.instance, listed[in.ID] = in, true
		m.pool.Set(n.id, in.Addr, state)
		infos = append(infos, policy.ServerInfo{
			ID:        n.id,
			Zone:      indexOf(m.zones, in.Zone),
			Kind:      indexOf(m.kinds, in.Kind),
			Cell:      in.Cell,
			State:     state,
			Weight:    in.Weight,
			StartedAt: time.Duration(in.StartedMs) * time.Millisecond,
		})
		if state == policy.Departed {
			delete(m.instances, in.ID)
		}
	}
	if kind != policy.ListChanges { // a whole list: instances that it doesn't contain have departed
		for id, n := range m.instances {
			if !listed[id] {
				m.pool.Set(n.id, n.instance.Addr, policy.Departed)
				delete(m.instances, id)
			}
		}
	}
	return infos
}

// indexOf returns the index of a name, or len(names) if names doesn't contain it: all unknown names share one number
// that no known name has.
func indexOf(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names)
}

// Version returns the version of the list that was applied last.
func (m *Membership) Version() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

// SetVersion records the version of the list that was applied last.
func (m *Membership) SetVersion(generation uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version = generation
}

// Incarnations returns the current incarnation of each listed server, in a new map.
func (m *Membership) Incarnations() map[policy.ServerID]Incarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	incarnations := make(map[policy.ServerID]Incarnation, len(m.instances))
	for id, n := range m.instances {
		incarnations[n.id] = Incarnation{Instance: id, StartedMs: n.instance.StartedMs}
	}
	return incarnations
}

// Calls counts the calls of the source by their results.
type Calls struct {
	Answered   uint64 // with a list, or with the result that nothing has changed
	Rejected   uint64 // with a status other than 200
	Unanswered uint64 // timed out, connection lost, or answer not decodable
}

// Calls returns the counts so far.
func (m *Membership) Calls() Calls {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// RecordAnswer records that the source has answered a call, with or without changes.
func (m *Membership) RecordAnswer() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastAnswer = time.Now()
	m.calls.Answered++
}

// RecordFailure records a failed call, as rejected or as unanswered depending on err.
func (m *Membership) RecordFailure(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if errors.As(err, new(statusError)) {
		m.calls.Rejected++
	} else {
		m.calls.Unanswered++
	}
}

// SinceLastAnswer returns the time since the source's last answer, or since the membership was created if there was
// none.
func (m *Membership) SinceLastAnswer() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.lastAnswer)
}

// State is the state of a membership that another process of the gateway takes over. Its JSON encoding is exchanged
// between different versions of the program.
type State struct {
	Generation uint64             `json:"generation"`
	LastID     policy.ServerID    `json:"last"`
	Instances  []NumberedInstance `json:"members"` // by server ID
}

// NumberedInstance is a listed instance with its server ID.
type NumberedInstance struct {
	ServerID policy.ServerID `json:"number"`
	Instance
}

// ExportState returns the membership's state, for ImportState.
func (m *Membership) ExportState() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := State{Generation: m.version, LastID: m.lastID}
	for _, n := range m.instances {
		state.Instances = append(state.Instances, NumberedInstance{n.id, n.instance})
	}
	slices.SortFunc(state.Instances, func(a, b NumberedInstance) int { return cmp.Compare(a.ServerID, b.ServerID) })
	return state
}

// ImportState takes over the server IDs and the list of another process of the same gateway, and passes the list to the
// pool and the policy. It must be called before any list is applied. It rejects an inconsistent state with an error and
// then changes nothing.
func (m *Membership) ImportState(state State) error {
	seen := map[policy.ServerID]bool{}
	for _, n := range state.Instances {
		if n.ServerID < 1 || n.ServerID > state.LastID || seen[n.ServerID] || n.ID == "" {
			return errors.New("discovery: imported state has inconsistent server IDs")
		}
		seen[n.ServerID] = true
	}
	list := make([]Instance, 0, len(state.Instances))
	m.mu.Lock()
	m.lastID, m.version = state.LastID, state.Generation
	for _, n := range state.Instances {
		m.instances[n.ID] = &numbered{id: n.ServerID, instance: n.Instance}
		list = append(list, n.Instance)
	}
	m.mu.Unlock()
	m.Apply(policy.ListFull, list)
	return nil
}

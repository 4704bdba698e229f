// Package protocol owns the messages that control, gateways and batch processes exchange, as gob carries them. It must never
// hold behaviour beyond what a message says of itself.
//
// A gateway or batch process keeps one connection to a control process (its home, in its zone where there is one) and sends a
// Poll every PollInterval; the answer is an Update. Where something changes in between, control pushes an Update. Versions
// in a Poll say what the asker has, so that an Update holds only what is newer.
package protocol

import (
	"time"
)

// System is the name of the system in transport.Identity: it tells our processes' connections from others'.
const System = "sprucelane"

// PollInterval is how often a gateway or batch process polls its home.
const PollInterval = 400 * time.Millisecond

// Poll is what a gateway or batch process tells its home control process, and what it has.
type Poll struct {
	Process       Process
	Sequence      uint64 // of this connection's polls; comes back in the Update that answers
	Configuration uint64 // index of the configuration in force here, 0: none
	Servers       uint64 // version of the list of servers held here, 0: none
	Members       uint64 // version of the list of processes held here, 0: none
	WholeServers  bool   // the list of servers is wanted whole: what was sent doesn't apply to the one held
	Ready         bool
	Batch         *BatchReport // of batch processes
}

// Process identifies a gateway or a batch process of one life.
type Process struct {
	Node        string
	Role        string // RoleGateway or RoleBatch
	Zone        string
	IP          string
	Incarnation string // of a batch process: kept with its disk; of a gateway: of its process
}

// The roles that poll.
const (
	RoleGateway = "gateway"
	RoleBatch   = "batch"
	RoleControl = "control"
)

// Update is control's answer to a Poll, or a push. Nil parts are unchanged.
type Update struct {
	Sequence uint64 // of the Poll that is answered; 0: a push, which renews nothing

	// Fresh tells that control vouches for what it sends: all that was acknowledged longer ago than Age, counted back from
	// when the Poll was answered, is in Configuration (here, or held already). It is what leases of keys count from.
	Fresh bool
	Age   time.Duration

	// ListRead tells that control has a list of servers; ListAge is how long ago the platform was read for the newest, as of when
	// this was sent.
	ListRead bool
	ListAge  time.Duration

	Configuration *ConfigurationUpdate
	Servers       *ServerList
	Members       *MemberList
	Store         *StoreGrant // for batch processes
}

// ConfigurationUpdate leads to a newer configuration: by the orders that follow the asker's, or whole.
type ConfigurationUpdate struct {
	Index uint64 // of the configuration after it
	From  uint64 // of the configuration that Steps apply to; steps up to the asker's own are passed over
	Whole []byte // the document in JSON; nil: Steps apply to what the asker has
	Steps []ConfigurationStep
}

// ConfigurationStep is one acknowledged change.
type ConfigurationStep struct {
	Index uint64
	Patch bool   // Body is a PATCH, else a whole document
	Body  []byte // JSON as the operator sent it
}

// ServerList is the platform's list, or what has changed in it. Version rises with each change of content and is comparable only
// under one Source. Package serverlist makes the whole list of it.
type ServerList struct {
	Version uint64
	Source  string   // the control process that numbered it
	Base    uint64   // 0: Servers is the whole list; else the version, of the same source, that Servers and Removed apply to
	Servers []Server // by id; with a Base: those that were added or changed
	Removed []string // ids
}

// Server is a server of a service, in one incarnation.
type Server struct {
	ID       string
	Backend  string
	Address  string
	Zone     string
	Slots    int
	Draining bool
	Cold     time.Duration // how much longer it stays slow, as of when the list was read
	Stage    string
}

// MemberList is the processes of the system that control hears.
type MemberList struct {
	Version uint64
	// Vouched tells that Stores is at least as new as what the sender has proof of. Where it isn't set, only Control is told: it says
	// where else to ask.
	Vouched  bool
	Control  []ControlMember
	Gateways []Process
	Stores   StoreView
	// QuotaAddress is where grants of quota are asked for (control's port of the allocator), empty where there is none now.
	QuotaAddress string
}

// ControlMember is a control process.
type ControlMember struct {
	Node, Zone, IP string
}

// StoreView is the agreed set of batch processes; it is part of the chain's state. Epoch rises with each change of Members.
type StoreView struct {
	Epoch   uint64
	Members []StoreMember
	// Departed are the processes that left the set since all members of one epoch stood whole: they may hold what no member knows
	// of. Those that were emptied before they left are not among them.
	Departed []Process
	// Settled tells that all members stood whole in this epoch. Nobody that left before is needed then: Departed is empty.
	Settled bool
}

// Newer tells whether a view is of a later moment than another one.
func (v StoreView) Newer(than StoreView) bool {
	if v.Epoch != than.Epoch {
		return v.Epoch > than.Epoch
	}
	return v.Settled && !than.Settled
}

// StoreMember is a batch process in the agreed set.
type StoreMember struct {
	Process
	State StoreState
}

// StoreState tells what a member of the set may do.
type StoreState int

// The states of a store.
const (
	StoreActive   StoreState = iota // holds batch jobs and takes new ones
	StoreRetiring                   // hands over all that it holds, takes nothing new
	StoreRetired                    // holds nothing that others need; may be taken away
)

// StoreGrant is a batch process's right to act in a store view.
type StoreGrant struct {
	Epoch  uint64
	Member bool          // it is in the view of that epoch
	Lease  time.Duration // from when the Poll was sent, by the asker's clock
}

// BatchReport is what a batch process tells of itself.
type BatchReport struct {
	Epoch       uint64 // of the store view that it works in
	ActedIn     uint64 // highest epoch that it worked in, earlier lives of the same disk included
	Settled     uint64 // highest epoch for which all that it should hold or hand over is done
	Missing     int    // machines that may hold what the members don't know of: that left, or whose logs can't tell
	BatchJobs   int
	FreeBytes   int64
	DrainedDown bool // retiring: nothing is left here that others don't hold on f + 1 disks
}

// QuotaRequest asks the allocator for tokens of tenants, and renews the leases that are held.
type QuotaRequest struct {
	Process  Process
	Sequence uint64 // of this process's requests, rising
	Acked    uint64 // the highest sequence whose reply was taken
	Term     uint64 // of the allocator whose reply that was, 0: none
	Whole    bool   // Demands lists every lease that is held here
	Demands  []QuotaDemand
}

// QuotaDemand is one tenant's.
type QuotaDemand struct {
	Tenant string
	Rate   float64    // requests a second that come here, refused ones included; 0: the lease is no longer wanted
	Want   int        // tokens wanted now
	Held   QuotaLease // in a whole request: what is held
}

// QuotaLease is the right to spend tokens of a tenant by oneself: a local bucket that fills at Rate a second up to Depth.
type QuotaLease struct {
	Rate  float64
	Depth float64
}

// QuotaReply grants tokens and leases. It renews every lease that its asker holds; leases that change are in Grants.
type QuotaReply struct {
	Term     uint64        // of the allocator's time as one; 0: it is none now, and grants nothing
	Sequence uint64        // of the request
	Unknown  bool          // the asker isn't known or has leases of another term: a whole request is wanted, nothing is renewed
	LeaseFor time.Duration // from when the request was sent, by the asker's clock
	AskGap   time.Duration // the least between requests for tokens
	Grants   []QuotaGrant
}

// QuotaGrant is one tenant's.
type QuotaGrant struct {
	Tenant       string
	Tokens       int
	ExpiresAfter time.Duration // of the tokens: from when the request was sent, by the asker's clock
	RetryAfter   time.Duration // when more will be there, where less was granted than wanted
	Change       bool          // Lease replaces the one held
	Lease        QuotaLease
}

package protocol

import "time"

// MemberList is the membership of the system as a control process sees it.
type MemberList struct {
	Version uint64
	// Vouched says that the sender confirms its state: Stores is at least as new as its proof of freshness.
	// Where it isn't set, only Control is filled in, so that the receiver can turn to another control process.
	Vouched  bool
	Control  []ControlMember
	Gateways []Process
	Stores   StoreView
	// QuotaAddress is where the allocator takes a QuotaRequest ("ip:port"), empty where there is none at the
	// moment.
	QuotaAddress string
	// GatewaysComplete says that the sender has confirmed its state, without a gap, for long enough that every gateway
	// which polls at some control process is in Gateways. One that has just started knows few or none. False from
	// earlier versions.
	GatewaysComplete bool
}

// ControlMember is a control process.
type ControlMember struct {
	Node, Zone, IP string
}

// StoreView is the agreed store membership: the batch processes, in their role as stores of batch jobs. It is
// part of the replicated state of control. Epoch rises with each change of Members.
type StoreView struct {
	Epoch   uint64
	Members []StoreMember
	// Departed are the stores that left since all members of one epoch were reconciled: they may have batch jobs
	// that no member knows of. A store that was drained before it left isn't among them.
	Departed []Process
	// Settled says that all members were reconciled in this epoch: each has matched its inventory with the
	// others'. No store that left before is needed then, and Departed is empty.
	Settled bool
}

// Newer reports whether a view is later than another one.
func (v StoreView) Newer(than StoreView) bool {
	if v.Epoch != than.Epoch {
		return v.Epoch > than.Epoch
	}
	return v.Settled && !than.Settled
}

// StoreMember is a store in the agreed membership.
type StoreMember struct {
	Process
	State StoreState
}

// StoreState tells what a store may do.
type StoreState int

// The states of a store.
const (
	StoreActive   StoreState = iota // has batch jobs and accepts new ones
	StoreRetiring                   // hands its batch jobs over, accepts no new ones
	StoreRetired                    // has nothing that others need, and may be taken away
)

// StoreGrant is a store's lease: its right to act in a view of the stores.
type StoreGrant struct {
	Epoch  uint64
	Member bool          // the store is a member in that epoch
	Lease  time.Duration // from when the Poll was sent, by the store's clock
}

// BatchReport is what a store reports of itself with each Poll.
type BatchReport struct {
	Epoch   uint64 // of the view that it works in
	ActedIn uint64 // the highest epoch that it worked in, over all incarnations of its process on this disk
	Settled uint64 // the highest epoch in which it was reconciled
	// Missing is the number of machines that may have what the members don't know of: departed ones, and those
	// with incomplete logs.
	Missing     int
	BatchJobs   int
	FreeBytes   int64
	DrainedDown bool // retiring: everything that it has is on f + 1 other disks
}

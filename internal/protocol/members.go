package protocol

import "time"

// MemberList is the membership of the system as a control process sees it.
type MemberList struct {
	Version uint64
	// Vouched reports that the sender confirms its state: Stores is at least as new as the sender's proof of freshness.
	// If it is false, only Control is set, so that the receiver can connect to another control process.
	Vouched  bool
	Control  []ControlMember
	Gateways []Process
	Stores   StoreView
	// QuotaAddress is the address ("ip:port") at which the allocator receives QuotaRequests, empty while there is no
	// allocator.
	QuotaAddress string
	// GatewaysComplete reports that the sender has confirmed its state, without a gap, for long enough that Gateways
	// contains every gateway that polls any control process. A control process that has just started knows few gateways
	// or none. The field is false in messages of earlier versions.
	GatewaysComplete bool
}

// ControlMember is a control process.
type ControlMember struct {
	Node, Zone, IP string
}

// StoreView is the agreed store membership: the batch processes, in their role as stores of batch jobs. It is part of
// the replicated state of the control processes. Epoch rises with each change of Members.
type StoreView struct {
	Epoch   uint64
	Members []StoreMember
	// Departed contains the stores that have left since the last epoch in which all members were reconciled: they may
	// have batch jobs that no member knows of. It doesn't contain stores that were drained before they left.
	Departed []Process
	// Settled reports that all members were reconciled in this epoch: each has matched its inventory with the others'.
	// Then no store that left before is needed any more, and Departed is empty.
	Settled bool
}

// Newer reports whether a view is newer than another one: by its epoch, or settled in the same epoch.
func (v StoreView) Newer(other StoreView) bool {
	if v.Epoch != other.Epoch {
		return v.Epoch > other.Epoch
	}
	return v.Settled && !other.Settled
}

// StoreMember is a store in the agreed store membership.
type StoreMember struct {
	Process
	State StoreState
}

// StoreState is the state of a store. It determines what the store may do.
type StoreState int

// The states of a store.
const (
	StoreActive   StoreState = iota // has batch jobs and accepts new ones
	StoreRetiring                   // hands its batch jobs over and accepts no new ones
	StoreRetired                    // has no data that others need, and may be removed
)

// StoreGrant is a store's lease, which permits it to act in a StoreView.
type StoreGrant struct {
	Epoch  uint64
	Member bool          // the store is a member in that epoch
	Lease  time.Duration // duration from when the Poll was sent, by the store's clock
}

// BatchReport is a store's report on itself, sent with each Poll.
type BatchReport struct {
	Epoch   uint64 // of the StoreView in which it works
	ActedIn uint64 // the highest epoch in which it worked, over all incarnations of its process on this disk
	Settled uint64 // the highest epoch in which it was reconciled
	// Missing is the number of machines that may have data that the members don't know of: departed machines, and those
	// with incomplete logs.
	Missing     int
	BatchJobs   int
	FreeBytes   int64
	DrainedDown bool // the store is retiring, and all its data is on f + 1 other disks
}

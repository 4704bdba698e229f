package node

import (
	"slices"
	"time"
)

// Settings are the settings of a process. They are immutable: SIGHUP makes new ones. The key of each setting
// in the file is named with its field. A setting without a default is required, unless it says otherwise.
// "Not used" marks what the platform's files have and this program only checks.
type Settings struct {
	// NodeName (node-name) is the machine's name, unique in the deployment. It identifies the process to others
	// and is in each log line.
	NodeName string
	// Role (role) is what the process is: gateway, control or batch. It is in each log line.
	Role string
	// MachineClass (machine-class) is the platform's class of the machine. Not used.
	MachineClass string
	// Serves (serves) are the kinds of callers that the role serves, a list of front, control and store.
	// Default: none. A batch process must have store.
	Serves []string
	// IP (ip) is the machine's address, on which the ports between machines are served.
	IP string
	// Zone (zone) is the machine's failure domain. Processes prefer control processes, batch processes and
	// servers of their zone.
	Zone string
	// Region (region) is the zone's region. Default: empty. Not used.
	Region string
	// Zones (zones.NAME, one key for each zone) maps each zone to its region. Not used.
	Zones map[string]string

	// ListenFront (listen.front) is the address, host:port, on which a gateway serves clients. Default: none; a
	// gateway needs it.
	ListenFront string
	// ListenReady (listen.ready) is the address, host:port, of a gateway's readiness check. Default: none; a
	// gateway needs it.
	ListenReady string
	// ListenControl (listen.control) is the address, host:port, of a control process's API for operators.
	// Default: none; a control process needs it.
	ListenControl string
	// FirstPort and LastPort (port-range, "FIRST,LAST") are the ports between machines; PortUse divides them.
	FirstPort int
	LastPort  int

	// Seeds (seeds) are the control processes through which a process finds the others: a list of addresses,
	// ip:port. Only the IP is used, with the ports of port-range. It is the only setting that SIGHUP changes in
	// a running process.
	Seeds []string
	// Bootstrap (bootstrap) lets a control process with an empty disk found the replicated state with its seeds,
	// instead of only joining one. Set it for the first start of a deployment alone: two foundations would be
	// two systems. Default: false.
	Bootstrap bool
	// CountsForQuorum (counts-for-quorum) is whether the platform counts the machine for a quorum. Default:
	// false. Not used.
	CountsForQuorum bool

	Limits Limits
	// DataDir (data-dir) is the folder on the process's disk. Default: none; control and batch processes need
	// it.
	DataDir   string
	Tolerance Tolerance
	Bounds    Bounds
	Cloud     Cloud
}

// Limits are what the machine gives the process.
type Limits struct {
	// CPUShare (limits.cpu-share) is a share of one core. Default: 1. Not used.
	CPUShare float64
	// Cores (limits.cores) is a number of cores. Default: 1. Not used.
	Cores int
	// MemoryMB (limits.memory-mb), in MiB, bounds the heap (a share of it) and a gateway's buffers for request
	// bodies. More lets a gateway keep more bodies for retries; too much has the platform kill the process.
	// Default: 256.
	MemoryMB int
	// MaxFDs (limits.max-fds) is the number of file descriptors. A gateway divides them between connections of
	// clients and to servers. Default: 1024.
	MaxFDs int
	// LinkMbps (limits.link-mbps) is the network's rate in Mbit/s. Default: 100. Not used.
	LinkMbps float64
	// DiskMB (limits.disk-mb), in MiB, bounds what a batch process stores. Default: 0.
	DiskMB int
}

// Tolerance is how many failures at once the system must survive.
type Tolerance struct {
	// Machines (fault-tolerance.machines) is the number of machines with a disk whose loss at once loses nothing
	// acknowledged. The control state is in a chain of one more, out of twice as many voters and one; a batch
	// job has one more replicas, and a batch process can be retired only while one more remain. A larger value
	// costs more writes for each change and job. Default: 1.
	Machines int
	// Zones (fault-tolerance.zones). Default: 0. Not used.
	Zones int
	// Regions (fault-tolerance.regions). Default: 0. Not used.
	Regions int
}

// Bounds are the limits that the platform's rules set. Durations ending in -s are in seconds in the file,
// those ending in -ms in milliseconds. Those that aren't used describe what the rules measure from outside;
// the program's own timing is fixed to meet them.
type Bounds struct {
	// Acknowledge (bounds.ack-ms) is the time within which a configuration change is acknowledged or fails.
	// Control stops trying after four fifths of it. Default: 4 s.
	Acknowledge time.Duration
	// Grace (bounds.grace-s) is the time from SIGTERM to SIGKILL. A gateway accepts requests until shortly
	// before its end. Default: 8 s.
	Grace time.Duration
	// SkewMax (bounds.skew-max-ms) is the most that the wall clocks of two machines differ. Batch processes add
	// twice as much to the times for which they keep jobs (Status, and a route's retention). Default: 5 s.
	SkewMax time.Duration
	// Closed (bounds.closed) makes API keys fail closed: a process without contact to control for Revoke rejects
	// all keys. Without it, such a process goes on with the keys that it has. Default: false.
	Closed bool
	// Revoke (bounds.revoke-ms) is the time within which a removed API key is rejected everywhere. Default: 5 s.
	Revoke time.Duration
	// QuotaWindow (bounds.quota-window-s) is the length of the sliding window in which tenants' rate limits are
	// judged. Default: 5 s.
	QuotaWindow time.Duration
	// QuotaOvershoot (bounds.quota-overshoot) is the share by which a tenant may exceed its limit in a window.
	// Default: 0.
	QuotaOvershoot float64
	// QuotaSlack (bounds.quota-slack) is the number of requests by which a tenant may exceed its limit in a
	// window besides. Default: 0.
	QuotaSlack float64
	// Status (bounds.status-s) is the time for which a batch job can be read, counted from its first submission.
	// Batch processes keep it for twice SkewMax more. A larger value fills more of the disk. Default: 120 s.
	Status time.Duration

	// Liveness (bounds.liveness-ms) is the time within which failures are noticed. A gateway raises its part of servers'
	// max-conns only after fewer gateways were listed for so long. Default: 3 s.
	Liveness time.Duration

	SeedLag            time.Duration // bounds.seed-lag-s, default 3 s; not used
	ReuseAfter         time.Duration // bounds.reuse-after-s, default 2 s; not used
	CatchUp            time.Duration // bounds.catch-up-s, default 5 s; not used
	Drain              time.Duration // bounds.drain-ms, default 3 s; not used
	LossSlack          time.Duration // bounds.loss-slack-ms, default 200 ms; not used
	ConfigurationApply time.Duration // bounds.config-apply-ms, default 2 s; not used
	RollbackSlack      time.Duration // bounds.rollback-slack-ms, default 250 ms; not used
	Recovery           time.Duration // bounds.recovery-s, default 12 s; not used
	Pass               time.Duration // bounds.pass_ms, default 120 ms; not used
	Finish             time.Duration // bounds.finish-s, default 10 s; not used
	Cancel             time.Duration // bounds.cancel-ms, default 3 s; not used
	Settle             time.Duration // bounds.settle-ms, default 1 s; not used
}

// Cloud is the platform's list of servers, which control processes poll.
type Cloud struct {
	// Address (cloud.address) is host:port of the platform's API. Default: none, and then control has no
	// servers.
	Address string
	// Rate (cloud.rate-per-s) bounds the calls per second of all machines together. A higher rate shows changed
	// servers earlier. Default: 10.
	Rate float64
	// MaxLag (cloud.max-lag-ms) is the most that the platform's answers are behind. Default: 1 s. Not used.
	MaxLag time.Duration
}

// Offers reports whether the role serves callers of a kind: front, control or store.
func (s *Settings) Offers(kind string) bool { return slices.Contains(s.Serves, kind) }

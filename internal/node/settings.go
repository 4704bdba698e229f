package node

import (
	"slices"
	"time"
)

// Settings are the settings of a process. They are immutable; on SIGHUP a new value is read. The comment of each
// field has its key in the file in parentheses. A setting without a default is required, unless the comment says
// otherwise. "Not used" marks settings that the platform's files have and that this program only validates.
type Settings struct {
	// NodeName (node-name) is the name of the machine, unique in the deployment. It identifies the process to
	// other processes and is in each log line.
	NodeName string
	// Role (role) is the role of the process: gateway, control or batch. It is in each log line.
	Role string
	// MachineClass (machine-class) is the class of the machine in the platform. Not used.
	MachineClass string
	// Serves (serves) is a list of the kinds of callers that the role serves: front, control and store.
	// Default: none. For a batch process it must include store.
	Serves []string
	// IP (ip) is the IP address of the machine, on which the ports between machines are served.
	IP string
	// Zone (zone) is the failure domain of the machine. Processes prefer control processes, batch processes and
	// servers in their own zone.
	Zone string
	// Region (region) is the region of the zone. Default: empty. Not used.
	Region string
	// Zones (zones.NAME, one key for each zone) maps each zone to its region. Not used.
	Zones map[string]string

	// ListenFront (listen.front) is the address, host:port, on which a gateway serves clients. Default: none;
	// required for a gateway.
	ListenFront string
	// ListenReady (listen.ready) is the address, host:port, of a gateway's readiness check. Default: none;
	// required for a gateway.
	ListenReady string
	// ListenControl (listen.control) is the address, host:port, of a control process's API for operators.
	// Default: none; required for a control process.
	ListenControl string
	// FirstPort and LastPort (port-range, "FIRST,LAST") are the ports between machines, which PortUse assigns to
	// uses.
	FirstPort int
	LastPort  int

	// Seeds (seeds) are the control processes through which a process discovers the others: a list of addresses,
	// ip:port. Only the IP addresses are used, with the ports of port-range. It is the only setting that SIGHUP
	// changes in a running process.
	Seeds []string
	// Bootstrap (bootstrap) allows a control process with an empty disk to create the replicated state with its
	// seeds, instead of only joining an existing one. Set it only for the first start of a deployment: if the
	// state is created twice, there are two separate systems. Default: false.
	Bootstrap bool
	// CountsForQuorum (counts-for-quorum) says whether the platform counts the machine towards a quorum.
	// Default: false. Not used.
	CountsForQuorum bool

	Limits Limits
	// DataDir (data-dir) is the directory for data on the disk of the process. Default: none; required for control
	// and batch processes.
	DataDir   string
	Tolerance Tolerance
	Bounds    Bounds
	Cloud     Cloud
}

// Limits are the resources of the machine that are available to the process.
type Limits struct {
	// CPUShare (limits.cpu-share) is the processor time, as a share of one core. Default: 1. Not used.
	CPUShare float64
	// Cores (limits.cores) is the number of cores. Default: 1. Not used.
	Cores int
	// MemoryMB (limits.memory-mb) is the memory in MiB. The limit of the heap is a share of it, and it determines
	// a gateway's buffers for request bodies. With a higher value a gateway keeps more bodies for retries; if
	// it is too high, the platform kills the process. Default: 256.
	MemoryMB int
	// MaxFDs (limits.max-fds) is the maximum number of file descriptors. A gateway divides them between
	// connections from clients and connections to servers. Default: 1024.
	MaxFDs int
	// LinkMbps (limits.link-mbps) is the network bandwidth in Mbit/s. Default: 100. Not used.
	LinkMbps float64
	// DiskMB (limits.disk-mb) is the maximum size, in MiB, of the data that a batch process stores. Default: 0.
	DiskMB int
}

// Tolerance is the number of simultaneous failures that the system must tolerate.
type Tolerance struct {
	// Machines (fault-tolerance.machines) is the number n of machines with a disk that can fail at the same time
	// without loss of acknowledged data. The control state is replicated in a chain of n+1 out of 2n+1 voters. A
	// batch job has n+1 replicas, and a batch process can be retired only while n+1 others remain. A higher value
	// costs more writes for each change and job. Default: 1.
	Machines int
	// Zones (fault-tolerance.zones) is the number of zones. Default: 0. Not used.
	Zones int
	// Regions (fault-tolerance.regions) is the number of regions. Default: 0. Not used.
	Regions int
}

// Bounds are the limits that the rules of the platform set. In the file, durations whose keys end in -s are in
// seconds, and those with -ms in milliseconds. Bounds that are not used describe what the rules measure from
// outside; the timing of the program is fixed so that it meets them.
type Bounds struct {
	// Acknowledge (bounds.ack-ms) is the time within which a configuration change is acknowledged or fails.
	// A control process stops trying after four fifths of it. Default: 4 s.
	Acknowledge time.Duration
	// Grace (bounds.grace-s) is the time from SIGTERM to SIGKILL. A gateway accepts requests until shortly
	// before that time has passed. Default: 8 s.
	Grace time.Duration
	// SkewMax (bounds.skew-max-ms) is the maximum difference between the wall clocks of two machines. Batch
	// processes add twice that to the times for which they keep jobs (Status, and the retention of a route).
	// Default: 5 s.
	SkewMax time.Duration
	// Closed (bounds.closed) makes API keys fail closed: a process that has had no contact to control for the
	// time Revoke rejects all keys. If false, such a process continues to use the keys that it has. Default:
	// false.
	Closed bool
	// Revoke (bounds.revoke-ms) is the time within which a removed API key is rejected everywhere. Default: 5 s.
	Revoke time.Duration
	// QuotaWindow (bounds.quota-window-s) is the length of the sliding window over which the rate limits of
	// tenants are measured. Default: 5 s.
	QuotaWindow time.Duration
	// QuotaOvershoot (bounds.quota-overshoot) is the share of its limit by which a tenant may exceed it in a
	// window. Default: 0.
	QuotaOvershoot float64
	// QuotaSlack (bounds.quota-slack) is the number of requests by which a tenant may exceed its limit in a
	// window in addition to QuotaOvershoot. Default: 0.
	QuotaSlack float64
	// Status (bounds.status-s) is the time for which a batch job can be read, measured from its first submission.
	// Batch processes keep the job for twice SkewMax longer. A higher value takes more disk space. Default:
	// 120 s.
	Status time.Duration

	// Liveness (bounds.liveness-ms) is the time within which failures are detected. A gateway increases its share
	// of a server's max-conns only after fewer gateways have been listed for this time. Default: 3 s.
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

// Cloud has the settings of the platform's API for the list of servers, which control processes poll.
type Cloud struct {
	// Address (cloud.address) is the address, host:port, of the API. Default: none; control processes then have
	// no servers.
	Address string
	// Rate (cloud.rate-per-s) is the maximum number of calls per second of all machines together. With a higher
	// rate, changes of servers are detected earlier. Default: 10.
	Rate float64
	// MaxLag (cloud.max-lag-ms) is the maximum age of the data in responses of the API. Default: 1 s. Not used.
	MaxLag time.Duration
}

// Offers reports whether the role serves callers of a kind: front, control or store.
func (s *Settings) Offers(kind string) bool { return slices.Contains(s.Serves, kind) }

// Package node owns what every role of the system shares: the settings file, the machine's identity, ports and logs. It
// must never know what a role does with them.
package node

import (
	"net"
	"os"
	"strconv"
	"strings"
	"time"
)

// SettingsVariable names the environment variable with the settings file's path.
const SettingsVariable = "SPRUCELANE_SETTINGS"

// PortUse is a port of the range that is free on all machines, by what it is for.
type PortUse int

// The ports between machines, counted from the first of the range. Two processes on one machine share the range.
const (
	PortCoordination PortUse = iota // between control processes: view and chain
	PortControl                     // control for gateways and batch processes: subscriptions
	PortGateway                     // reserved for what gateways tell each other
	PortBatch                       // batch processes for gateways and each other
	PortLoad                        // gateways and batch processes for each other: what servers tell of their load
	numPorts
)

// Settings are a process's settings, read once and checked. They are a value: SIGHUP makes another.
type Settings struct {
	NodeName     string
	Role         string
	MachineClass string
	Serves       []string
	IP           string
	Zone         string
	Region       string
	Zones        map[string]string // zone to region

	ListenFront   string // host:port, empty where the role doesn't serve it
	ListenReady   string
	ListenControl string
	FirstPort     int
	LastPort      int

	Seeds           []string // control addresses, host:port
	Bootstrap       bool
	CountsForQuorum bool

	Limits    Limits
	DataDir   string // empty: no disk
	Tolerance Tolerance
	Bounds    Bounds
	Cloud     Cloud
}

// Limits are what the machine gives the process.
type Limits struct {
	CPUShare float64 // of one core
	Cores    int
	MemoryMB int
	MaxFDs   int
	LinkMbps float64
	DiskMB   int
}

// Tolerance is what may be lost at once.
type Tolerance struct{ Machines, Zones, Regions int }

// Bounds are the figures of the rules.
type Bounds struct {
	SeedLag, ReuseAfter, Liveness, Acknowledge, CatchUp, Drain, Grace time.Duration
	LossSlack, ConfigurationApply, RollbackSlack, SkewMax, Revoke     time.Duration
	QuotaWindow, Recovery, Pass, Finish, Status, Cancel, Settle       time.Duration
	Closed                                                            bool // keys end within Revoke wherever they are
	QuotaOvershoot                                                    float64
	QuotaSlack                                                        float64
}

// Cloud is the platform's list of servers.
type Cloud struct {
	Address string        // host:port
	Rate    float64       // calls a second, of all machines together
	MaxLag  time.Duration // the list's age at most
}

// Port gives the port of a use.
func (s *Settings) Port(use PortUse) int { return s.FirstPort + int(use) }

// Endpoint gives the address of a use on this machine.
func (s *Settings) Endpoint(use PortUse) string { return s.EndpointAt(s.IP, use) }

// EndpointAt gives the address of a use on another machine: all machines share their ports.
func (s *Settings) EndpointAt(ip string, use PortUse) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.Port(use)))
}

// SeedHosts gives the seeds' IPs.
func (s *Settings) SeedHosts() []string {
	list := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue // the check has named it
		}
		list = append(list, host)
	}
	return list
}

// SeedEndpoints gives the seeds' addresses for a use.
func (s *Settings) SeedEndpoints(use PortUse) []string {
	list := s.SeedHosts()
	for i, host := range list {
		list[i] = s.EndpointAt(host, use)
	}
	return list
}

// Offers tells whether the role serves callers of a kind: front, control or store.
func (s *Settings) Offers(kind string) bool {
	for _, one := range s.Serves {
		if one == kind {
			return true
		}
	}
	return false
}

// Load reads the file that the environment names.
func Load() (*Settings, error) {
	path := os.Getenv(SettingsVariable)
	if path == "" {
		return nil, Findings{{Place: SettingsVariable, Text: "the variable with the settings file's path is not set"}}
	}
	return LoadFile(path)
}

// LoadFile reads a settings file. The error is of type Findings: every fault with its place.
func LoadFile(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, Findings{{Place: path, Text: err.Error()}}
	}
	return Parse(path, text)
}

func splitList(text string) []string {
	var list []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			list = append(list, part)
		}
	}
	return list
}

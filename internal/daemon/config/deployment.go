package config

import (
	"reflect"
	"time"

	"sprucelane.example/sprucelane/policy"
)

// Deployment is the platform's settings object: what the policy gets, and what only discovery and the pool need.
type Deployment struct {
	policy.Settings

	// Generation is the number of the settings in a process that reloads them; see core.Core.Reconfigure.
	Generation int
	// Zones and Kinds are the names that discovery uses for zones and machine types. The policy knows each by its
	// index.
	Zones, Kinds []string
	// IdleTimeout is how long a connection to a server may be idle before the server's side closes it. Default 30 s.
	IdleTimeout time.Duration
	// ConnectTimeout is how long a connection to a server may take to come up. Default 250 ms.
	ConnectTimeout time.Duration
}

// Equal tells whether both are the same settings, generation included.
func (d Deployment) Equal(other Deployment) bool { return reflect.DeepEqual(d, other) }

// ClassIndex returns the index of a class, -1 if there is none of that name.
func (d Deployment) ClassIndex(name string) int {
	for i, c := range d.Classes {
		if c.Name == name {
			return i
		}
	}
	return -1
}

// PlanIndex returns the index of a plan, -1 if there is none of that name.
func (d Deployment) PlanIndex(name string) int {
	for i, p := range d.Plans {
		if p.Name == name {
			return i
		}
	}
	return -1
}

// MaxDeadline returns the longest deadline of any class.
func (d Deployment) MaxDeadline() time.Duration {
	longest := time.Duration(0)
	for _, c := range d.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// LoadFields returns the index of each field in a load report, by both names that a server may use: the platform's
// and the policy's.
func (d Deployment) LoadFields() map[string]int {
	fields := map[string]int{}
	for i, name := range d.LoadReportFields {
		fields[name] = i
		for platformName, policyName := range loadReportFields {
			if policyName == name {
				fields[platformName] = i
			}
		}
	}
	return fields
}

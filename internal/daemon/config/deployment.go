package config

import (
	"reflect"
	"time"

	"sprucelane.example/sprucelane/policy"
)

// Deployment is the platform's settings object: the policy's settings, and values that only discovery and the pool use.
type Deployment struct {
	policy.Settings

	// Generation is the number of the settings in a process that reloads them; see core.Core.Reconfigure.
	Generation int
	// Zones and Kinds are the names that discovery uses for zones and machine types. The policy refers to each by its
	// index.
	Zones, Kinds []string
	// IdleTimeout is the time after which servers close idle connections. Default 30 s.
	IdleTimeout time.Duration
	// ConnectTimeout is the maximum time for connecting to a server. Default 250 ms.
	ConnectTimeout time.Duration
}

// Equal reports whether both are the same settings, including the generation.
func (d Deployment) Equal(other Deployment) bool { return reflect.DeepEqual(d, other) }

// ClassIndex returns the index of the class with the given name, or -1 if there is none.
func (d Deployment) ClassIndex(name string) int {
	for i, c := range d.Classes {
		if c.Name == name {
			return i
		}
	}
	return -1
}

// PlanIndex returns the index of the plan with the given name, or -1 if there is none.
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

// LoadFields returns the index of each field in a load report. Each field has two keys, because a server may use the
// platform's or the policy's name.
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

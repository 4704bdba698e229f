package discovery

import "sprucelane.example/sprucelane/policy"

// List is a list of instances in the platform's format: all instances if Reset is set, otherwise those that have
// changed.
type List struct {
	Generation uint64     `json:"generation"` // version of the source's list, which increases with each change
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Instance is one server in the platform's format.
type Instance struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`        // failure domain; its servers may share deduplication of keyed requests
	Lifecycle string  `json:"lifecycle"`   // a key of serverStates
	Weight    float64 `json:"weight"`      // relative to other servers
	StartedMs int64   `json:"startedAtMs"` // start of the current process, in Unix ms; 0: unknown
}

// serverStates maps the platform's lifecycles to the policy's server states.
var serverStates = map[string]policy.ServerState{
	"up":       policy.Ready,
	"draining": policy.Draining,
	"removed":  policy.Departed,
}

// Incarnation is one process of an instance, from its start to its end.
type Incarnation struct {
	Instance  string
	StartedMs int64 // Unix ms; 0: unknown
}

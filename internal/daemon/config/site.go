package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"reflect"
	"time"

	"sprucelane.example/sprucelane/internal/daemon/discovery"
)

// Site is the site file. The feature of an absent part is off.
type Site struct {
	// Consul makes a Consul agent the source of server lists instead of the platform's agent.
	Consul *discovery.Consul `json:"consul"`
	// Introspection opens a second front whose clients authenticate with OAuth 2.0 tokens.
	Introspection *Introspection `json:"introspection"`
	// Knowledge enables the exchange of knowledge of the servers with peers.
	Knowledge *Knowledge `json:"knowledge"`
	// Storm enables storm control, which limits storms of retries.
	Storm *Storm `json:"storm"`
	// Store preserves quota balances across restarts.
	Store *Store `json:"store"`

	introspectionJSON, knowledgeJSON []byte // as read, for Config.RestartKeys, because check modifies the structs
}

// Store is the configuration of the directory in which quota balances outlast the process (package store).
type Store struct {
	// Path is the directory, which is created if it doesn't exist. Gateways must not share it. Required.
	Path string `json:"path"`
	// FlushMs is the maximum time in ms before changes are written to the disk. A crash of the machine loses the changes
	// of that time. 0 to 10000; 0 means 50.
	FlushMs int `json:"flush_ms"`
	// MaxMB is the maximum total size of all files in MiB; writes beyond it fail. At least 16; 0 means 256.
	MaxMB int `json:"most_mb"`
}

const (
	defaultFlushMs = 50
	maxFlushMs     = 10000
	defaultStoreMB = 256
	minStoreMB     = 16
)

// FlushInterval returns the maximum time before changes are written to the disk.
func (s Store) FlushInterval() time.Duration {
	return time.Duration(cmp.Or(s.FlushMs, defaultFlushMs)) * time.Millisecond
}

// MaxBytes returns the maximum total size of all files, in bytes.
func (s Store) MaxBytes() int64 { return int64(cmp.Or(s.MaxMB, defaultStoreMB)) << 20 }

// Storm is the configuration of storm control (package storm).
type Storm struct {
	// RetryShare is the number of retries that the fleet admits per first try during a storm: 0 to 1; 0 means 0.2. With
	// a higher value clients succeed sooner, but a storm lasts longer.
	RetryShare float64 `json:"retry_share"`
	// MaxRetryAfterMs is the maximum Retry-After of a rejection in ms: 0 to 30000. 0 means the platform's limit
	// (settings.allowed.max_retry_after), or 30 s if the platform has none.
	MaxRetryAfterMs int `json:"most_wait_ms"`
	// ConnectionsPerS is the number of new connections per second that each front accepts during a storm; further
	// connections are reset without being read. 0 to 1000000; 0 means no limit.
	ConnectionsPerS float64 `json:"connections_per_s"`

	MaxRetryAfter time.Duration `json:"-"` // MaxRetryAfterMs; set by check
}

const (
	maxStormRetryAfter = 30 * time.Second
	maxConnectionsPerS = 1e6
	maxStormRetryShare = 1
)

// SameConsul reports whether both sites have the same Consul configuration, which may be none.
func (s Site) SameConsul(other Site) bool { return reflect.DeepEqual(s.Consul, other.Consul) }

// parseSite parses the site file and reports whether it could be decoded.
func (c *Config) parseSite(site []byte, platformErrs, siteErrs *errorList) bool {
	strict := json.NewDecoder(bytes.NewReader(site))
	strict.DisallowUnknownFields()
	if err := strict.Decode(&c.Site); err != nil {
		siteErrs.add(err)
		return false
	}
	if c.Site.Introspection != nil {
		c.Site.introspectionJSON, _ = json.Marshal(c.Site.Introspection)
	}
	if c.Site.Knowledge != nil {
		c.Site.knowledgeJSON, _ = json.Marshal(c.Site.Knowledge)
		if c.Name == "" {
			platformErrs.addf("name: not set, though knowledge is on")
		}
	}
	if c.Site.Store != nil {
		c.Site.Store.check(siteErrs)
		if c.Name == "" {
			platformErrs.addf("name: not set, though store is on")
		}
	}
	return true
}

// check checks all parts except the store and sets their fields that are derived from other keys. parseSite checks the
// store.
func (s *Site) check(d Deployment, errs *errorList) {
	if s.Consul != nil {
		checkHostPort(errs, "consul.addr", s.Consul.Addr)
		if s.Consul.Service == "" {
			errs.addf("consul.service: not set")
		}
	}
	if s.Introspection != nil {
		s.Introspection.check(d, errs)
	}
	if s.Knowledge != nil {
		s.Knowledge.check(errs)
	}
	if s.Storm != nil {
		s.Storm.check(errs)
	}
}

func (s *Store) check(errs *errorList) {
	if s.Path == "" {
		errs.addf("store.path: not set")
	}
	if s.FlushMs < 0 || s.FlushMs > maxFlushMs {
		errs.addf("store.flush_ms: must be 0 to 10000")
	}
	if s.MaxMB < 0 || s.MaxMB > 0 && s.MaxMB < minStoreMB {
		errs.addf("store.most_mb: must be 16 or more")
	}
}

func (s *Storm) check(errs *errorList) {
	s.MaxRetryAfter = time.Duration(s.MaxRetryAfterMs) * time.Millisecond
	if s.MaxRetryAfterMs < 0 || s.MaxRetryAfter > maxStormRetryAfter {
		errs.addf("storm.most_wait_ms: must be 0 to 30000")
	}
	if !(s.RetryShare >= 0 && s.RetryShare <= maxStormRetryShare) {
		errs.addf("storm.retry_share: must be 0 to 1")
	}
	if !(s.ConnectionsPerS >= 0 && s.ConnectionsPerS <= maxConnectionsPerS) {
		errs.addf("storm.connections_per_s: must be 0 to 1000000")
	}
}

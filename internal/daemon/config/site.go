package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"reflect"
	"time"

	"sprucelane.example/sprucelane/internal/daemon/discovery"
)

// Site is the site file. Each part is off if it is absent.
type Site struct {
	// Consul makes a Consul agent the source of server lists, in the place of the platform's agent.
	Consul *discovery.Consul `json:"consul"`
	// Introspection opens a second front whose requests bring OAuth 2 tokens.
	Introspection *Introspection `json:"introspection"`
	// Knowledge exchanges with peers what is known of the servers.
	Knowledge *Knowledge `json:"knowledge"`
	// Storm damps storms of retries.
	Storm *Storm `json:"storm"`
	// Store keeps quota balances across restarts.
	Store *Store `json:"store"`

	introspectionJSON, knowledgeJSON []byte // as read, for Config.RestartKeys: check completes the structs
}

// Store is the configuration of the folder in which quota balances outlast the process (package store).
type Store struct {
	// Path of the folder, which is made if it doesn't exist. It is of one gateway alone. Required.
	Path string `json:"path"`
	// FlushMs is how long in ms changes wait at most before they are written to the disk: a crash of the machine loses
	// as much. 0 to 10000; 0 means 50.
	FlushMs int `json:"flush_ms"`
	// MaxMB is how large in MiB all files together may get; beyond it, writes fail. At least 16; 0 means 256.
	MaxMB int `json:"most_mb"`
}

const (
	defaultFlushMs = 50
	maxFlushMs     = 10000
	defaultStoreMB = 256
	minStoreMB     = 16
)

// FlushInterval is how long changes wait at most before they are written to the disk.
func (s Store) FlushInterval() time.Duration {
	return time.Duration(cmp.Or(s.FlushMs, defaultFlushMs)) * time.Millisecond
}

// MaxBytes is how large all files together may get.
func (s Store) MaxBytes() int64 { return int64(cmp.Or(s.MaxMB, defaultStoreMB)) << 20 }

// Storm is the configuration of storm control (package storm).
type Storm struct {
	// RetryShare is the number of retries that the fleet lets in for each first try during a storm: 0 to 1; 0 means
	// 0.2. More lets clients succeed sooner, and a storm last longer.
	RetryShare float64 `json:"retry_share"`
	// MaxRetryAfterMs is the longest Retry-After in ms that a rejection names: 0 to 30000. 0 means the platform's limit
	// (settings.allowed.max_retry_after), and 30 s if it has none.
	MaxRetryAfterMs int `json:"most_wait_ms"`
	// ConnectionsPerS is the number of new connections a second that each front accepts during a storm; the rest are
	// reset unread. 0 to 1000000; 0 means all.
	ConnectionsPerS float64 `json:"connections_per_s"`

	MaxRetryAfter time.Duration `json:"-"` // MaxRetryAfterMs; set by check
}

const (
	maxStormRetryAfter = 30 * time.Second
	maxConnectionsPerS = 1e6
	maxStormRetryShare = 1
)

// SameConsul tells whether both sites have the same source of server lists as far as Consul goes.
func (s Site) SameConsul(other Site) bool { return reflect.DeepEqual(s.Consul, other.Consul) }

// parseSite reads the site file, and tells whether it could be read.
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

// check checks all parts but the store, and completes them with what follows from other keys.
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

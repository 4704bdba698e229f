package config

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"sprucelane.example/sprucelane/internal/daemon/discovery"
)

// Defaults and minimum values of the platform's limits.
const (
	defaultCores    = 1.0
	defaultMemoryMB = 192.0
	minMemoryMB     = 32
	defaultSockets  = 1024
	minSockets      = 64

	// Bodies may use the memory limit divided by bufferMemoryDivisor.
	bufferMemoryDivisor = 8
)

// Shares of the limit of file descriptors, in percent, without and with token introspection. With it there are two
// fronts with clients, and connections to endpoints.
const (
	clientConnsPercent, serverConnsPercent = 50, 35

	introspectionClientConnsPercent, introspectionServerConnsPercent, introspectionCheckConnsPercent = 30, 20, 12
)

// Defaults of settings.allowed.conn_idle and settings.allowed.connect_timeout.
const (
	defaultIdleTimeout    = 30 * time.Second
	defaultConnectTimeout = 250 * time.Millisecond
)

// platformFile is the platform's file; [Config] documents the keys. A limit that is 0 or absent gets its default.
type platformFile struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Control   string `json:"control"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	PeerListen string          `json:"peer_listen"`
	Peers      []string        `json:"peers"`
	PeersAll   string          `json:"peers_all"`
	Known      discovery.List  `json:"known"`
	Settings   json.RawMessage `json:"settings"`
}

// parse parses the contents of the platform's file and of the site file. It adds the errors of each file to that file's
// list and returns the parts that could be parsed.
func parse(platform, site []byte, platformErrs, siteErrs *errorList) *Config {
	var f platformFile
	c := &Config{keys: fileKeys(platform)}
	if err := json.Unmarshal(platform, &f); err != nil {
		platformErrs.add(err)
		return c
	}
	c.Name, c.Listen, c.Discovery, c.Control, c.KnownServers = f.Name, f.Listen, f.Discovery, f.Control, f.Known
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		platformErrs.addf("seed: not 64 bits in hex: %q", f.Seed)
	}
	sockets := c.parseLimits(&f, platformErrs)
	c.PeerListen = parseAddr(platformErrs, "peer_listen", f.PeerListen)
	c.Peers = parseAddrs(platformErrs, "peers", f.Peers)
	c.PeerBroadcast = parseAddr(platformErrs, "peers_all", f.PeersAll)
	if c.Deployment, err = ParseSettings(f.Settings); err == nil {
		err = c.Deployment.Validate()
	}
	platformErrs.add(err)
	if err == nil && len(f.Peers) > 0 && len(f.Peers) != c.Deployment.Gateways {
		platformErrs.addf("peers: %d addresses for settings.group_size %d", len(f.Peers), c.Deployment.Gateways)
	}
	c.Deployment.IdleTimeout = positiveOr(c.Deployment.IdleTimeout, defaultIdleTimeout)
	c.Deployment.ConnectTimeout = positiveOr(c.Deployment.ConnectTimeout, defaultConnectTimeout)
	if len(site) > 0 && !c.parseSite(site, platformErrs, siteErrs) {
		return c
	}
	c.splitSockets(sockets)
	c.Site.check(c.Deployment, siteErrs)
	return c
}

// parseLimits sets the limits of cores and memory, and returns the limit of file descriptors.
func (c *Config) parseLimits(f *platformFile, errs *errorList) (sockets int) {
	if !(f.Limits.Cores >= 0) || !(f.Limits.MemoryMB >= 0) || f.Limits.Sockets < 0 {
		errs.addf("limits: cores, memory_mb and sockets must not be negative")
	}
	c.Cores = max(1, int(math.Ceil(positiveOr(f.Limits.Cores, defaultCores))))
	c.MemoryBytes = int64(positiveOr(f.Limits.MemoryMB, defaultMemoryMB) * (1 << 20))
	if c.MemoryBytes < minMemoryMB<<20 {
		errs.addf("limits.memory_mb: %v is less than the 32 that the program needs", f.Limits.MemoryMB)
	}
	c.BufferMemory = c.MemoryBytes / bufferMemoryDivisor
	if sockets = positiveOr(f.Limits.Sockets, defaultSockets); sockets < minSockets {
		errs.addf("limits.sockets: %d is less than the 64 that the program needs", sockets)
	}
	return sockets
}

// splitSockets splits the limit of file descriptors. The site file must have been parsed before.
func (c *Config) splitSockets(sockets int) {
	c.ClientConns, c.ServerConns = sockets*clientConnsPercent/100, sockets*serverConnsPercent/100
	if c.Site.Introspection != nil {
		c.ClientConns = sockets * introspectionClientConnsPercent / 100
		c.ServerConns = sockets * introspectionServerConnsPercent / 100
		c.CheckConns = sockets * introspectionCheckConnsPercent / 100
	}
}

// positiveOr returns x, or defaultValue if x is not positive.
func positiveOr[T int | float64 | time.Duration](x, defaultValue T) T {
	if x > 0 {
		return x
	}
	return defaultValue
}

package config

import (
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"os"

	"sprucelane.example/sprucelane/internal/daemon/discovery"
)

// SiteFile is the default path of the site file, relative to the root of the repository.
const SiteFile = "deploy/sprucelane.json"

// MaxControlConns is the number of operators' connections that may be open at once at Config.Control.
const MaxControlConns = 16

// Config is the whole configuration of a gateway.
type Config struct {
	// Name identifies the gateway to its peers and successors. Required if knowledge or the store is enabled.
	Name string
	// Listen is the host:port for clients. Required.
	Listen string
	// Discovery is the host:port of the platform's agent, the source of server lists. Required without Site.Consul.
	Discovery string
	// Control is the host:port for operators' calls (package front/control). Empty: no operators' calls and no upgrades.
	Control string
	// Seed makes all random numbers of the gateway reproducible: 64 bits, in hex in the file. Required.
	Seed uint64

	// Cores is the number of threads that run Go code at once (GOMAXPROCS): limits.cores, rounded up. Default 1.
	Cores int
	// MemoryBytes is the memory limit of all processes of the gateway together: limits.memory_mb. Default 192 MiB, at
	// least 32 MiB.
	MemoryBytes int64
	// BufferMemory is the memory limit of the bodies of requests and responses, in bytes: an eighth of MemoryBytes.
	BufferMemory int64

	// ClientConns, ServerConns and CheckConns split the limit of file descriptors (limits.sockets, default 1024, at
	// least 64): connections of clients to each front, connections to servers, and connections to endpoints of token
	// introspection. The rest is for discovery, peers, operators and files.
	ClientConns, ServerConns, CheckConns int

	// PeerListen is the UDP address for datagrams of peers. Zero value: no peers.
	PeerListen netip.AddrPort
	// Peers are the UDP addresses of all gateways, including this one, in the order of their numbers. It is empty or
	// has settings.group_size addresses.
	Peers []netip.AddrPort
	// PeerBroadcast is an address that reaches all peers at once (peers_all). Zero value: none.
	PeerBroadcast netip.AddrPort

	// KnownServers is a cached list of servers that is used until discovery has answered.
	KnownServers discovery.List
	// Deployment holds the fleet's settings.
	Deployment Deployment
	// Site holds the site file.
	Site Site

	keys []string // paths of the keys that this program reads and that the platform's file has
}

// Load reads the platform's file, the environment and the site file, which may be missing. [Errors] splits its error
// into single errors.
func Load(getenv func(string) string, siteFile string) (*Config, error) {
	return load(getenv, siteFile, nil)
}

// Reload reads the sources again in a process that runs with the configuration inForce. Unlike in Load,
// ROUTER_DISCOVERY doesn't override the file: the environment is as old as the process while the file has been
// replaced since, so the variable may name an agent that no longer exists. A key that was in the file of inForce and
// is missing in the new file is an error.
func Reload(getenv func(string) string, siteFile string, inForce *Config) (*Config, error) {
	return load(getenv, siteFile, inForce)
}

// load reads all sources. inForce is the current configuration, nil at the start of a process.
func load(getenv func(string) string, siteFile string, inForce *Config) (*Config, error) {
	path := getenv("ROUTER_CONFIG")
	if path == "" {
		return nil, errors.New("ROUTER_CONFIG: not set")
	}
	platform, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	site, err := os.ReadFile(siteFile)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("%s: %w", siteFile, err)
	}
	var errs errorList
	platformErrs := errorsOfFile(&errs, path)
	c := parse(platform, site, platformErrs, errorsOfFile(&errs, siteFile))
	if inForce != nil && c.keys != nil {
		for _, err := range missingKeys(inForce.keys, c.keys) {
			platformErrs.add(err)
		}
	}
	c.applyEnvironment(getenv, inForce != nil)
	c.checkAddresses(&errs)
	return c, errs.err()
}

// Parse parses the contents of the platform's file and of the site file, which may be empty. It doesn't read the
// environment and doesn't check the addresses that the environment may override.
func Parse(platform, site []byte) (*Config, error) {
	var errs errorList
	c := parse(platform, site, &errs, errorsOfFile(&errs, SiteFile))
	return c, errs.err()
}

// applyEnvironment overrides values of the file with those of the environment. See Reload for ROUTER_DISCOVERY.
func (c *Config) applyEnvironment(getenv func(string) string, reload bool) {
	for _, variable := range []struct {
		name        string
		field       *string
		fileIsNewer bool
	}{
		{"ROUTER_NAME", &c.Name, false},
		{"ROUTER_LISTEN", &c.Listen, false},
		{"ROUTER_DISCOVERY", &c.Discovery, reload && c.Discovery != ""},
		{"ROUTER_CONTROL", &c.Control, false},
	} {
		if value := getenv(variable.name); value != "" && !variable.fileIsNewer {
			*variable.field = value
		}
	}
}

// checkAddresses checks the addresses that the environment may have set. Operators have a separate address with its own
// connections, so that they can call regardless of the number of connected clients.
func (c *Config) checkAddresses(errs *errorList) {
	checkHostPort(errs, "listen", c.Listen)
	if c.Control != "" {
		checkHostPort(errs, "control", c.Control)
		c.ClientConns -= 1 + MaxControlConns
	}
	if c.Site.Consul == nil {
		checkHostPort(errs, "discovery", c.Discovery)
	}
}

// Summary returns a description of the configuration in one line of key=value pairs.
func (c *Config) Summary() string {
	text := fmt.Sprintf("name=%s listen=%s discovery=%s gateways=%d classes=%d plans=%d known=%d memory_mb=%d "+
		"client_sockets=%d member_sockets=%d", c.Name, c.Listen, c.Discovery, c.Deployment.Gateways,
		len(c.Deployment.Classes), len(c.Deployment.Plans), len(c.KnownServers.Instances), c.MemoryBytes>>20,
		c.ClientConns, c.ServerConns)
	if c.Control != "" {
		text += " control=" + c.Control
	}
	if c.Site.Consul != nil {
		text += " consul=" + c.Site.Consul.Addr
	}
	if c.Site.Introspection != nil {
		text += " introspection=" + c.Site.Introspection.Listen
	}
	if k := c.Site.Knowledge; k != nil {
		text += fmt.Sprintf(" knowledge=%s peers=%d", k.Listen, len(k.Peers))
	}
	if c.Site.Storm != nil {
		text += " storm=on"
	}
	if c.Site.Store != nil {
		text += " store=" + c.Site.Store.Path
	}
	return text
}

// Package config owns configuration: the one place where it is read, checked and given defaults, for the gateway
// and, as far as the settings go, the adapter. Errors name the faulty key. It must never open a socket or decide
// anything else.
package config

import (
	"bytes"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"net"
	"net/netip"
	"net/url"
	"os"
	"reflect"
	"slices"
	"strconv"
	"time"

	"sprucelane.example/sprucelane/internal/discovery"
)

// SiteFile holds what the site's own staff set, from the root of the repository. Without it the introspection
// front and Consul are off.
const SiteFile = "deploy/sprucelane.json"

// Config is all that a gateway is told.
type Config struct {
	Name, Listen, Discovery string
	Seed                    uint64
	Cores                   int
	MemoryBytes             int64
	ClientSockets           int   // of the descriptor limit, for the clients of each virtual server
	MemberSockets           int   // for pool members
	CheckSockets            int   // and for introspection endpoints
	LongAnswers             int64 // bytes of memory that unusually long answers may hold at once
	PeerListen, PeersAll    netip.AddrPort
	Peers                   []netip.AddrPort
	Known                   discovery.List
	Deployment              Deployment
	Site                    Site
}

// Site is what the site file holds.
type Site struct {
	Consul        *discovery.Consul `json:"consul"`
	Introspection *Introspection    `json:"introspection"`

	introspection []byte // as it was read
}

// Introspection tells where the token introspection front listens and whom it asks.
type Introspection struct {
	Listen       string            `json:"listen"`
	CertFile     string            `json:"cert_file"` // TLS towards clients; none: plain
	KeyFile      string            `json:"key_file"`
	Endpoints    []string          `json:"endpoints"` // URLs, all with one scheme and path
	CAFile       string            `json:"ca_file"`   // PEM roots for https endpoints; none: the machine's
	ClientID     string            `json:"client_id"` // the gateway's own, at the endpoints
	ClientSecret string            `json:"client_secret"`
	TimeoutMs    int               `json:"timeout_ms"`    // of one check; a transaction's own deadline cuts it
	Scopes       map[string]string `json:"scopes"`        // class: the scope its tokens need
	AccountClaim string            `json:"account_claim"` // of a verdict: must name the customer, in hex; none: not compared
	Realm        string            `json:"realm"`
	Tools        []Tool            `json:"tools"`
	PeerListen   string            `json:"peer_listen"` // the checks' own quota messages; none: each gateway holds its part
	Peers        []string          `json:"peers"`

	Timeout time.Duration    `json:"-"`
	Path    string           `json:"-"`
	TLS     bool             `json:"-"`
	Roots   *x509.CertPool   `json:"-"`
	Link    netip.AddrPort   `json:"-"`
	Linked  []netip.AddrPort `json:"-"`
}

// Tool is one of the user's tools that may ask about tokens.
type Tool struct {
	ID      string `json:"id"`
	Secret  string `json:"secret"`
	Account uint64 `json:"account"` // the customer whose quota its questions draw from
	Plan    string `json:"plan"`
}

// Load reads what the platform's variables name, then the site file.
func Load(getenv func(string) string, siteFile string) (*Config, error) {
	return load(getenv, siteFile, true)
}

// Reload reads both again. A process keeps the environment that it was started with, while the file has been
// replaced since: where the two differ on what may move, the file is right, and the variable would lead to an
// address that nobody answers at any more.
func Reload(getenv func(string) string, siteFile string) (*Config, error) {
	return load(getenv, siteFile, false)
}

func load(getenv func(string) string, siteFile string, atStart bool) (*Config, error) {
	path := getenv("ROUTER_CONFIG")
	if path == "" {
		return nil, errors.New("ROUTER_CONFIG: not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	site, err := os.ReadFile(siteFile)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("%s: %w", siteFile, err)
	}
	c, err := Parse(text, site)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for key, to := range map[string]*string{"ROUTER_NAME": &c.Name, "ROUTER_LISTEN": &c.Listen,
		"ROUTER_DISCOVERY": &c.Discovery} {
		if v := getenv(key); v != "" && (atStart || *to == "" || to != &c.Discovery) {
			*to = v
		}
	}
	return c, c.check()
}

// Fixed names the keys in which a reloaded configuration differs and that hold until the next start.
func (c *Config) Fixed(next *Config) (keys []string) {
	for _, k := range []struct {
		name string
		same bool
	}{
		{"name", c.Name == next.Name}, {"listen", c.Listen == next.Listen},
		{"peer_listen", c.PeerListen == next.PeerListen}, {"peers", slices.Equal(c.Peers, next.Peers)},
		{"peers_all", c.PeersAll == next.PeersAll}, {"settings", reflect.DeepEqual(c.Deployment, next.Deployment)},
		{"introspection", bytes.Equal(c.Site.introspection, next.Site.introspection)},
	} {
		if !k.same {
			keys = append(keys, k.name)
		}
	}
	return keys
}

// Parse reads the platform's configuration and the site's, which may be empty.
func Parse(text, site []byte) (*Config, error) {
	var f struct {
		Name      string `json:"name"`
		Listen    string `json:"listen"`
		Discovery string `json:"discovery"`
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
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	c := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Known: f.Known}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: not 64 bits in hex: %q", f.Seed)
	}
	if !(f.Limits.Cores >= 0) || !(f.Limits.MemoryMB >= 0) || f.Limits.Sockets < 0 {
		return nil, errors.New("limits: cores, memory_mb and sockets must not be negative")
	}
	c.Cores = max(1, int(math.Ceil(orElse(f.Limits.Cores, 1))))
	c.MemoryBytes = int64(orElse(f.Limits.MemoryMB, 192) * (1 << 20))
	if c.MemoryBytes < 32<<20 {
		return nil, fmt.Errorf("limits.memory_mb: %v is less than the 32 that the program needs", f.Limits.MemoryMB)
	}
	c.LongAnswers = c.MemoryBytes / 8
	sockets := int(orElse(float64(f.Limits.Sockets), 1024))
	if sockets < 64 {
		return nil, fmt.Errorf("limits.sockets: %d is less than the 64 that the program needs", sockets)
	}
	if f.PeerListen != "" {
		if c.PeerListen, err = netip.ParseAddrPort(f.PeerListen); err != nil {
			return nil, fmt.Errorf("peer_listen: %w", err)
		}
	}
	if c.Peers, err = addrs("peers", f.Peers); err != nil {
		return nil, err
	}
	if f.PeersAll != "" {
		if c.PeersAll, err = netip.ParseAddrPort(f.PeersAll); err != nil {
			return nil, fmt.Errorf("peers_all: %w", err)
		}
	}
	if c.Deployment, err = ParseSettings(f.Settings); err != nil {
		return nil, err
	}
	if len(c.Peers) > 0 && len(c.Peers) != c.Deployment.Gateways {
		return nil, fmt.Errorf("peers: %d addresses for settings.group_size %d", len(c.Peers), c.Deployment.Gateways)
	}
	c.Deployment.ConnIdle = time.Duration(orElse(float64(c.Deployment.ConnIdle), float64(30*time.Second)))
	c.Deployment.ConnectWait = time.Duration(orElse(float64(c.Deployment.ConnectWait), float64(250*time.Millisecond)))
	if len(site) > 0 {
		if err := json.Unmarshal(site, &c.Site); err != nil {
			return nil, fmt.Errorf("%s: %w", SiteFile, err)
		}
		if c.Site.Introspection != nil {
			c.Site.introspection, _ = json.Marshal(c.Site.Introspection)
		}
	}
	// What is left over is for discovery, peers and the runtime's own.
	c.ClientSockets, c.MemberSockets = sockets*50/100, sockets*35/100
	if c.Site.Introspection != nil { // two virtual servers, and the checks have connections of their own
		c.ClientSockets, c.MemberSockets, c.CheckSockets = sockets*30/100, sockets*20/100, sockets*12/100
	}
	return c, c.Site.check(c.Deployment)
}

func orElse(x, standard float64) float64 {
	if x > 0 {
		return x
	}
	return standard
}

func addrs(key string, texts []string) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for i, t := range texts {
		a, err := netip.ParseAddrPort(t)
		if err != nil {
			return nil, fmt.Errorf("%s[%d]: %w", key, i, err)
		}
		out = append(out, a)
	}
	return out, nil
}

// check looks at what the environment may have changed.
func (c *Config) check() error {
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if c.Site.Consul != nil {
		return nil
	}
	if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	return nil
}

func (s *Site) check(d Deployment) error {
	if c := s.Consul; c != nil {
		if _, _, err := net.SplitHostPort(c.Addr); err != nil {
			return fmt.Errorf("consul.addr: %w", err)
		}
		if c.Service == "" {
			return errors.New("consul.service: not set")
		}
	}
	in := s.Introspection
	if in == nil {
		return nil
	}
	if _, _, err := net.SplitHostPort(in.Listen); err != nil {
		return fmt.Errorf("introspection.listen: %w", err)
	}
	if (in.CertFile == "") != (in.KeyFile == "") {
		return errors.New("introspection.cert_file, key_file: both or none")
	}
	if len(in.Endpoints) == 0 {
		return errors.New("introspection.endpoints: none given")
	}
	for i, e := range in.Endpoints {
		u, err := url.Parse(e)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Port() == "" || u.RawQuery != "" {
			return fmt.Errorf("introspection.endpoints[%d]: not a URL of the form http://host:port/path", i)
		}
		tls, path := u.Scheme == "https", u.EscapedPath()
		if i > 0 && (tls != in.TLS || path != in.Path) {
			return fmt.Errorf("introspection.endpoints[%d]: scheme and path must be those of the first", i)
		}
		in.TLS, in.Path, in.Endpoints[i] = tls, path, u.Host
	}
	if in.CAFile != "" {
		pem, err := os.ReadFile(in.CAFile)
		if err != nil {
			return fmt.Errorf("introspection.ca_file: %w", err)
		}
		if in.Roots = x509.NewCertPool(); !in.Roots.AppendCertsFromPEM(pem) {
			return errors.New("introspection.ca_file: holds no certificate")
		}
	}
	if in.ClientID == "" || in.ClientSecret == "" {
		return errors.New("introspection.client_id, client_secret: not set")
	}
	if in.TimeoutMs < 0 {
		return errors.New("introspection.timeout_ms: must not be negative")
	}
	in.Timeout = time.Duration(orElse(float64(in.TimeoutMs), 1000)) * time.Millisecond
	if in.Realm == "" {
		in.Realm = "sprucelane"
	}
	for class := range in.Scopes {
		if d.ClassNumber(class) < 0 {
			return fmt.Errorf("introspection.scopes: settings know no class %q", class)
		}
	}
	for i, t := range in.Tools {
		if t.ID == "" || t.Secret == "" {
			return fmt.Errorf("introspection.tools[%d].id, secret: not set", i)
		}
		if d.PlanNumber(t.Plan) < 0 {
			return fmt.Errorf("introspection.tools[%d].plan: settings know no plan %q", i, t.Plan)
		}
	}
	var err error
	if in.PeerListen != "" {
		if in.Link, err = netip.ParseAddrPort(in.PeerListen); err != nil {
			return fmt.Errorf("introspection.peer_listen: %w", err)
		}
		if in.Linked, err = addrs("introspection.peers", in.Peers); err != nil {
			return err
		}
		if len(in.Linked) != d.Gateways {
			return fmt.Errorf("introspection.peers: %d addresses for settings.group_size %d", len(in.Linked), d.Gateways)
		}
	}
	return nil
}

// ClassNumber gives the number of a class, -1 where there is none of that name.
func (d Deployment) ClassNumber(name string) int {
	for i, c := range d.Classes {
		if c.Name == name {
			return i
		}
	}
	return -1
}

// PlanNumber gives the number of a plan, -1 where there is none of that name.
func (d Deployment) PlanNumber(name string) int {
	for i, p := range d.Plans {
		if p.Name == name {
			return i
		}
	}
	return -1
}

// LongestDeadline is the longest that any client waits.
func (d Deployment) LongestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, c := range d.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// Package config owns configuration: the one place where it is read, checked and given defaults, for the gateway
// and, as far as the settings go, the adapter. Errors name the faulty key. It must never open a socket or decide
// anything else.
package config

import (
	"bytes"
	"cmp"
	"crypto/tls"
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
	Name, Listen, Discovery   string
	Control                   string // where operators call; empty: nowhere
	Seed                      uint64
	Cores                     int
	MemoryBytes               int64
	ClientConns               int   // of the descriptor limit, for the clients of each virtual server
	ServerConns               int   // for pool members
	CheckConns                int   // and for introspection endpoints
	BufferMemory              int64 // bytes of memory that bodies and answers may hold together
	PeerListen, PeerBroadcast netip.AddrPort
	Peers                     []netip.AddrPort
	KnownServers              discovery.List
	Deployment                Deployment
	Site                      Site

	keys []string // that the file has, of those that the program reads
}

// ControlCallers is how many operators' calls may be open at once.
const MaxControlConns = 16

// Site is what the site file holds.
type Site struct {
	Consul        *discovery.Consul `json:"consul"`
	Introspection *Introspection    `json:"introspection"`
	Knowledge     *Knowledge        `json:"knowledge"`
	Storm         *Storm            `json:"storm"`
	Store         *Store            `json:"store"`

	introspectionJSON, knowledgeJSON []byte // as they were read
}

// Store is the folder that outlasts the process.
type Store struct {
	Path    string `json:"path"`     // made where it isn't there; of this gateway alone
	FlushMs int    `json:"flush_ms"` // that changes wait for the disk at most; 0: 50
	MaxMB   int    `json:"most_mb"`  // of all files; 0: 256
}

// FlushEvery is how long changes wait for the disk at most.
func (s Store) FlushInterval() time.Duration {
	return time.Duration(cmp.Or(s.FlushMs, 50)) * time.Millisecond
}

// MostBytes is how large the folder may get.
func (s Store) MaxBytes() int64 { return int64(cmp.Or(s.MaxMB, 256)) << 20 }

// SameConsul tells whether the pool comes from the same place.
func (s Site) SameConsul(o Site) bool { return reflect.DeepEqual(s.Consul, o.Consul) }

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

	Timeout   time.Duration    `json:"-"`
	Path      string           `json:"-"`
	TLS       bool             `json:"-"`
	Roots     *x509.CertPool   `json:"-"`
	PeerAddr  netip.AddrPort   `json:"-"`
	PeerAddrs []netip.AddrPort `json:"-"`
}

// Knowledge tells where this gateway's peers may ask what it knows of pool members, and which peers it asks.
type Knowledge struct {
	Listen       string   `json:"listen"`    // empty: nobody can ask
	Peers        []string `json:"peers"`     // empty: nobody is asked
	CertFile     string   `json:"cert_file"` // of this gateway, towards those that ask and those it asks
	KeyFile      string   `json:"key_file"`
	CAFile       string   `json:"ca_file"`       // PEM roots of the peers' certificates
	ServerName   string   `json:"server_name"`   // that the peers' certificates hold; empty: the host of their address
	Plain        bool     `json:"plain"`         // no TLS at all
	WaitMs       *int     `json:"wait_ms"`       // that the start waits for peers at most; none: 300
	SuspectShare float64  `json:"suspect_share"` // of the members that peers' word may make suspects; 0: a third

	Wait           time.Duration `json:"-"`
	Server, Client *tls.Config   `json:"-"` // nil: plain
}

// Storm turns the damping of retry storms on.
type Storm struct {
	RetryShare      float64 `json:"retry_share"`       // retries let in for each first try in a storm; 0: 0.2
	MaxRetryAfterMs int     `json:"most_wait_ms"`      // longest wait that a refusal may name; 0: the platform's limit, 30 s at most
	ConnectionsPerS float64 `json:"connections_per_s"` // new connections a second taken in a storm; 0: all

	MaxRetryAfter time.Duration `json:"-"`
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
	return load(getenv, siteFile, nil)
}

// Reload reads both again. A process keeps the environment that it was started with, while the file has been
// replaced since: where the two differ on what may move, the file is right, and the variable would lead to an
// address that nobody answers at any more. A file that lacks what the one in force has is a fault.
func Reload(getenv func(string) string, siteFile string, inForce *Config) (*Config, error) {
	return load(getenv, siteFile, inForce)
}

func load(getenv func(string) string, siteFile string, inForce *Config) (*Config, error) {
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
	var all errorList
	wrong := errorsOfFile(&all, path)
	c := parse(text, site, wrong, errorsOfFile(&all, siteFile))
	if inForce != nil && c.keys != nil {
		for _, err := range missingKeys(inForce.keys, c.keys) {
			wrong.add(err)
		}
	}
	for key, to := range map[string]*string{"ROUTER_NAME": &c.Name, "ROUTER_LISTEN": &c.Listen,
		"ROUTER_DISCOVERY": &c.Discovery, "ROUTER_CONTROL": &c.Control} {
		if v := getenv(key); v != "" && (inForce == nil || *to == "" || to != &c.Discovery) {
			*to = v
		}
	}
	c.check(&all)
	return c, all.err()
}

// faults gathers all that is wrong, so that it can be mended in one go.
type errorList struct {
	file   string // the file that it stands in
	errs   []error
	parent *errorList
}

func errorsOfFile(all *errorList, file string) *errorList { return &errorList{file: file, parent: all} }

// add keeps a fault, whose text begins with the key; none is nil.
func (f *errorList) add(err error) {
	switch {
	case err == nil:
	case f.parent != nil:
		f.parent.add(fmt.Errorf("%s: %w", f.file, err))
	default:
		f.errs = append(f.errs, err)
	}
}

func (f *errorList) addf(format string, values ...any) { f.add(fmt.Errorf(format, values...)) }

func (f *errorList) err() error { return errors.Join(f.errs...) }

// Faults gives the faults that an error of Load, Reload or Parse holds, each beginning with its file, if it stands in
// one, and its key.
func Errors(err error) (list []error) {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		return joined.Unwrap()
	}
	if err != nil {
		list = append(list, err)
	}
	return list
}

// Summary tells in a line what the configuration makes.
func (c *Config) Summary() string {
	text := fmt.Sprintf("name=%s listen=%s discovery=%s gateways=%d classes=%d plans=%d known=%d memory_mb=%d client_sockets=%d member_sockets=%d",
		c.Name, c.Listen, c.Discovery, c.Deployment.Gateways, len(c.Deployment.Classes), len(c.Deployment.Plans),
		len(c.KnownServers.Instances), c.MemoryBytes>>20, c.ClientConns, c.ServerConns)
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

// Fixed names the keys in which a reloaded configuration differs and that hold until the next start.
func (c *Config) RestartKeys(next *Config) (keys []string) {
	for _, k := range []struct {
		name string
		same bool
	}{
		{"name", c.Name == next.Name}, {"listen", c.Listen == next.Listen}, {"control", c.Control == next.Control},
		{"peer_listen", c.PeerListen == next.PeerListen}, {"peers", slices.Equal(c.Peers, next.Peers)},
		{"peers_all", c.PeerBroadcast == next.PeerBroadcast},
		{"introspection", bytes.Equal(c.Site.introspectionJSON, next.Site.introspectionJSON)},
		{"knowledge", bytes.Equal(c.Site.knowledgeJSON, next.Site.knowledgeJSON)},
		{"storm", reflect.DeepEqual(c.Site.Storm, next.Site.Storm)},
		{"store", reflect.DeepEqual(c.Site.Store, next.Site.Store)},
	} {
		if !k.same {
			keys = append(keys, k.name)
		}
	}
	_, settings := next.Deployment.WithRestartKeysOf(c.Deployment)
	return append(keys, settings...)
}

// Parse reads the platform's configuration and the site's, which may be empty.
func Parse(text, site []byte) (*Config, error) {
	var all errorList
	c := parse(text, site, &all, errorsOfFile(&all, SiteFile))
	return c, all.err()
}

// file is the platform's configuration file.
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

// parse keeps what is wrong with the platform's and with the site's configuration, and gives what could be read.
func parse(text, site []byte, wrong, siteWrong *errorList) *Config {
	var f platformFile
	c := &Config{keys: fileKeys(text)}
	if err := json.Unmarshal(text, &f); err != nil {
		wrong.add(err)
		return c
	}
	c.Name, c.Listen, c.Discovery, c.Control, c.KnownServers = f.Name, f.Listen, f.Discovery, f.Control, f.Known
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		wrong.addf("seed: not 64 bits in hex: %q", f.Seed)
	}
	if !(f.Limits.Cores >= 0) || !(f.Limits.MemoryMB >= 0) || f.Limits.Sockets < 0 {
		wrong.addf("limits: cores, memory_mb and sockets must not be negative")
	}
	c.Cores = max(1, int(math.Ceil(positiveOr(f.Limits.Cores, 1))))
	c.MemoryBytes = int64(positiveOr(f.Limits.MemoryMB, 192) * (1 << 20))
	if c.MemoryBytes < 32<<20 {
		wrong.addf("limits.memory_mb: %v is less than the 32 that the program needs", f.Limits.MemoryMB)
	}
	c.BufferMemory = c.MemoryBytes / 8
	sockets := int(positiveOr(float64(f.Limits.Sockets), 1024))
	if sockets < 64 {
		wrong.addf("limits.sockets: %d is less than the 64 that the program needs", sockets)
	}
	c.PeerListen = parseAddr(wrong, "peer_listen", f.PeerListen)
	c.Peers = parseAddrs(wrong, "peers", f.Peers)
	c.PeerBroadcast = parseAddr(wrong, "peers_all", f.PeersAll)
	if c.Deployment, err = ParseSettings(f.Settings); err == nil {
		err = c.Deployment.Validate()
	}
	wrong.add(err)
	if err == nil && len(f.Peers) > 0 && len(f.Peers) != c.Deployment.Gateways {
		wrong.addf("peers: %d addresses for settings.group_size %d", len(f.Peers), c.Deployment.Gateways)
	}
	c.Deployment.IdleTimeout = time.Duration(positiveOr(float64(c.Deployment.IdleTimeout), float64(30*time.Second)))
	c.Deployment.ConnectTimeout = time.Duration(positiveOr(float64(c.Deployment.ConnectTimeout), float64(250*time.Millisecond)))
	if len(site) > 0 {
		strict := json.NewDecoder(bytes.NewReader(site)) // a key that was mistyped would be off without a word
		strict.DisallowUnknownFields()
		if err := strict.Decode(&c.Site); err != nil {
			siteWrong.add(err)
			return c
		}
		if c.Site.Introspection != nil {
			c.Site.introspectionJSON, _ = json.Marshal(c.Site.Introspection)
		}
		if c.Site.Knowledge != nil {
			c.Site.knowledgeJSON, _ = json.Marshal(c.Site.Knowledge)
			if c.Name == "" {
				wrong.addf("name: not set, though knowledge is on")
			}
		}
		if s := c.Site.Store; s != nil {
			if s.Path == "" {
				siteWrong.addf("store.path: not set")
			}
			if s.FlushMs < 0 || s.FlushMs > 10000 {
				siteWrong.addf("store.flush_ms: must be 0 to 10000")
			}
			if s.MaxMB < 0 || s.MaxMB > 0 && s.MaxMB < 16 {
				siteWrong.addf("store.most_mb: must be 16 or more")
			}
			if c.Name == "" {
				wrong.addf("name: not set, though store is on")
			}
		}
	}
	// What is left over is for discovery, peers and the runtime's own.
	c.ClientConns, c.ServerConns = sockets*50/100, sockets*35/100
	if c.Site.Introspection != nil { // two virtual servers, and the checks have connections of their own
		c.ClientConns, c.ServerConns, c.CheckConns = sockets*30/100, sockets*20/100, sockets*12/100
	}
	c.Site.check(c.Deployment, siteWrong)
	return c
}

func positiveOr(x, standard float64) float64 {
	if x > 0 {
		return x
	}
	return standard
}

// addr reads an address, the zero value where none is given.
func parseAddr(wrong *errorList, key, text string) (a netip.AddrPort) {
	if text != "" {
		var err error
		if a, err = netip.ParseAddrPort(text); err != nil {
			wrong.addf("%s: %w", key, err)
		}
	}
	return a
}

func parseAddrs(wrong *errorList, key string, texts []string) (list []netip.AddrPort) {
	for i, t := range texts {
		if t == "" {
			t = " " // empty is no address here
		}
		list = append(list, parseAddr(wrong, fmt.Sprintf("%s[%d]", key, i), t))
	}
	return list
}

func checkHostPort(wrong *errorList, key, text string) {
	if _, _, err := net.SplitHostPort(text); err != nil {
		wrong.addf("%s: %w", key, err)
	}
}

// check looks at what the environment may have changed.
func (c *Config) check(wrong *errorList) {
	checkHostPort(wrong, "listen", c.Listen)
	if c.Control != "" { // its callers have descriptors of their own, whatever clients hold
		checkHostPort(wrong, "control", c.Control)
		c.ClientConns -= 1 + MaxControlConns
	}
	if c.Site.Consul == nil {
		checkHostPort(wrong, "discovery", c.Discovery)
	}
}

func (s *Site) check(d Deployment, wrong *errorList) {
	if c := s.Consul; c != nil {
		checkHostPort(wrong, "consul.addr", c.Addr)
		if c.Service == "" {
			wrong.addf("consul.service: not set")
		}
	}
	if s.Introspection != nil {
		s.Introspection.check(d, wrong)
	}
	if s.Knowledge != nil {
		s.Knowledge.check(wrong)
	}
	if st := s.Storm; st != nil {
		if st.MaxRetryAfter = time.Duration(st.MaxRetryAfterMs) * time.Millisecond; st.MaxRetryAfterMs < 0 || st.MaxRetryAfter > 30*time.Second {
			wrong.addf("storm.most_wait_ms: must be 0 to 30000")
		}
		if !(st.RetryShare >= 0 && st.RetryShare <= 1) {
			wrong.addf("storm.retry_share: must be 0 to 1")
		}
		if !(st.ConnectionsPerS >= 0 && st.ConnectionsPerS <= 1e6) {
			wrong.addf("storm.connections_per_s: must be 0 to 1000000")
		}
	}
}

func (in *Introspection) check(d Deployment, wrong *errorList) {
	checkHostPort(wrong, "introspection.listen", in.Listen)
	if (in.CertFile == "") != (in.KeyFile == "") {
		wrong.addf("introspection.cert_file, key_file: both or none")
	}
	if len(in.Endpoints) == 0 {
		wrong.addf("introspection.endpoints: none given")
	}
	for i, e := range in.Endpoints {
		u, err := url.Parse(e)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Port() == "" || u.RawQuery != "" {
			wrong.addf("introspection.endpoints[%d]: not a URL of the form http://host:port/path", i)
			continue
		}
		tls, path := u.Scheme == "https", u.EscapedPath()
		if i > 0 && (tls != in.TLS || path != in.Path) {
			wrong.addf("introspection.endpoints[%d]: scheme and path must be those of the first", i)
		}
		in.TLS, in.Path, in.Endpoints[i] = tls, path, u.Host
	}
	if in.CAFile != "" {
		pem, err := os.ReadFile(in.CAFile)
		if err != nil {
			wrong.addf("introspection.ca_file: %w", err)
		} else if in.Roots = x509.NewCertPool(); !in.Roots.AppendCertsFromPEM(pem) {
			wrong.addf("introspection.ca_file: holds no certificate")
		}
	}
	if in.ClientID == "" || in.ClientSecret == "" {
		wrong.addf("introspection.client_id, client_secret: not set")
	}
	if in.TimeoutMs < 0 {
		wrong.addf("introspection.timeout_ms: must not be negative")
	}
	in.Timeout = time.Duration(positiveOr(float64(in.TimeoutMs), 1000)) * time.Millisecond
	if in.Realm == "" {
		in.Realm = "sprucelane"
	}
	for class := range in.Scopes {
		if d.ClassIndex(class) < 0 {
			wrong.addf("introspection.scopes: settings know no class %q", class)
		}
	}
	for i, t := range in.Tools {
		if t.ID == "" || t.Secret == "" {
			wrong.addf("introspection.tools[%d].id, secret: not set", i)
		}
		if d.PlanIndex(t.Plan) < 0 {
			wrong.addf("introspection.tools[%d].plan: settings know no plan %q", i, t.Plan)
		}
	}
	if in.PeerListen != "" {
		in.PeerAddr = parseAddr(wrong, "introspection.peer_listen", in.PeerListen)
		if in.PeerAddrs = parseAddrs(wrong, "introspection.peers", in.Peers); len(in.PeerAddrs) != d.Gateways {
			wrong.addf("introspection.peers: %d addresses for settings.group_size %d", len(in.PeerAddrs), d.Gateways)
		}
	}
}

const defaultKnowledgeWaitMs = 300 // ms

func (k *Knowledge) check(wrong *errorList) {
	if k.Listen == "" && len(k.Peers) == 0 {
		wrong.addf("knowledge.listen, peers: neither is given")
	}
	if k.Listen != "" {
		checkHostPort(wrong, "knowledge.listen", k.Listen)
	}
	for i, p := range k.Peers {
		checkHostPort(wrong, fmt.Sprintf("knowledge.peers[%d]", i), p)
	}
	if k.Wait = defaultKnowledgeWaitMs * time.Millisecond; k.WaitMs != nil {
		k.Wait = time.Duration(*k.WaitMs) * time.Millisecond
	}
	if k.Wait < 0 || k.Wait > 10*time.Second {
		wrong.addf("knowledge.wait_ms: must be 0 to 10000")
	}
	if !(k.SuspectShare >= 0 && k.SuspectShare <= 0.5) {
		wrong.addf("knowledge.suspect_share: must be 0 to 0.5")
	}
	if k.Plain {
		if k.CertFile != "" || k.KeyFile != "" || k.CAFile != "" {
			wrong.addf("knowledge.plain: true, though cert_file, key_file or ca_file are given")
		}
		return
	}
	var err error
	if k.Server, k.Client, err = MutualTLS(k.CertFile, k.KeyFile, k.CAFile, k.ServerName); err != nil {
		wrong.addf("knowledge.%w", err)
	}
}

// MutualTLS reads a certificate with its key and the roots for the other side's, for both directions. Errors begin
// with the key that is wrong.
func MutualTLS(certFile, keyFile, caFile, serverName string) (server, client *tls.Config, err error) {
	if certFile == "" || keyFile == "" || caFile == "" {
		return nil, nil, errors.New("cert_file, key_file, ca_file: all three are needed, unless plain is true")
	}
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, nil, fmt.Errorf("cert_file, key_file: %w", err)
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, nil, fmt.Errorf("ca_file: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, nil, errors.New("ca_file: holds no certificate")
	}
	server = &tls.Config{Certificates: []tls.Certificate{cert}, ClientCAs: roots, ClientAuth: tls.RequireAndVerifyClientCert,
		MinVersion: tls.VersionTLS13}
	client = &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: roots, ServerName: serverName, MinVersion: tls.VersionTLS13}
	return server, client, nil
}

// ClassNumber gives the number of a class, -1 where there is none of that name.
func (d Deployment) ClassIndex(name string) int {
	for i, c := range d.Classes {
		if c.Name == name {
			return i
		}
	}
	return -1
}

// PlanNumber gives the number of a plan, -1 where there is none of that name.
func (d Deployment) PlanIndex(name string) int {
	for i, p := range d.Plans {
		if p.Name == name {
			return i
		}
	}
	return -1
}

// LongestDeadline is the longest that any client waits.
func (d Deployment) MaxDeadline() time.Duration {
	longest := time.Duration(0)
	for _, c := range d.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

package config

import (
	"crypto/x509"
	"net/netip"
	"net/url"
	"os"
	"time"
)

// Introspection is the configuration of the front with token introspection (package front/introspect): where it
// listens, which endpoints check tokens (RFC 7662), and which tools may send introspection requests to this gateway.
type Introspection struct {
	// Listen is the front's host:port. Required.
	Listen string `json:"listen"`
	// CertFile and KeyFile are PEM files with the front's certificate and key. Without both, the front has no TLS.
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`

	// Endpoints are the URLs that check tokens, of the form http://host:port/path, all with the same scheme and path.
	// At least one. check replaces each URL by its host:port.
	Endpoints []string `json:"endpoints"`
	// CAFile is a PEM file with the root certificates for https endpoints. Empty: the system's.
	CAFile string `json:"ca_file"`
	// ClientID and ClientSecret are the gateway's own credentials at the endpoints. Required.
	ClientID     string `json:"client_id"`
	ClientSecret string `json:"client_secret"`
	// TimeoutMs is the maximum time of a check in ms; an earlier deadline of the request shortens it. 0 means 1000.
	TimeoutMs int `json:"timeout_ms"`
	// Scopes maps a class of requests to the scope that its tokens must have. A class without an entry requires none.
	Scopes map[string]string `json:"scopes"`
	// AccountClaim is the name of the claim in an endpoint's answer that must have the customer's number, in hex.
	// Empty: the customer is not checked.
	AccountClaim string `json:"account_claim"`
	// Realm is the realm in errors to clients. Default "sprucelane".
	Realm string `json:"realm"`
	// Tools may send introspection requests to this gateway.
	Tools []Tool `json:"tools"`

	// PeerListen is the UDP address for datagrams about the checks of other gateways, with which the quotas of checks
	// are shared. Empty: each gateway has a fixed part of the quotas.
	PeerListen string `json:"peer_listen"`
	// Peers are the PeerListen addresses of all gateways, in the order of their numbers. Required with PeerListen.
	Peers []string `json:"peers"`

	// The fields below are set by check.

	Timeout   time.Duration    `json:"-"` // TimeoutMs
	Path      string           `json:"-"` // path of all Endpoints
	TLS       bool             `json:"-"` // Endpoints are https
	Roots     *x509.CertPool   `json:"-"` // certificates in CAFile; nil: the system's
	PeerAddr  netip.AddrPort   `json:"-"` // PeerListen
	PeerAddrs []netip.AddrPort `json:"-"` // Peers
}

// Tool is a tool of the site that may send introspection requests, with HTTP basic authentication.
type Tool struct {
	ID      string `json:"id"`      // user name; required
	Secret  string `json:"secret"`  // password; required
	Account uint64 `json:"account"` // number of the customer whose quota its requests are charged to
	Plan    string `json:"plan"`    // name of that customer's plan in the settings
}

const (
	defaultIntrospectionTimeoutMs = 1000
	defaultRealm                  = "sprucelane"
)

func (in *Introspection) check(d Deployment, errs *errorList) {
	checkHostPort(errs, "introspection.listen", in.Listen)
	if (in.CertFile == "") != (in.KeyFile == "") {
		errs.addf("introspection.cert_file, key_file: both or none")
	}
	in.checkEndpoints(errs)
	if in.ClientID == "" || in.ClientSecret == "" {
		errs.addf("introspection.client_id, client_secret: not set")
	}
	if in.TimeoutMs < 0 {
		errs.addf("introspection.timeout_ms: must not be negative")
	}
	in.Timeout = time.Duration(positiveOr(in.TimeoutMs, defaultIntrospectionTimeoutMs)) * time.Millisecond
	if in.Realm == "" {
		in.Realm = defaultRealm
	}
	for class := range in.Scopes {
		if d.ClassIndex(class) < 0 {
			errs.addf("introspection.scopes: settings know no class %q", class)
		}
	}
	for i, t := range in.Tools {
		if t.ID == "" || t.Secret == "" {
			errs.addf("introspection.tools[%d].id, secret: not set", i)
		}
		if d.PlanIndex(t.Plan) < 0 {
			errs.addf("introspection.tools[%d].plan: settings know no plan %q", i, t.Plan)
		}
	}
	if in.PeerListen != "" {
		in.PeerAddr = parseAddr(errs, "introspection.peer_listen", in.PeerListen)
		if in.PeerAddrs = parseAddrs(errs, "introspection.peers", in.Peers); len(in.PeerAddrs) != d.Gateways {
			errs.addf("introspection.peers: %d addresses for settings.group_size %d", len(in.PeerAddrs), d.Gateways)
		}
	}
}

// checkEndpoints splits the URLs into host:port, path and scheme, and reads the root certificates of CAFile.
func (in *Introspection) checkEndpoints(errs *errorList) {
	if len(in.Endpoints) == 0 {
		errs.addf("introspection.endpoints: none given")
	}
	for i, e := range in.Endpoints {
		u, err := url.Parse(e)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Port() == "" || u.RawQuery != "" {
			errs.addf("introspection.endpoints[%d]: not a URL of the form http://host:port/path", i)
			continue
		}
		tls, path := u.Scheme == "https", u.EscapedPath()
		if i > 0 && (tls != in.TLS || path != in.Path) {
			errs.addf("introspection.endpoints[%d]: scheme and path must be those of the first", i)
		}
		in.TLS, in.Path, in.Endpoints[i] = tls, path, u.Host
	}
	if in.CAFile != "" {
		pem, err := os.ReadFile(in.CAFile)
		if err != nil {
			errs.addf("introspection.ca_file: %w", err)
		} else if in.Roots = x509.NewCertPool(); !in.Roots.AppendCertsFromPEM(pem) {
			errs.addf("introspection.ca_file: holds no certificate")
		}
	}
}

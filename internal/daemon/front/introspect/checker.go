package introspect

import (
	"crypto/tls"
	"encoding/base64"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/url"
	"time"

	"sprucelane.example/sprucelane/internal/buffers"
	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/internal/daemon/config"
	"sprucelane.example/sprucelane/internal/pool"
	"sprucelane.example/sprucelane/policy"
)

// responseMemory is the memory budget of responses that don't fit a read buffer, in bytes.
const responseMemory = 1 << 20

// Checker checks tokens by requests to the introspection endpoints.
type Checker struct {
	core          *core.Core
	pool          *pool.Pool
	conf          config.Introspection
	hostHeader    string
	requestHeader []byte // header lines that every introspection request has
	gateways      int
	zone          int
}

// tokenInfo has the parts of an introspection response that the front uses.
type tokenInfo struct {
	Active *bool    `json:"active"`
	Exp    *float64 `json:"exp"` // seconds since 1970
	Nbf    *float64 `json:"nbf"` // seconds since 1970
	Scope  string   `json:"scope"`
	claims map[string]any
}

// NewChecker returns a checker for a deployment. send sends messages to other gateways, with which the quotas of the
// checks are shared; if it is nil, each gateway enforces its own part of the quotas.
func NewChecker(conf config.Introspection, d config.Deployment, sockets int, seed uint64, clock core.Clock,
	send func(int, []byte)) (*Checker, error) {
	options := pool.Options{MaxConnections: sockets, ResponseMemory: buffers.New(responseMemory), BufferResponses: true,
		IdleTimeout: d.IdleTimeout, ConnectTimeout: min(d.ConnectTimeout, conf.Timeout/2)}
	if conf.TLS {
		options.TLS = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: conf.Roots}
	}
	k := &Checker{pool: pool.New(options), conf: conf, hostHeader: conf.Endpoints[0], gateways: d.Gateways, zone: d.Zone}
	credentials := url.QueryEscape(conf.ClientID) + ":" + url.QueryEscape(conf.ClientSecret)
	k.requestHeader = []byte("Authorization: Basic " + base64.StdEncoding.EncodeToString([]byte(credentials)) +
		"\r\nContent-Type: application/x-www-form-urlencoded\r\nAccept: application/json\r\n")
	var err error
	if k.core, err = core.New(k.settings(d), seed, clock, k.pool, send); err != nil {
		return nil, err
	}
	return k, nil
}

// Start passes the list of endpoints to the core; no introspection request is sent before. state is the state of
// endpoints and quotas that another process of this gateway exported with ExportState, or nil if there is none. The
// error is that of importing state; the endpoints are listed all the same.
func (k *Checker) Start(state []byte) (err error) {
	if state != nil {
		err = k.core.ImportState(state)
	}
	var infos []policy.ServerInfo
	for i, addr := range k.conf.Endpoints {
		id := policy.ServerID(i + 1)
		k.pool.Set(id, addr, policy.Ready)
		infos = append(infos, policy.ServerInfo{ID: id, Zone: k.zone, Weight: 1})
	}
	k.core.Servers(policy.ListFull, infos)
	return err
}

// settings returns the policy settings for the checks: those of the deployment with a single class instead of its
// classes.
func (k *Checker) settings(d config.Deployment) policy.Settings {
	set := d.Settings
	set.Classes = []policy.Class{{Name: "introspection", LatencyTarget: k.conf.Timeout / 2, Deadline: k.conf.Timeout,
		Idempotency: policy.Idempotent, Value: 1}}
	return set
}

// SetDeployment applies a deployment's plans to checks from now on. It is called together with the change of the
// gateway's own settings.
func (k *Checker) SetDeployment(d config.Deployment, seed uint64) error {
	_, err := k.core.Reconfigure(k.settings(d), seed)
	return err
}

// ExportState returns the state of endpoints and quotas, in at most maxSize bytes, for another process's Start.
func (k *Checker) ExportState(maxSize int) []byte { return k.core.ExportState(maxSize, nil) }

// Close closes the connections to endpoints.
func (k *Checker) Close() { k.pool.Close() }

// SetMaxConnections changes the bound on connections to endpoints.
func (k *Checker) SetMaxConnections(maxConnections int) { k.pool.SetMaxConnections(maxConnections) }

// PeerMessage handles a message about the checks from another gateway.
func (k *Checker) PeerMessage(from int, message []byte) { k.core.PeerMessage(from, message) }

// Counters returns the counts of the checks.
func (k *Checker) Counters() core.Counts { return k.core.Counters() }

// introspect requests the introspection of a token and returns the response, at the latest at the deadline. body is nil
// if there was no valid response; retryAfter is then the time after which the client may try again.
func (k *Checker) introspect(r *http.Request, generation int, request policy.Request, token string,
	deadline core.Time) (info tokenInfo, body []byte, retryAfter time.Duration) {
	request.Class = 0
	request.Deadline = min(deadline, k.core.Now()+k.conf.Timeout)
	message := &pool.Message{Method: http.MethodPost, Target: k.conf.Path, Host: k.hostHeader, Header: k.requestHeader,
		Body: []byte("token=" + url.QueryEscape(token) + "&token_type_hint=access_token")}
	answer := k.core.Serve(r.Context(), core.Request{Request: request, Generation: generation, Message: message})
	defer answer.Discard()
	if answer.Kind != core.Served {
		return info, nil, max(answer.RetryAfter, k.conf.Timeout)
	}
	if json.Unmarshal(answer.Body, &info) != nil || info.Active == nil ||
		json.Unmarshal(answer.Body, &info.claims) != nil {
		slog.Warn("introspection_malformed", "bytes", len(answer.Body))
		return tokenInfo{}, nil, k.conf.Timeout
	}
	// Some endpoints leave the check of exp and nbf to their clients.
	now := k.core.Now().Seconds()
	if info.Exp != nil && now >= *info.Exp || info.Nbf != nil && now < *info.Nbf {
		*info.Active = false
	}
	return info, answer.Body, 0
}

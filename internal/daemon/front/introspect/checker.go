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

// Checker asks the introspection endpoints.
type Checker struct {
	core          *core.Core
	pool          *pool.Pool
	conf          config.Introspection
	hostHeader    string
	requestHeader []byte // header lines of each introspection request
	gateways      int
	zone          int
}

// tokenInfo is an introspection response, as far as it counts here.
type tokenInfo struct {
	Active *bool    `json:"active"`
	Exp    *float64 `json:"exp"` // seconds since 1970
	Nbf    *float64 `json:"nbf"` // seconds since 1970
	Scope  string   `json:"scope"`
	claims map[string]any
}

// NewChecker returns a checker for a deployment. send passes messages on to other gateways, which share the quotas
// of the checks; nil: each gateway has its own part of them.
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

// Start lists the endpoints; nothing is asked before. state is what another process of this gateway exported of its
// endpoints and quotas; nil: nothing.
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

// settings returns the policy settings for the checks: the plans of the deployment, and a single class.
func (k *Checker) settings(d config.Deployment) policy.Settings {
	set := d.Settings
	set.Classes = []policy.Class{{Name: "introspection", LatencyTarget: k.conf.Timeout / 2, Deadline: k.conf.Timeout,
		Idempotency: policy.Idempotent, Value: 1}}
	return set
}

// SetDeployment puts a deployment's plans in force for checks from now on, together with the gateway's own
// settings.
func (k *Checker) SetDeployment(d config.Deployment, seed uint64) error {
	_, err := k.core.Reconfigure(k.settings(d), seed)
	return err
}

// ExportState returns what is known of endpoints and quotas, in at most maxSize bytes, for another process's Start.
func (k *Checker) ExportState(maxSize int) []byte { return k.core.ExportState(maxSize, nil) }

// Close closes the connections to endpoints.
func (k *Checker) Close() { k.pool.Close() }

// SetMaxConnections changes the bound on connections to endpoints.
func (k *Checker) SetMaxConnections(maxConnections int) { k.pool.SetMaxConnections(maxConnections) }

// PeerMessage handles a message about the checks from another gateway.
func (k *Checker) PeerMessage(from int, message []byte) { k.core.PeerMessage(from, message) }

// Counters returns the counts of the checks.
func (k *Checker) Counters() core.Counts { return k.core.Counters() }

// introspect asks about a token, and returns the response before the deadline. body is nil if there was no valid
// response; then retryAfter is the time after which to ask again.
func (k *Checker) introspect(r *http.Request, era int, request policy.Request, token string,
	deadline core.Time) (info tokenInfo, body []byte, retryAfter time.Duration) {
	request.Class = 0
	request.Deadline = min(deadline, k.core.Now()+k.conf.Timeout)
	message := &pool.Message{Method: http.MethodPost, Target: k.conf.Path, Host: k.hostHeader, Header: k.requestHeader,
		Body: []byte("token=" + url.QueryEscape(token) + "&token_type_hint=access_token")}
	answer := k.core.Serve(r.Context(), core.Request{Request: request, Generation: era, Message: message})
	defer answer.Discard()
	if answer.Kind != core.Served {
		return info, nil, max(answer.RetryAfter, k.conf.Timeout)
	}
	if json.Unmarshal(answer.Body, &info) != nil || info.Active == nil ||
		json.Unmarshal(answer.Body, &info.claims) != nil {
		slog.Warn("introspection_malformed", "bytes", len(answer.Body))
		return tokenInfo{}, nil, k.conf.Timeout
	}
	now := k.core.Now().Seconds() // some endpoints leave the times to their clients
	if info.Exp != nil && now >= *info.Exp || info.Nbf != nil && now < *info.Nbf {
		*info.Active = false
	}
	return info, answer.Body, 0
}

// Package introspect owns OAuth 2 token introspection (RFC 7662) with bearer errors (RFC 6750): as a client it
// checks a transaction's token at the endpoints, through a core of its own under the same decisions, quotas and
// deadlines; as a server it answers the site's tools. It must never keep a verdict, log a token, or let a request
// pass without one.
package introspect

import (
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"encoding/base64"
	"encoding/json"
	"io"
	"log/slog"
	"mime"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"sprucelane.example/sprucelane/internal/buffers"
	"sprucelane.example/sprucelane/internal/config"
	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/internal/front/platform"
	"sprucelane.example/sprucelane/internal/pool"
	"sprucelane.example/sprucelane/policy"
)

// maxVerdicts bounds the bytes that unusually long verdicts hold at once.
const maxVerdicts = 1 << 20

// Checker asks the endpoints. The questions are transactions of their own core, whose pool members are the
// endpoints: the same module admits them, holds their customers' quotas, picks the endpoint and tries again.
type Checker struct {
	core   *core.Core
	pool   *pool.Pool
	conf   config.Introspection
	host   string
	header []byte
	doors  int
	zone   int
}

// verdict is what an endpoint says of a token, as far as it counts here.
type verdict struct {
	Active *bool    `json:"active"`
	Exp    *float64 `json:"exp"`
	Nbf    *float64 `json:"nbf"`
	Scope  string   `json:"scope"`
	claims map[string]any
}

// NewChecker gives a checker for a deployment. Without tell, its quotas are each gateway's own part.
func NewChecker(conf config.Introspection, d config.Deployment, sockets int, seed uint64, clock core.Clock,
	tell func(int, []byte)) (*Checker, error) {
	opt := pool.Options{MaxConnections: sockets, ResponseMemory: buffers.New(maxVerdicts), BufferResponses: true, IdleTimeout: d.ConnIdle, ConnectTimeout: min(d.ConnectWait, conf.Timeout/2)}
	if conf.TLS {
		opt.TLS = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: conf.Roots}
	}
	k := &Checker{pool: pool.New(opt), conf: conf, host: conf.Endpoints[0], doors: d.Gateways, zone: d.Zone}
	login := url.QueryEscape(conf.ClientID) + ":" + url.QueryEscape(conf.ClientSecret)
	k.header = []byte("Authorization: Basic " + base64.StdEncoding.EncodeToString([]byte(login)) +
		"\r\nContent-Type: application/x-www-form-urlencoded\r\nAccept: application/json\r\n")
	var err error
	if k.core, err = core.New(k.settings(d), seed, clock, k.pool, tell); err != nil {
		return nil, err
	}
	return k, nil
}

// Begin lists the endpoints; nothing is asked before. What another process of this gateway knew of them and of the checks'
// customers is taken over, where it is given and can be read.
func (k *Checker) Begin(carried []byte) (err error) {
	if carried != nil {
		err = k.core.ImportState(carried)
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

// settings are a deployment's as far as its plans go: there is one class of checks.
func (k *Checker) settings(d config.Deployment) policy.Settings {
	set := d.Settings
	set.Classes = []policy.Class{{Name: "introspection", LatencyTarget: k.conf.Timeout / 2, Deadline: k.conf.Timeout,
		Idempotency: policy.Idempotent, Value: 1}}
	return set
}

// Retune puts a deployment's plans in force for all checks from now on, in step with the gateway's own settings.
func (k *Checker) Retune(d config.Deployment, seed uint64) error {
	_, err := k.core.Reconfigure(k.settings(d), seed)
	return err
}

// Carry gives what is known, for another process's Begin.
func (k *Checker) Carry(most int) []byte { return k.core.ExportState(most, nil) }

// Close ends what the checker runs.
func (k *Checker) Close() { k.pool.Close() }

// Limit sets how many connections to endpoints may be open at once from now on.
func (k *Checker) Limit(sockets int) { k.pool.SetMaxConnections(sockets) }

// PeerMessage takes the checks' own peer messages in.
func (k *Checker) PeerMessage(from int, message []byte) { k.core.PeerMessage(from, message) }

// Counters tells of the checks.
func (k *Checker) Counters() core.Counts { return k.core.Counters() }

// ask puts one question, answered before until. A body comes only with a verdict that parsed.
func (k *Checker) ask(r *http.Request, era int, who policy.Request, token string, until core.Time) (v verdict, body []byte, wait time.Duration) {
	who.Class = 0
	who.Deadline = min(until, k.core.Now()+k.conf.Timeout)
	a := k.core.Serve(r.Context(), core.Request{Request: who, Generation: era, Message: &pool.Message{Method: http.MethodPost,
		Target: k.conf.Path, Host: k.host, Header: k.header,
		Body: []byte("token=" + url.QueryEscape(token) + "&token_type_hint=access_token")}})
	defer a.Discard()
	if a.Kind != core.Served {
		return v, nil, max(a.RetryAfter, k.conf.Timeout)
	}
	if json.Unmarshal(a.Body, &v) != nil || v.Active == nil || json.Unmarshal(a.Body, &v.claims) != nil {
		slog.Warn("introspection_malformed", "bytes", len(a.Body))
		return verdict{}, nil, k.conf.Timeout
	}
	now := k.core.Now().Seconds() // an endpoint that leaves the times to us
	if v.Exp != nil && now >= *v.Exp || v.Nbf != nil && now < *v.Nbf {
		*v.Active = false
	}
	return v, a.Body, 0
}

// Front is the virtual server for farm apps with bearer tokens and for the site's tools.
type Front struct {
	Core      *core.Core
	Checker   *Checker
	Settings  *platform.Settings
	Ready     func() bool
	Open      *platform.Open
	Bodies    *buffers.Budget // what bodies may hold in memory; nil: as much as they like
	malformed atomic.Uint64
}

// Malformed counts the requests that were none.
func (f *Front) Malformed() uint64 { return f.malformed.Load() }

func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/ready":
		platform.Ready(w, f.Ready())
	case "/introspect":
		f.introspect(w, r)
	default:
		f.forward(w, r)
	}
}

// What a check may hold against a token beside its being inactive.
const (
	invalidToken int32 = iota
	insufficientScope
	otherAccount
)

// forward takes a request on that presents a token: checked before the first flow and again before any other.
func (f *Front) forward(w http.ResponseWriter, r *http.Request) {
	arrived := f.Core.Now()
	token, no := bearer(r)
	if no != nil {
		f.refuse(w, no.Code, no.Text)
		return
	}
	settings := f.Settings.Get()
	in, body, no := platform.Read(w, r, settings, f.Open, f.Bodies, arrived)
	if no != nil {
		f.malformed.Add(1)
		no.Write(w)
		return
	}
	defer f.Open.Leave(r)
	scope := f.Checker.conf.Scopes[settings.Classes[in.Class].Name]
	var reason atomic.Int32
	var asked atomic.Bool
	in.Authorize = func(until core.Time) (core.Verdict, time.Duration) {
		who := in.Request
		if asked.Swap(true) { // further attempts of a try draw nothing
			who.Units = 0
		}
		v, body, wait := f.Checker.ask(r, settings.Era, who, token, until)
		switch {
		case body == nil:
			return core.Unknown, wait
		case !*v.Active:
			reason.Store(invalidToken)
		case scope != "" && !slices.Contains(strings.Fields(v.Scope), scope):
			reason.Store(insufficientScope)
		case !f.owns(v, in.Customer):
			reason.Store(otherAccount)
		default:
			return core.Active, 0
		}
		return core.Inactive, 0
	}
	a := f.Core.Serve(r.Context(), in)
	if a.Kind != core.Unauthorized || body.Fault() != nil {
		if platform.Answer(w, r, body, whole(a)) {
			f.malformed.Add(1)
		}
		return
	}
	defer body.Close()
	body.Early(w)
	switch reason.Load() {
	case insufficientScope:
		f.bearerError(w, http.StatusForbidden, "insufficient_scope", "scope", scope)
	case otherAccount:
		f.bearerError(w, http.StatusForbidden, "insufficient_scope", "", "")
	default:
		f.bearerError(w, http.StatusUnauthorized, "invalid_token", "", "")
	}
}

// whole makes a wait one of whole seconds, the only ones that RFC 9110 lets Retry-After name.
func whole(a core.Answer) core.Answer {
	a.RetryAfter = (a.RetryAfter + time.Second - 1).Truncate(time.Second)
	return a
}

// owns tells whether a token is the request's customer's, where the site says which claim names it.
func (f *Front) owns(v verdict, id policy.CustomerID) bool {
	claim := f.Checker.conf.AccountClaim
	if claim == "" {
		return true
	}
	text, _ := v.claims[claim].(string)
	n, err := strconv.ParseUint(text, 16, 64)
	return err == nil && policy.CustomerID(n) == id
}

// bearer reads the token, which may come in the Authorization header alone.
func bearer(r *http.Request) (string, *platform.Bad) {
	if r.URL.Query().Has("access_token") { // it would stand in every log that a target passes
		return "", &platform.Bad{Code: http.StatusBadRequest, Text: "invalid_request"}
	}
	values := r.Header.Values("Authorization")
	if len(values) == 0 {
		return "", &platform.Bad{Code: http.StatusUnauthorized}
	}
	scheme, token, _ := strings.Cut(values[0], " ")
	if len(values) == 1 && !strings.EqualFold(scheme, "Bearer") {
		return "", &platform.Bad{Code: http.StatusUnauthorized}
	}
	plain := strings.TrimRight(token, "=")
	if len(values) > 1 || plain == "" || strings.ContainsFunc(plain, func(c rune) bool {
		return !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.ContainsRune("-._~+/", c))
	}) {
		return "", &platform.Bad{Code: http.StatusBadRequest, Text: "invalid_request"}
	}
	return token, nil
}

// refuse answers a request whose token could not be read. One that brought none is told no error code.
func (f *Front) refuse(w http.ResponseWriter, code int, errorCode string) {
	f.malformed.Add(1)
	f.bearerError(w, code, errorCode, "", "")
}

func (f *Front) bearerError(w http.ResponseWriter, code int, errorCode, key, value string) {
	text := `Bearer realm="` + f.Checker.conf.Realm + `"`
	if errorCode != "" {
		text += `, error="` + errorCode + `"`
	}
	if key != "" {
		text += `, ` + key + `="` + value + `"`
	}
	w.Header().Set("WWW-Authenticate", text)
	w.Header().Set("Cache-Control", "no-store")
	http.Error(w, http.StatusText(code), code)
}

// introspect answers a tool about a token.
func (f *Front) introspect(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Cache-Control", "no-store")
	if r.Method != http.MethodPost {
		h.Set("Allow", http.MethodPost)
		f.oauthError(w, http.StatusMethodNotAllowed, "invalid_request")
		return
	}
	tool := f.tool(r)
	if tool == nil {
		h.Set("WWW-Authenticate", `Basic realm="`+f.Checker.conf.Realm+`"`)
		f.oauthError(w, http.StatusUnauthorized, "invalid_client")
		return
	}
	body, no := platform.ReadBody(w, r, f.Bodies, time.Now().Add(f.Checker.conf.Timeout))
	if no == nil {
		defer body.Leave()
	}
	if no == nil && body.More() {
		no = &platform.Bad{Code: http.StatusRequestEntityTooLarge}
	}
	if no != nil {
		h.Set("Connection", "close")
		f.oauthError(w, no.Code, "invalid_request")
		return
	}
	kind, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type"))
	form, err := url.ParseQuery(string(body.Kept))
	if err != nil || kind != "application/x-www-form-urlencoded" || len(form["token"]) != 1 || form.Get("token") == "" {
		f.oauthError(w, http.StatusBadRequest, "invalid_request")
		return
	}
	settings := f.Settings.Get()
	who := policy.Request{Plan: settings.PlanNumber(tool.Plan), Customer: policy.CustomerID(tool.Account), Units: 1,
		SetSize: f.Checker.doors}
	v, text, wait := f.Checker.ask(r, settings.Era, who, form.Get("token"), f.Checker.core.Now()+f.Checker.conf.Timeout)
	switch {
	case r.Context().Err() != nil:
		panic(http.ErrAbortHandler)
	case text == nil:
		platform.Write(w, r, whole(core.Answer{Kind: core.Refused, Attempted: true, RetryAfter: wait}))
		return
	case !*v.Active: // of a token that is unknown or past, nothing else is told
		text = []byte(`{"active":false}`)
	}
	platform.Write(w, r, core.Answer{Kind: core.Served, ContentType: "application/json", Body: text})
}

// tool gives the tool whose credentials a request brings, nil where there is none.
func (f *Front) tool(r *http.Request) (found *config.Tool) {
	id, secret, ok := r.BasicAuth()
	if !ok {
		return nil
	}
	id, err1 := url.QueryUnescape(id)
	secret, err2 := url.QueryUnescape(secret)
	if err1 != nil || err2 != nil {
		return nil
	}
	given := sha256.Sum256([]byte(secret)) // compared in a time that tells nothing of the secret
	for i := range f.Checker.conf.Tools {
		t := &f.Checker.conf.Tools[i]
		want := sha256.Sum256([]byte(t.Secret))
		if same := subtle.ConstantTimeCompare(given[:], want[:]) == 1; same && t.ID == id {
			found = t
		}
	}
	return found
}

func (f *Front) oauthError(w http.ResponseWriter, code int, text string) {
	f.malformed.Add(1)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	io.WriteString(w, `{"error":"`+text+`"}`)
}

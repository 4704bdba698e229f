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
const responseMemory = 1 << 20

// Checker asks the endpoints. The questions are transactions of their own core, whose pool members are the
// endpoints: the same module admits them, holds their customers' quotas, picks the endpoint and tries again.
type Checker struct {
	core     *core.Core
	pool     *pool.Pool
	conf     config.Introspection
	host     string
	header   []byte
	gateways int
	zone     int
}

// verdict is what an endpoint says of a token, as far as it counts here.
type tokenInfo struct {
	Active *bool    `json:"active"`
	Exp    *float64 `json:"exp"`
	Nbf    *float64 `json:"nbf"`
	Scope  string   `json:"scope"`
	claims map[string]any
}

// NewChecker gives a checker for a deployment. Without tell, its quotas are each gateway's own part.
func NewChecker(conf config.Introspection, d config.Deployment, sockets int, seed uint64, clock core.Clock,
	send func(int, []byte)) (*Checker, error) {
	options := pool.Options{MaxConnections: sockets, ResponseMemory: buffers.New(responseMemory), BufferResponses: true, IdleTimeout: d.ConnIdle, ConnectTimeout: min(d.ConnectWait, conf.Timeout/2)}
	if conf.TLS {
		options.TLS = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: conf.Roots}
	}
	k := &Checker{pool: pool.New(options), conf: conf, host: conf.Endpoints[0], gateways: d.Gateways, zone: d.Zone}
	credentials := url.QueryEscape(conf.ClientID) + ":" + url.QueryEscape(conf.ClientSecret)
	k.header = []byte("Authorization: Basic " + base64.StdEncoding.EncodeToString([]byte(credentials)) +
		"\r\nContent-Type: application/x-www-form-urlencoded\r\nAccept: application/json\r\n")
	var err error
	if k.core, err = core.New(k.settings(d), seed, clock, k.pool, send); err != nil {
		return nil, err
	}
	return k, nil
}

// Begin lists the endpoints; nothing is asked before. What another process of this gateway knew of them and of the checks'
// customers is taken over, where it is given and can be read.
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

// settings are a deployment's as far as its plans go: there is one class of checks.
func (k *Checker) settings(d config.Deployment) policy.Settings {
	set := d.Settings
	set.Classes = []policy.Class{{Name: "introspection", LatencyTarget: k.conf.Timeout / 2, Deadline: k.conf.Timeout,
		Idempotency: policy.Idempotent, Value: 1}}
	return set
}

// Retune puts a deployment's plans in force for all checks from now on, in step with the gateway's own settings.
func (k *Checker) SetDeployment(d config.Deployment, seed uint64) error {
	_, err := k.core.Reconfigure(k.settings(d), seed)
	return err
}

// Carry gives what is known, for another process's Begin.
func (k *Checker) ExportState(maxSize int) []byte { return k.core.ExportState(maxSize, nil) }

// Close ends what the checker runs.
func (k *Checker) Close() { k.pool.Close() }

// Limit sets how many connections to endpoints may be open at once from now on.
func (k *Checker) SetMaxConnections(maxConnections int) { k.pool.SetMaxConnections(maxConnections) }

// PeerMessage takes the checks' own peer messages in.
func (k *Checker) PeerMessage(from int, message []byte) { k.core.PeerMessage(from, message) }

// Counters tells of the checks.
func (k *Checker) Counters() core.Counts { return k.core.Counters() }

// ask puts one question, answered before until. A body comes only with a verdict that parsed.
func (k *Checker) introspect(r *http.Request, era int, request policy.Request, token string, deadline core.Time) (info tokenInfo, body []byte, retryAfter time.Duration) {
	request.Class = 0
	request.Deadline = min(deadline, k.core.Now()+k.conf.Timeout)
	answer := k.core.Serve(r.Context(), core.Request{Request: request, Generation: era, Message: &pool.Message{Method: http.MethodPost,
		Target: k.conf.Path, Host: k.host, Header: k.header,
		Body: []byte("token=" + url.QueryEscape(token) + "&token_type_hint=access_token")}})
	defer answer.Discard()
	if answer.Kind != core.Served {
		return info, nil, max(answer.RetryAfter, k.conf.Timeout)
	}
	if json.Unmarshal(answer.Body, &info) != nil || info.Active == nil || json.Unmarshal(answer.Body, &info.claims) != nil {
		slog.Warn("introspection_malformed", "bytes", len(answer.Body))
		return tokenInfo{}, nil, k.conf.Timeout
	}
	now := k.core.Now().Seconds() // an endpoint that leaves the times to us
	if info.Exp != nil && now >= *info.Exp || info.Nbf != nil && now < *info.Nbf {
		*info.Active = false
	}
	return info, answer.Body, 0
}

// Front is the virtual server for farm apps with bearer tokens and for the site's tools.
type Front struct {
	Core         *core.Core
	Checker      *Checker
	Settings     *platform.Settings
	Ready        func() bool
	OpenRequests *platform.OpenRequests
	Bodies       *buffers.Budget // what bodies may hold in memory; nil: as much as they like
	malformed    atomic.Uint64
}

// Malformed counts the requests that were none.
func (f *Front) Malformed() uint64 { return f.malformed.Load() }

func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/ready":
		platform.WriteReady(w, f.Ready())
	case "/introspect":
		f.serveIntrospection(w, r)
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
	token, problem := bearerToken(r)
	if problem != nil {
		f.rejectToken(w, problem.Code, problem.Text)
		return
	}
	settings := f.Settings.Get()
	request, body, problem := platform.ReadRequest(w, r, settings, f.OpenRequests, f.Bodies, arrived)
	if problem != nil {
		f.malformed.Add(1)
		problem.Write(w)
		return
	}
	defer f.OpenRequests.Remove(r)
	scope := f.Checker.conf.Scopes[settings.Classes[request.Class].Name]
	var reason atomic.Int32
	var asked atomic.Bool
	request.Authorize = func(until core.Time) (core.Verdict, time.Duration) {
		who := request.Request
		if asked.Swap(true) { // further attempts of a try draw nothing
			who.Units = 0
		}
		v, body, wait := f.Checker.introspect(r, settings.Era, who, token, until)
		switch {
		case body == nil:
			return core.Unknown, wait
		case !*v.Active:
			reason.Store(invalidToken)
		case scope != "" && !slices.Contains(strings.Fields(v.Scope), scope):
			reason.Store(insufficientScope)
		case !f.ownsAccount(v, request.Customer):
			reason.Store(otherAccount)
		default:
			return core.Active, 0
		}
		return core.Inactive, 0
	}
	a := f.Core.Serve(r.Context(), request)
	if a.Kind != core.Unauthorized || body.Fault() != nil {
		if platform.Respond(w, r, body, roundUpRetryAfter(a)) {
			f.malformed.Add(1)
		}
		return
	}
	defer body.Close()
	body.PrepareEarlyAnswer(w)
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
func roundUpRetryAfter(a core.Answer) core.Answer {
	a.RetryAfter = (a.RetryAfter + time.Second - 1).Truncate(time.Second)
	return a
}

// owns tells whether a token is the request's customer's, where the site says which claim names it.
func (f *Front) ownsAccount(info tokenInfo, customer policy.CustomerID) bool {
	claim := f.Checker.conf.AccountClaim
	if claim == "" {
		return true
	}
	text, _ := info.claims[claim].(string)
	n, err := strconv.ParseUint(text, 16, 64)
	return err == nil && policy.CustomerID(n) == customer
}

// bearer reads the token, which may come in the Authorization header alone.
func bearerToken(r *http.Request) (string, *platform.RequestError) {
	if r.URL.Query().Has("access_token") { // it would stand in every log that a target passes
		return "", &platform.RequestError{Code: http.StatusBadRequest, Text: "invalid_request"}
	}
	values := r.Header.Values("Authorization")
	if len(values) == 0 {
		return "", &platform.RequestError{Code: http.StatusUnauthorized}
	}
	scheme, token, _ := strings.Cut(values[0], " ")
	if len(values) == 1 && !strings.EqualFold(scheme, "Bearer") {
		return "", &platform.RequestError{Code: http.StatusUnauthorized}
	}
	plain := strings.TrimRight(token, "=")
	if len(values) > 1 || plain == "" || strings.ContainsFunc(plain, func(c rune) bool {
		return !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.ContainsRune("-._~+/", c))
	}) {
		return "", &platform.RequestError{Code: http.StatusBadRequest, Text: "invalid_request"}
	}
	return token, nil
}

// refuse answers a request whose token could not be read. One that brought none is told no error code.
func (f *Front) rejectToken(w http.ResponseWriter, code int, errorCode string) {
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
func (f *Front) serveIntrospection(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Cache-Control", "no-store")
	if r.Method != http.MethodPost {
		h.Set("Allow", http.MethodPost)
		f.oauthError(w, http.StatusMethodNotAllowed, "invalid_request")
		return
	}
	tool := f.authenticateTool(r)
	if tool == nil {
		h.Set("WWW-Authenticate", `Basic realm="`+f.Checker.conf.Realm+`"`)
		f.oauthError(w, http.StatusUnauthorized, "invalid_client")
		return
	}
	body, problem := platform.ReadBody(w, r, f.Bodies, time.Now().Add(f.Checker.conf.Timeout))
	if problem == nil {
		defer body.Release()
	}
	if problem == nil && body.Pending() {
		problem = &platform.RequestError{Code: http.StatusRequestEntityTooLarge}
	}
	if problem != nil {
		h.Set("Connection", "close")
		f.oauthError(w, problem.Code, "invalid_request")
		return
	}
	mediaType, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type"))
	form, err := url.ParseQuery(string(body.Buffered))
	if err != nil || mediaType != "application/x-www-form-urlencoded" || len(form["token"]) != 1 || form.Get("token") == "" {
		f.oauthError(w, http.StatusBadRequest, "invalid_request")
		return
	}
	settings := f.Settings.Get()
	request := policy.Request{Plan: settings.PlanNumber(tool.Plan), Customer: policy.CustomerID(tool.Account), Units: 1,
		SetSize: f.Checker.gateways}
	info, text, retryAfter := f.Checker.introspect(r, settings.Era, request, form.Get("token"), f.Checker.core.Now()+f.Checker.conf.Timeout)
	switch {
	case r.Context().Err() != nil:
		panic(http.ErrAbortHandler)
	case text == nil:
		platform.WriteAnswer(w, r, roundUpRetryAfter(core.Answer{Kind: core.Refused, Attempted: true, RetryAfter: retryAfter}))
		return
	case !*info.Active: // of a token that is unknown or past, nothing else is told
		text = []byte(`{"active":false}`)
	}
	platform.WriteAnswer(w, r, core.Answer{Kind: core.Served, ContentType: "application/json", Body: text})
}

// tool gives the tool whose credentials a request brings, nil where there is none.
func (f *Front) authenticateTool(r *http.Request) (found *config.Tool) {
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
		candidate := &f.Checker.conf.Tools[i]
		want := sha256.Sum256([]byte(candidate.Secret))
		if same := subtle.ConstantTimeCompare(given[:], want[:]) == 1; same && candidate.ID == id {
			found = candidate
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

package introspect

import (
	"crypto/sha256"
	"crypto/subtle"
	"io"
	"mime"
	"net/http"
	"net/url"
	"time"

	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/internal/daemon/config"
	"sprucelane.example/sprucelane/internal/daemon/front/platform"
	"sprucelane.example/sprucelane/policy"
)

// serveIntrospection answers an introspection request (RFC 7662) of one of the site's tools.
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
	body, problem := platform.ReadBody(w, r, f.BodyMemory, time.Now().Add(f.Checker.conf.Timeout))
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
	hasToken := len(form["token"]) == 1 && form.Get("token") != ""
	if err != nil || mediaType != "application/x-www-form-urlencoded" || !hasToken {
		f.oauthError(w, http.StatusBadRequest, "invalid_request")
		return
	}
	settings := f.Settings.Get()
	request := policy.Request{Plan: settings.PlanIndex(tool.Plan), Customer: policy.CustomerID(tool.Account), Units: 1,
		SetSize: f.Checker.gateways}
	deadline := f.Checker.core.Now() + f.Checker.conf.Timeout
	info, text, retryAfter := f.Checker.introspect(r, settings.Generation, request, form.Get("token"), deadline)
	switch {
	case r.Context().Err() != nil:
		panic(http.ErrAbortHandler)
	case text == nil:
		rejected := core.Answer{Kind: core.Refused, Attempted: true, RetryAfter: retryAfter}
		platform.WriteAnswer(w, r, roundUpRetryAfter(rejected))
		return
	case !*info.Active: // RFC 7662, section 2.2: disclose nothing else about an inactive token
		text = []byte(`{"active":false}`)
	}
	platform.WriteAnswer(w, r, core.Answer{Kind: core.Served, ContentType: "application/json", Body: text})
}

// authenticateTool returns the tool whose credentials a request presents, or nil. Against timing attacks it compares
// hashes of the secrets in constant time, and compares with every tool's secret even after a match.
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
	given := sha256.Sum256([]byte(secret))
	for i := range f.Checker.conf.Tools {
		candidate := &f.Checker.conf.Tools[i]
		want := sha256.Sum256([]byte(candidate.Secret))
		if same := subtle.ConstantTimeCompare(given[:], want[:]) == 1; same && candidate.ID == id {
			found = candidate
		}
	}
	return found
}

// oauthError writes an error response (RFC 6749, section 5.2).
func (f *Front) oauthError(w http.ResponseWriter, code int, text string) {
	f.malformed.Add(1)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	io.WriteString(w, `{"error":"`+text+`"}`)
}

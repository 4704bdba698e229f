package introspect

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/internal/daemon/front/platform"
	"sprucelane.example/sprucelane/policy"
)

// denial is the reason why a token with a valid introspection response doesn't authorize a request: the token is
// inactive, lacks the scope of the request's class, or belongs to another customer.
type denial = int32

const (
	invalidToken denial = iota // inactive
	insufficientScope
	otherAccount
)

// forward handles a client's request. It checks the request's token before the first attempt and again before each
// further attempt.
func (f *Front) forward(w http.ResponseWriter, r *http.Request) {
	arrived := f.Core.Now()
	token, problem := bearerToken(r)
	if problem != nil {
		f.rejectToken(w, problem.Code, problem.Text)
		return
	}
	settings := f.Settings.Get()
	reader := platform.RequestReader{Deployment: settings, OpenRequests: f.OpenRequests, Bodies: f.BodyMemory}
	request, body, problem := reader.Read(w, r, arrived)
	if problem != nil {
		f.malformed.Add(1)
		problem.Write(w)
		return
	}
	defer f.OpenRequests.Remove(r)
	scope := f.Checker.conf.Scopes[settings.Classes[request.Class].Name]
	var reason atomic.Int32
	var checked atomic.Bool
	request.Authorize = func(until core.Time) (core.Verdict, time.Duration) {
		who := request.Request
		if checked.Swap(true) { // only the first check of a request is charged to the customer's quota
			who.Units = 0
		}
		v, body, wait := f.Checker.introspect(r, settings.Generation, who, token, until)
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
	if a.Kind != core.Unauthorized || body.RequestError() != nil {
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

// ownsAccount reports whether a token belongs to the request's customer, according to the claim that the site has
// configured for accounts. It returns true if no claim is configured.
func (f *Front) ownsAccount(info tokenInfo, customer policy.CustomerID) bool {
	claim := f.Checker.conf.AccountClaim
	if claim == "" {
		return true
	}
	text, _ := info.claims[claim].(string)
	n, err := strconv.ParseUint(text, 16, 64)
	return err == nil && policy.CustomerID(n) == customer
}

// bearerToken returns a request's token, which is accepted only in the Authorization header.
func bearerToken(r *http.Request) (string, *platform.RequestError) {
	if r.URL.Query().Has("access_token") { // rejected because intermediaries log request targets
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

// rejectToken answers a request whose token is missing or malformed. If errorCode is empty, because the request had no
// token at all, the challenge has no error code (RFC 6750, section 3.1).
func (f *Front) rejectToken(w http.ResponseWriter, code int, errorCode string) {
	f.malformed.Add(1)
	f.bearerError(w, code, errorCode, "", "")
}

// bearerError writes an error with a challenge (RFC 6750, section 3). The challenge has the error code and the
// parameter key=value unless errorCode or key, respectively, is empty.
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

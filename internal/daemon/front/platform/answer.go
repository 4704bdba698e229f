package platform

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/internal/front"
	"sprucelane.example/sprucelane/internal/pool"
)

// Respond writes the final answer to a request with a body and reports whether the request was malformed. If reading
// the body has failed and the request was not served, the client gets the error of the body whatever the core's answer
// is, because an incomplete body is the client's fault.
func Respond(w http.ResponseWriter, r *http.Request, body *Body, a core.Answer) (malformed bool) {
	if problem := body.RequestError(); problem != nil && a.Kind != core.Served {
		body.Close()
		a.Discard()
		problem.Write(w)
		return true
	}
	defer body.Close()
	body.PrepareEarlyAnswer(w)
	WriteAnswer(w, r, a)
	return false
}

// WriteAnswer writes a final answer. 429 and 503 promise that the request was not executed and may be sent again, so
// they are used only for refused requests.
func WriteAnswer(w http.ResponseWriter, r *http.Request, a core.Answer) {
	defer a.Discard()
	h := w.Header()
	switch a.Kind {
	case core.Served:
		if a.ContentType != "" {
			h.Set("Content-Type", a.ContentType)
		}
		if a.Remainder != nil {
			streamAnswer(w, r, a)
			return
		}
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
		w.Write(a.Body)
	case core.Refused:
		code := http.StatusTooManyRequests
		if a.Attempted {
			code = http.StatusServiceUnavailable
		}
		h.Set("Retry-After", formatSeconds(a.RetryAfter))
		writeStatus(w, code)
	case core.Unauthorized:
		writeStatus(w, http.StatusUnauthorized)
	case core.Failed:
		if a.TimedOut {
			writeStatus(w, http.StatusGatewayTimeout)
		} else {
			writeStatus(w, http.StatusBadGateway)
		}
	case core.ClientGone:
		panic(http.ErrAbortHandler) // the client has disconnected
	}
}

// streamAnswer writes a long answer as it arrives from the server. If the server's answer is truncated, the client's
// connection is reset, so that the client can tell that the answer is incomplete.
func streamAnswer(w http.ResponseWriter, r *http.Request, a core.Answer) {
	if a.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(a.ContentLength, 10))
	}
	controller := http.NewResponseController(w)
	chunk := a.Body
	for {
		if len(chunk) > 0 {
			controller.SetWriteDeadline(time.Now().Add(pool.StallTimeout))
			if _, err := w.Write(chunk); err != nil || controller.Flush() != nil {
				panic(http.ErrAbortHandler) // the client has disconnected or stopped reading
			}
		}
		n, err := a.Remainder.Read(a.Body[:cap(a.Body)])
		chunk = a.Body[:n]
		switch {
		case errors.Is(err, io.EOF) && n == 0:
			return
		case err != nil && !errors.Is(err, io.EOF):
			front.AbortResponse(r)
		}
	}
}

// writeStatus writes an answer without a body.
func writeStatus(w http.ResponseWriter, code int) {
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(code)
}

// formatSeconds formats a duration in seconds for Retry-After, for which the platform's protocol allows decimals.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', -1, 64)
}

package modelserver

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// generate reads the prompt and sends the events one after the other.
func (s *Server) generate(ctx context.Context, w http.ResponseWriter, r *request) {
	uncached := s.cache.insert(r.parts)
	prefill := time.Duration(float64(uncached) / s.options.PrefillRate * float64(time.Second))
	if !s.sleep(ctx, prefill+s.currentFaults().PauseBefore) {
		s.abort(ctx, w, r)
		return
	}
	if s.options.FailStatus != nil {
		if status := s.options.FailStatus(r.id); status != 0 {
			w.Header().Set(headerSignature, signature(s.options.ID, r.id))
			http.Error(w, "failed", status)
			return
		}
	}
	s.setLoadHeader(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(headerSignature, signature(s.options.ID, r.id))
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	for n := r.afterEvent + 1; n <= r.events; n++ {
		if n == (r.events+1)/2 && !s.injectWithin(ctx, r) {
			s.abort(ctx, w, r)
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, EventData(r.id, n))
		if control.Flush() != nil {
			return // the client closed the connection, which cancels the request
		}
		if n < r.events && !s.sleep(ctx, s.eventInterval()) {
			s.abort(ctx, w, r)
			return
		}
	}
}

// injectWithin injects the faults within a response. It returns false as sleep does.
func (s *Server) injectWithin(ctx context.Context, r *request) bool {
	faults := s.currentFaults()
	if faults.BreakOff {
		s.breakOff(r)
	}
	return faults.PauseWithin == 0 || s.sleep(ctx, faults.PauseWithin)
}

// eventInterval is the time to the next event: requests that run together slow each other down.
func (s *Server) eventInterval() time.Duration {
	occupancy := float64(len(s.slots)) / float64(s.options.Slots)
	return time.Duration(float64(s.options.EventInterval) * (1 + occupancy))
}

// sleep waits, and returns false where the context ended or the server was stopped first.
func (s *Server) sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-s.stopped:
		return false
	}
}

// abort ends an incomplete response: with 504 where the deadline has passed and nothing was sent, else by
// closing the connection.
func (s *Server) abort(ctx context.Context, w http.ResponseWriter, r *request) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && w.Header().Get(headerSignature) == "" {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if ctx.Err() == nil { // the server was stopped
		s.breakOff(r)
	}
	panic(http.ErrAbortHandler)
}

// Events returns the number of events of a response with so many tokens.
func Events(tokens, tokensPerEvent int) int {
	return max(1, (tokens+tokensPerEvent-1)/max(1, tokensPerEvent))
}

// EventData returns the data of an event. It follows from the request alone, so that any server can resume
// what another began.
func EventData(request string, n int) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s/%d", request, n))
	return hex.EncodeToString(sum[:12])
}

// Text returns the data of all events in order, as results of batch jobs hold it.
func Text(request string, events int) string {
	lines := make([]string, events)
	for i := range lines {
		lines[i] = EventData(request, i+1)
	}
	return strings.Join(lines, "\n")
}

// signature returns the X-Response-Signature of a server's response.
func signature(server, request string) string {
	sum := sha256.Sum256([]byte(server + "/" + request))
	return hex.EncodeToString(sum[:8])
}

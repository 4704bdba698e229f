package modelserver

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	maxBodyBytes = 8 << 20
	// defaultDeadline is the deadline of a request that names none.
	defaultDeadline = 10 * time.Second
	// defaultEvents is the number of events of a request that doesn't name its output tokens.
	defaultEvents = 8
)

// request is a request for tokens.
type request struct {
	id         string
	afterEvent int // the last event of the execution that it resumes; 0: from the start
	events     int // of the whole response
	parts      []promptPart
	body       []byte
}

// promptPart is a part of a prompt that the prefix cache holds as one.
type promptPart struct {
	id     string
	tokens int
}

// handleRequest answers a request for tokens. Everything before the execution is recorded is answered by a
// rejection.
func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return // the client ended the connection within the body
	}
	parsed := s.parseRequest(r, body)
	w.Header().Set(headerRequest, parsed.id)
	if parsed.id == "" {
		s.reject(w, http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get(headerExpectInstance); expected != "" && expected != s.options.ID {
		s.reject(w, http.StatusMisdirectedRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestDeadline(r))
	defer cancel()
	if s.currentFaults().Reject || !s.acquireSlot(ctx) {
		s.reject(w, http.StatusServiceUnavailable)
		return
	}
	defer s.releaseSlot()
	s.options.ExecutionLog.record(s, r, parsed)
	s.generate(ctx, w, parsed)
}

func (s *Server) parseRequest(r *http.Request, body []byte) *request {
	parsed := &request{id: r.Header.Get(headerRequest), body: body, events: defaultEvents}
	parsed.afterEvent, _ = strconv.Atoi(r.Header.Get(headerLastEvent))
	if _, output, found := strings.Cut(r.Header.Get(headerTokenUsage), ","); found {
		tokens, _ := strconv.Atoi(output)
		parsed.events = Events(tokens, s.options.TokensPerEvent)
	}
	for text := range strings.SplitSeq(r.Header.Get(headerPromptPrefix), ",") {
		if id, tokens, found := strings.Cut(text, ":"); found {
			count, _ := strconv.Atoi(tokens)
			parsed.parts = append(parsed.parts, promptPart{id, count})
		}
	}
	return parsed
}

// requestDeadline returns the time that the client waits for a response.
func requestDeadline(r *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(r.Header.Get(headerDeadline), 64)
	if err != nil || ms <= 0 {
		return defaultDeadline
	}
	return time.Duration(ms * float64(time.Millisecond))
}

package modelserver

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is a request for tokens on its way through the server.
type request struct {
	id         string
	afterEvent int // the event that another run ended with; 0: from the start
	events     int // of the whole answer
	parts      []promptPart
	body       []byte
}

// part is one part of a prompt.
type promptPart struct {
	id     string
	tokens int
}

// request answers a request for tokens.
func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return // it never came whole
	}
	one := s.parseRequest(r, body)
	w.Header().Set(headerRequest, one.id)
	if one.id == "" {
		s.reject(w, http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get(headerExpectInstance); expected != "" && expected != s.options.ID {
		s.reject(w, http.StatusMisdirectedRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestDeadline(r))
	defer cancel()
	if !s.acquireSlot(ctx) {
		s.reject(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	s.options.ExecutionLog.record(s, r, one)
	s.generate(ctx, w, one)
}

func (s *Server) parseRequest(r *http.Request, body []byte) *request {
	one := &request{id: r.Header.Get(headerRequest), body: body, events: defaultEvents}
	one.afterEvent, _ = strconv.Atoi(r.Header.Get(headerLastEvent))
	if _, out, found := strings.Cut(r.Header.Get(headerTokenUsage), ","); found {
		tokens, _ := strconv.Atoi(out)
		one.events = Events(tokens, s.options.TokensPerEvent)
	}
	for text := range strings.SplitSeq(r.Header.Get(headerPromptPrefix), ",") {
		if id, tokens, found := strings.Cut(text, ":"); found {
			count, _ := strconv.Atoi(tokens)
			one.parts = append(one.parts, promptPart{id, count})
		}
	}
	return one
}

// Events counts the events of an answer of so many tokens.
func Events(tokens, stride int) int { return max(1, (tokens+stride-1)/max(1, stride)) }

func requestDeadline(r *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(r.Header.Get(headerDeadline), 64)
	if err != nil || ms <= 0 {
		return defaultDeadline
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// run reads the prompt and puts the events out, one after the other.
func (s *Server) generate(ctx context.Context, w http.ResponseWriter, one *request) {
	unread := s.cache.insert(one.parts)
	if !s.sleep(ctx, time.Duration(float64(unread)/s.options.PrefillRate*float64(time.Second))) {
		s.abort(ctx, w)
		return
	}
	if s.options.FailStatus != nil {
		if status := s.options.FailStatus(one.id); status != 0 {
			w.Header().Set(headerSignature, signature(s.options.ID, one.id))
			http.Error(w, "failed", status)
			return
		}
	}
	s.setLoadHeader(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(headerSignature, signature(s.options.ID, one.id))
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	for n := one.afterEvent + 1; n <= one.events; n++ {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, EventData(one.id, n))
		if control.Flush() != nil {
			return // the caller has gone, which drops the request
		}
		if n < one.events && !s.sleep(ctx, s.eventInterval()) {
			s.abort(ctx, w)
			return
		}
	}
}

// step is the time of an event: batches slow each request down.
func (s *Server) eventInterval() time.Duration {
	share := float64(len(s.slots)) / float64(s.options.Slots)
	return time.Duration(float64(s.options.EventInterval) * (1 + share))
}

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

// breakOff ends an answer that has no end: at the deadline with a 504 where nothing was put out, else by a cut.
func (s *Server) abort(ctx context.Context, w http.ResponseWriter) {
	if ctx.Err() == context.DeadlineExceeded && w.Header().Get(headerSignature) == "" {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	panic(http.ErrAbortHandler)
}

// EventData is the data of an event. It follows from the request alone, so that any server continues what another began.
func EventData(request string, n int) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s/%d", request, n))
	return hex.EncodeToString(sum[:12])
}

// Text is the data of all events in order, as results of batch jobs hold it.
func Text(request string, events int) string {
	lines := make([]string, events)
	for i := range lines {
		lines[i] = EventData(request, i+1)
	}
	return strings.Join(lines, "\n")
}

func signature(server, request string) string {
	sum := sha256.Sum256([]byte(server + "/" + request))
	return hex.EncodeToString(sum[:8])
}

// report is the server's state, as GET /report tells it.
type report struct {
	Stage    string        `json:"stage"`
	Models   []reportModel `json:"models"`
	Busy     bool          `json:"busy"`
	Sequence int           `json:"sequence"`
	Waiting  int64         `json:"waiting"`
	Running  int           `json:"running"`
	KVUsed   int           `json:"kv-used"`
	KVTotal  int           `json:"kv-total"`
	Handles  int           `json:"handles"`
}

type reportModel struct {
	Name       string   `json:"name"`
	Generation int      `json:"generation"`
	Adapters   []string `json:"adapters"`
}

func (s *Server) handleReport(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report{ // a caller that has gone needs none
		Stage:   "both",
		Models:  []reportModel{{Name: "m", Generation: 1, Adapters: []string{}}},
		Waiting: s.queued.Load(),
		Running: s.Running(),
		KVUsed:  s.cache.used(),
		KVTotal: s.options.KVTokens,
	})
}

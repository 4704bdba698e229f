package modelserver

import (
	"net/http"
	"sync"
	"time"
)

// Run is one request that a server began to work on.
type Run struct {
	At      time.Time
	Server  string
	Service string
	Request string
	Host    string
	Path    string
	Tenant  string
	Key     string // a client's key, which no server is to see
	After   int    // the event after which it continues another run; 0: from the start
	Body    []byte
}

// Ledger keeps the runs of all servers.
type Ledger struct {
	mu   sync.Mutex
	runs []Run
}

func (l *Ledger) ran(s *Server, r *http.Request, one *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, Run{
		At:      time.Now(),
		Server:  s.options.ID,
		Service: s.options.Service,
		Request: one.id,
		Host:    r.Host,
		Path:    r.URL.Path,
		Tenant:  r.Header.Get(headerTenant),
		Key:     r.Header.Get(headerKey),
		After:   one.after,
		Body:    one.body,
	})
}

// Runs gives all so far.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}

// Twice counts the requests that began from the start more than once.
func (l *Ledger) Twice() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	began := map[string]int{}
	twice := 0
	for _, run := range l.runs {
		if run.After > 0 {
			continue
		}
		if began[run.Request]++; began[run.Request] == 2 {
			twice++
		}
	}
	return twice
}

package modelserver

import (
	"net/http"
	"sync"
	"time"
)

// Run is one request that a server began to work on.
type Execution struct {
	Time       time.Time
	ServerID   string
	Service    string
	RequestID  string
	Host       string
	Path       string
	Tenant     string
	APIKey     string // a client's key, which no server is to see
	AfterEvent int    // the event after which it continues another run; 0: from the start
	Body       []byte
}

// Ledger keeps the runs of all servers.
type ExecutionLog struct {
	mu         sync.Mutex
	executions []Execution
}

func (l *ExecutionLog) record(s *Server, r *http.Request, one *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions = append(l.executions, Execution{
		Time:       time.Now(),
		ServerID:   s.options.ID,
		Service:    s.options.Service,
		RequestID:  one.id,
		Host:       r.Host,
		Path:       r.URL.Path,
		Tenant:     r.Header.Get(headerTenant),
		APIKey:     r.Header.Get(headerKey),
		AfterEvent: one.afterEvent,
		Body:       one.body,
	})
}

// Runs gives all so far.
func (l *ExecutionLog) Executions() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Execution(nil), l.executions...)
}

// Twice counts the requests that began from the start more than once.
func (l *ExecutionLog) Duplicates() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	began := map[string]int{}
	twice := 0
	for _, run := range l.executions {
		if run.AfterEvent > 0 {
			continue
		}
		if began[run.RequestID]++; began[run.RequestID] == 2 {
			twice++
		}
	}
	return twice
}

package modelserver

import (
	"net/http"
	"slices"
	"sync"
	"time"
)

// Execution is one request that a server began to work on.
type Execution struct {
	Time       time.Time
	ServerID   string
	Service    string
	RequestID  string
	Host       string
	Path       string
	Tenant     string
	APIKey     string // a client's key, which no server should get
	AfterEvent int    // the event after which it resumes another execution; 0: from the start
	Body       []byte
}

// ExecutionLog records the executions of all servers, in order of their start.
type ExecutionLog struct {
	mu         sync.Mutex // guards the fields below
	executions []Execution
	brokenOff  map[string]bool // by request id: a server broke off an execution
}

func (l *ExecutionLog) recordBrokenOff(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.brokenOff == nil {
		l.brokenOff = map[string]bool{}
	}
	l.brokenOff[id] = true
}

// BrokenOff returns whether a server broke off an execution of a request of its own accord.
func (l *ExecutionLog) BrokenOff(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.brokenOff[id]
}

// Executed returns whether a server began to work on a request.
func (l *ExecutionLog) Executed(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.executions, func(e Execution) bool { return e.RequestID == id })
}

func (l *ExecutionLog) record(s *Server, r *http.Request, parsed *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions = append(l.executions, Execution{
		Time:       time.Now(),
		ServerID:   s.options.ID,
		Service:    s.options.Service,
		RequestID:  parsed.id,
		Host:       r.Host,
		Path:       r.URL.Path,
		Tenant:     r.Header.Get(headerTenant),
		APIKey:     r.Header.Get(headerKey),
		AfterEvent: parsed.afterEvent,
		Body:       parsed.body,
	})
}

// Executions returns all executions so far.
func (l *ExecutionLog) Executions() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.executions)
}

// Duplicates returns the number of requests that were executed from the start more than once.
func (l *ExecutionLog) Duplicates() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	starts := map[string]int{}
	duplicates := 0
	for _, execution := range l.executions {
		if execution.AfterEvent > 0 {
			continue
		}
		if starts[execution.RequestID]++; starts[execution.RequestID] == 2 {
			duplicates++
		}
	}
	return duplicates
}

package faultyserver

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
)

// Item makes up an item of a batch job.
func (a *Checker) NewItem(r *rand.Rand, id string) *Request {
	t := &Request{ID: id, Route: RouteItem, Path: fmt.Sprintf("/item/%x", r.Uint32()), Events: 1 + r.IntN(maxEvents)}
	t.Header = http.Header{"X-Model": {"m"}, "X-Prompt-Prefix": {fmt.Sprintf("%x:7", r.Uint32())}}
	t.Body = requestBody(id, randomBodyLength(r))
	a.recordRequest(t)
	return t
}

// Count counts something that came about.
func (a *Checker) Count(what string) { a.count(what) }

// Counts gives what came about.
func (a *Checker) Counts() map[string]int { return a.counts }

// Failf notes a broken rule.
func (a *Checker) Failf(format string, parts ...any) { a.failf(format, parts...) }

// Runs gives the runs of a try so far that were asked for with some X-Attempt.
func (a *Checker) Executions(t *Request, attempt string) (list []*Execution) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, run := range a.executions[t.ID] {
		if run.Attempt == attempt {
			list = append(list, run)
		}
	}
	return list
}

// Collected holds that data is that of an item's events from the first one on, each by a run that was asked to go on where it did.
func (a *Checker) CheckCollected(t *Request, data []string, complete bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var by *Execution
	for i, text := range data {
		_, stamp, _ := strings.Cut(text, " by ")
		run := a.bySignature[stamp]
		if run == nil || run.Request != t || text != run.eventData(i+1) {
			a.failLocked("%s: in place of event %d stands %q", t.ID, i+1, text)
			return
		}
		if run != by && run.AfterEvent != i {
			a.failLocked("%s: after event %d comes a run that was asked to go on after %d", t.ID, i, run.AfterEvent)
		}
		by = run
	}
	if complete && len(data) != t.Events {
		a.failLocked("%s: complete after event %d of %d", t.ID, len(data), t.Events)
	}
}

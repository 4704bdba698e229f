package faultyserver

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
)

// Item makes up an item of a batch job.
func (a *Audit) Item(r *rand.Rand, id string) *Try {
	t := &Try{ID: id, Route: RouteItem, Path: fmt.Sprintf("/item/%x", r.Uint32()), Events: 1 + r.IntN(mostEvents)}
	t.Header = http.Header{"X-Model": {"m"}, "X-Prompt-Prefix": {fmt.Sprintf("%x:7", r.Uint32())}}
	t.Body = bodyOf(id, lengthOf(r))
	a.sent(t)
	return t
}

// Count counts something that came about.
func (a *Audit) Count(what string) { a.count(what) }

// Counts gives what came about.
func (a *Audit) Counts() map[string]int { return a.counts }

// Failf notes a broken rule.
func (a *Audit) Failf(format string, parts ...any) { a.failf(format, parts...) }

// Runs gives the runs of a try so far that were asked for with some X-Attempt.
func (a *Audit) Runs(t *Try, attempt string) (list []*Run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, run := range a.runs[t.ID] {
		if run.Attempt == attempt {
			list = append(list, run)
		}
	}
	return list
}

// Collected holds that data is that of an item's events from the first one on, each by a run that was asked to go on where it did.
func (a *Audit) Collected(t *Try, data []string, complete bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var by *Run
	for i, text := range data {
		_, stamp, _ := strings.Cut(text, " by ")
		run := a.stamps[stamp]
		if run == nil || run.Try != t || text != run.data(i+1) {
			a.fail("%s: in place of event %d stands %q", t.ID, i+1, text)
			return
		}
		if run != by && run.After != i {
			a.fail("%s: after event %d comes a run that was asked to go on after %d", t.ID, i, run.After)
		}
		by = run
	}
	if complete && len(data) != t.Events {
		a.fail("%s: complete after event %d of %d", t.ID, len(data), t.Events)
	}
}

package soak

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/fake/modelserver"
	"sprucelane.example/sprucelane/internal/lab/system"
)

const (
	// maxReaders is the number of batch jobs that are read at the same time.
	maxReaders = 16
	// readBackTimeout bounds the final reads: by then every item of every batch job has a result.
	readBackTimeout = 30 * time.Second
)

// readBackAll reads all batch jobs completely at every gateway, and checks what the servers executed.
func (r *run) readBackAll(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(readBackTimeout))
	defer cancel()
	for _, m := range r.frontMachines {
		r.readAllAt(ctx, m)
	}
	r.checkExecutions()
}

// readAllAt reads all batch jobs completely at one gateway.
func (r *run) readAllAt(ctx context.Context, m system.Machine) {
	late := forEachJob(r.jobs.existing(), func(_ int, j *job) bool {
		for !r.readComplete(ctx, m, j) {
			if !sleep(ctx, pollInterval) {
				return false
			}
		}
		return true
	})
	if len(late) > 0 {
		r.checker.violated(RuleAccepted, "%d batch jobs can't be read completely at %s: %s", len(late), m.Name,
			summarize(late))
	}
}

// readComplete reads a batch job from its start, and returns whether that gave all of its items.
func (r *run) readComplete(ctx context.Context, m system.Machine, j *job) bool {
	results, _ := r.readJob(ctx, m, j, 0)
	return results == j.items
}

// checkExecutions compares what servers executed with what clients got: nothing that no client sent, nothing of a batch
// job that was only rejected, and at least one execution for each result.
func (r *run) checkExecutions() {
	executions := map[string]int{} // by batch job
	r.checkOrigins()
	for _, execution := range r.cluster.ExecutionLog.Executions() {
		if name, found := cutItemNumber(execution.RequestID); found {
			executions[name]++
		}
	}
	for _, j := range r.jobs.all() {
		rejected, results := j.outcome()
		if rejected && executions[j.name] > 0 {
			r.checker.violated(RuleRejection, "%s got rejections only, and %d of its items ran", j.name,
				executions[j.name])
		}
		if executions[j.name] < results {
			r.checker.violated(RulePositions, "%s has %d results, and servers ran %d", j.name, results,
				executions[j.name])
		}
	}
}

// checkOrigins checks that servers executed only requests that clients sent, as they sent them and for their tenant.
func (r *run) checkOrigins() {
	jobs := map[string]bool{}
	for _, j := range r.jobs.all() {
		jobs[j.name] = true
	}
	for _, execution := range r.cluster.ExecutionLog.Executions() {
		if problem := checkOrigin(execution, jobs); problem != "" {
			r.checker.violated(RuleHostile, "%s executed a request %s: id %q, path %q, tenant %q, host %q", execution.ServerID,
				problem, execution.RequestID, execution.Path, execution.Tenant, execution.Host)
		}
	}
}

// checkOrigin returns what is wrong with an execution, given the names of the batch jobs that clients sent; empty:
// nothing.
func checkOrigin(execution modelserver.Execution, jobs map[string]bool) (problem string) {
	if execution.Tenant != system.TenantName {
		return "for another tenant than the client's"
	}
	if execution.APIKey != "" {
		return "with the client's key"
	}
	if execution.Path == system.StreamPath && execution.Host == system.StreamHost {
		if !isStreamID(execution.RequestID) {
			return "that no client sent"
		}
		return ""
	}
	job, found := cutItemNumber(execution.RequestID)
	if !found || !jobs[job] || execution.Host != system.BatchHost {
		return "that no client sent"
	}
	item := execution.RequestID[len(job)+1:]
	if number, err := strconv.Atoi(item); err != nil || execution.Path != system.ItemPath(number) {
		return "with another path than the client's"
	}
	return ""
}

// isStreamID returns whether an id is one of the streaming requests that clients send. Ids of hostile requests are, and
// those of items of hostile batch jobs aren't.
func isStreamID(id string) bool {
	if number, found := strings.CutPrefix(id, hostilePrefix); found {
		return !strings.Contains(number, "-")
	}
	return strings.HasPrefix(id, "stream-") || strings.HasPrefix(id, "kept-") || strings.HasPrefix(id, "first-")
}

// cutItemNumber returns the batch job of an item's id; see system.ItemID.
func cutItemNumber(id string) (job string, found bool) {
	at := strings.LastIndex(id, "-")
	if at < 0 {
		return "", false
	}
	return id[:at], true
}

// forEachJob calls do for all jobs, maxReaders at a time, and returns the sorted names of those for which it
// returned false.
func forEachJob(jobs []*job, do func(i int, j *job) bool) (late []string) {
	readers := make(chan struct{}, maxReaders)
	var all sync.WaitGroup
	var mu sync.Mutex // guards late
	for i, j := range jobs {
		readers <- struct{}{}
		all.Go(func() {
			defer func() { <-readers }()
			if !do(i, j) {
				mu.Lock()
				defer mu.Unlock()
				late = append(late, j.name)
			}
		})
	}
	all.Wait()
	slices.Sort(late)
	return late
}

// summarize lists the first names.
func summarize(names []string) string {
	const shown = 10
	if len(names) > shown {
		return strings.Join(names[:shown], " ") + fmt.Sprintf(" and %d more", len(names)-shown)
	}
	return strings.Join(names, " ")
}

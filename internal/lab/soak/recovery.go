package soak

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/lab/system"
)

const (
	maxReaders      = 16
	readBackTimeout = 30 * time.Second // after the last trouble: all items of all batch jobs are listed
)

// awaitRecovery waits until gateways are ready, stores have settled and all batch jobs answer, and enters what doesn't come in time.
// It tells whether all came. From then on disks may be lost again.
func (r *run) awaitRecovery(ctx context.Context) bool {
	healed := time.Now()
	limited, cancel := context.WithDeadline(ctx, healed.Add(RecoveryTimeout))
	defer cancel()
	parts := []func() bool{
		func() bool { return r.awaitReady(limited) },
		func() bool { return r.awaitAnswers(limited) },
		func() bool { return r.awaitControl(limited) },
		func() bool { return r.awaitChain(limited) },
		func() bool { return r.awaitReconciled(ctx, healed) },
	}
	came := make(chan bool, len(parts))
	for _, part := range parts {
		go func() { came <- part() }()
	}
	recovered := true
	for range parts {
		recovered = <-came && recovered
	}
	if recovered {
		r.budget.reset()
		r.timeline.note(kindRecovered)
	}
	return recovered
}

// awaitReady waits for all gateways to be ready.
func (r *run) awaitReady(ctx context.Context) bool {
	for {
		late := slices.DeleteFunc(slices.Clone(r.frontMachines), r.fleet.Ready)
		if len(late) == 0 {
			return true
		}
		if !sleep(ctx, pollInterval) {
			r.checker.violated(RuleRecovery, "not ready %v after the last trouble: %s", RecoveryTimeout, machineNames(late))
			return false
		}
	}
}

// awaitControl waits for all control processes to tell what was acknowledged last.
func (r *run) awaitControl(ctx context.Context) bool {
	late := slices.Clone(r.frontMachines)
	for {
		late = slices.DeleteFunc(late, func(m system.Machine) bool { return r.operator.checkRead(ctx, m) })
		if len(late) == 0 {
			return true
		}
		if !sleep(ctx, pollInterval) {
			r.checker.violated(RuleRecovery, "no GET /config %v after the last trouble: %s", RecoveryTimeout, machineNames(late))
			return false
		}
	}
}

// awaitChain waits for all control processes to be in the chain: one that isn't holds no copy that counts.
func (r *run) awaitChain(ctx context.Context) bool {
	for !r.logs.chainComplete() {
		if !sleep(ctx, pollInterval) {
			r.checker.violated(RuleRecovery, "control's chain isn't whole %v after the last trouble: %s", RecoveryTimeout, r.logs.chain())
			return false
		}
	}
	return true
}

// awaitSettled waits for all stores to say that all is whole. They say something only now and then: what was settled in time is
// known later.
func (r *run) awaitReconciled(ctx context.Context, healed time.Time) bool {
	ctx, cancel := context.WithDeadline(ctx, healed.Add(RecoveryTimeout+stateInterval))
	defer cancel()
	for !r.logs.reconciled(healed) {
		if !sleep(ctx, pollInterval) {
			r.checker.violated(RuleRecovery, "stores haven't settled %v after the last trouble: %s", RecoveryTimeout+stateInterval, r.logs.describeStores())
			return false
		}
	}
	return true
}

// awaitAnswers waits for all accepted batch jobs to be read with 200, anywhere.
func (r *run) awaitAnswers(ctx context.Context) bool {
	list := slices.DeleteFunc(r.jobs.all(), func(one *job) bool { return !one.mustExist() })
	late := map[string]bool{}
	var mu sync.Mutex
	r.forEachJob(list, func(i int, one *job) {
		for try := i; ; try++ {
			if _, answered := r.readJob(ctx, r.frontMachines[try%len(r.frontMachines)], one, 0); answered || !one.mustExist() {
				return
			}
			if !sleep(ctx, pollInterval) {
				break
			}
		}
		mu.Lock()
		defer mu.Unlock()
		late[one.name] = true
	})
	if len(late) > 0 {
		r.checker.violated(RuleRecovery, "%d of %d batch jobs get no 200 %v after the last trouble: %s", len(late), len(list), RecoveryTimeout,
			summarize(late))
	}
	return len(late) == 0
}

// eachJob does something to all batch jobs, a few at once.
func (r *run) forEachJob(list []*job, do func(int, *job)) {
	open := make(chan struct{}, maxReaders)
	var all sync.WaitGroup
	for i, one := range list {
		open <- struct{}{}
		all.Go(func() {
			defer func() { <-open }()
			do(i, one)
		})
	}
	all.Wait()
}

// someOf names a few.
func summarize(names map[string]bool) string {
	const most = 10
	var list []string
	for name := range names {
		list = append(list, name)
	}
	slices.Sort(list)
	if len(list) > most {
		return strings.Join(list[:most], " ") + fmt.Sprintf(" and %d more", len(list)-most)
	}
	return strings.Join(list, " ")
}

// recover reads everything back at every gateway, and looks for what should not be there.
func (r *run) readBackAll(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(readBackTimeout))
	defer cancel()
	for _, m := range r.frontMachines {
		r.readAllAt(ctx, m)
	}
	r.checkExecutions()
}

// readAllAt reads all batch jobs whole at a gateway.
func (r *run) readAllAt(ctx context.Context, m system.Machine) {
	late := map[string]bool{}
	var mu sync.Mutex
	r.forEachJob(slices.DeleteFunc(r.jobs.all(), func(one *job) bool { return !one.mustExist() }), func(_ int, one *job) {
		for !r.readComplete(ctx, m, one) {
			if !sleep(ctx, pollInterval) {
				mu.Lock()
				defer mu.Unlock()
				late[one.name] = true
				return
			}
		}
	})
	if len(late) > 0 {
		r.checker.violated(RuleAccepted, "%d batch jobs can't be read whole at %s: %s", len(late), m.Name, summarize(late))
	}
}

// readWhole reads a batch job from its start, and tells whether that gave all of its items.
func (r *run) readComplete(ctx context.Context, m system.Machine, one *job) bool {
	listed, _ := r.readJob(ctx, m, one, 0)
	return listed == one.items
}

// judgeRuns compares what servers ran with what clients were told: nothing of a batch job that was refused only, and each item of one
// that was read whole.
func (r *run) checkExecutions() {
	runs := map[string]int{}
	for _, ran := range r.fleet.ExecutionLog.Executions() {
		if name, _, found := cutLast(ran.RequestID, "-"); found {
			runs[name]++
		}
	}
	for _, one := range r.jobs.all() {
		one.mu.Lock()
		refused, listed := one.rejected, len(one.results)
		one.mu.Unlock()
		if refused && runs[one.name] > 0 {
			r.checker.violated(RuleRejection, "%s got refusals only, and %d of its items ran", one.name, runs[one.name])
		}
		if runs[one.name] < listed {
			r.checker.violated(RulePositions, "%s has %d results, and servers ran %d", one.name, listed, runs[one.name])
		}
	}
}

// cutLast cuts a text at the last separator.
func cutLast(text, separator string) (before, after string, found bool) {
	at := strings.LastIndex(text, separator)
	if at < 0 {
		return text, "", false
	}
	return text[:at], text[at+len(separator):], true
}

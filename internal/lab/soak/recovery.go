package soak

import (
	"context"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/lab/system"
)

const (
	// RecoveryTimeout is how long the system may take to be well again after the last fault.
	RecoveryTimeout = 20 * time.Second
	// stateInterval bounds how long a store takes to log a new state: the interval in programs built with
	// faultinjection, and a second.
	stateInterval = 2 * time.Second
	// minChain is the length of control's chain however few disks may be lost.
	minChain = 3
)

// awaitRecovery waits until gateways are ready, control is complete, stores are reconciled and all batch jobs
// can be read, and reports what isn't in time. It returns whether all is; then disks may be lost again.
func (r *run) awaitRecovery(ctx context.Context) bool {
	healed := time.Now()
	limited, cancel := context.WithDeadline(ctx, healed.Add(RecoveryTimeout))
	defer cancel()
	conditions := []func() bool{
		func() bool { return r.awaitReady(limited) },
		func() bool { return r.awaitReadable(limited) },
		func() bool { return r.awaitControl(limited) },
		func() bool { return r.awaitChain(limited) },
		func() bool { return r.awaitReconciled(ctx, healed) },
	}
	met := make(chan bool, len(conditions))
	for _, condition := range conditions {
		go func() { met <- condition() }()
	}
	recovered := true
	for range conditions {
		recovered = <-met && recovered
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
		late := slices.DeleteFunc(slices.Clone(r.frontMachines), r.cluster.Ready)
		if len(late) == 0 {
			return true
		}
		if !sleep(ctx, pollInterval) {
			r.checker.violated(RuleRecovery, "not ready %v after the last fault: %s", RecoveryTimeout,
				machineNames(late))
			return false
		}
	}
}

// awaitControl waits for all control processes to return the acknowledged configuration.
func (r *run) awaitControl(ctx context.Context) bool {
	late := slices.Clone(r.controls)
	for {
		late = slices.DeleteFunc(late, func(m system.Machine) bool { return r.operator.checkRead(ctx, m) })
		if len(late) == 0 {
			return true
		}
		if !sleep(ctx, pollInterval) {
			r.checker.violated(RuleRecovery, "no GET /config %v after the last fault: %s", RecoveryTimeout,
				machineNames(late))
			return false
		}
	}
}

// awaitChain waits for as many control processes to be in the chain as the system keeps there for the disks that may be
// lost (coord/view.TargetVoters), or all if there are fewer: one outside of it holds no replica that counts, so that the
// loss of further disks could exceed what the system tolerates.
func (r *run) awaitChain(ctx context.Context) bool {
	least := min(len(r.controls), max(minChain, 2*r.options.MaxLostDisks+1))
	for !r.logs.chainComplete(least) {
		if !sleep(ctx, pollInterval) {
			r.checker.violated(RuleRecovery, "control's chain isn't complete %v after the last fault: %s",
				RecoveryTimeout, r.logs.chain())
			return false
		}
	}
	return true
}

// awaitReconciled waits for all stores to log that they are reconciled. As they log their state only every
// stateInterval, the wait is longer by that.
func (r *run) awaitReconciled(ctx context.Context, healed time.Time) bool {
	const timeout = RecoveryTimeout + stateInterval
	ctx, cancel := context.WithDeadline(ctx, healed.Add(timeout))
	defer cancel()
	for !r.logs.reconciled(healed) {
		if !sleep(ctx, pollInterval) {
			r.checker.violated(RuleRecovery, "stores aren't reconciled %v after the last fault: %s", timeout,
				r.logs.describeStores())
			return false
		}
	}
	return true
}

// awaitReadable waits for each accepted batch job to be read with 200, at any gateway.
func (r *run) awaitReadable(ctx context.Context) bool {
	jobs := r.jobs.existing()
	late := forEachJob(jobs, func(i int, j *job) bool {
		for attempt := i; ; attempt++ {
			m := r.frontMachines[attempt%len(r.frontMachines)]
			if _, answered := r.readJob(ctx, m, j, 0); answered || !j.mustExist() {
				return true
			}
			if !sleep(ctx, pollInterval) {
				return false
			}
		}
	})
	if len(late) > 0 {
		r.checker.violated(RuleRecovery, "%d of %d batch jobs get no 200 %v after the last fault: %s", len(late),
			len(jobs), RecoveryTimeout, summarize(late))
	}
	return len(late) == 0
}

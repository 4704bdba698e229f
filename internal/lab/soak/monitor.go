package soak

import (
	"context"
	"strings"
	"time"
)

// monitorProcesses reports processes that exit by themselves, starts them again, and reads the logs for
// violated invariants.
func (r *run) monitorProcesses(ctx context.Context) {
	for sleep(ctx, pollInterval) {
		for _, t := range r.targets {
			if exited, reason := t.detectExit(); exited {
				r.checker.violated(RuleProcesses, "%s ended by itself: %s", t.name(), reason)
				r.restart(ctx, []*target{t}, []time.Duration{0})
			}
		}
		r.logs.poll()
		for name, invariants := range r.logs.takeViolations() {
			r.checker.violated(RuleInvariants, "%s: %s", name, strings.Join(invariants, "; "))
		}
	}
}

const (
	hostTick = 50 * time.Millisecond
	// hostStallThreshold is the delay of a tick beyond which the machine counts as stalled.
	hostStallThreshold = 400 * time.Millisecond
)

// monitorHost notes on the timeline when the machine gives this process no time: then it gives the system
// none either, and a late response is no violation.
func (r *run) monitorHost(ctx context.Context) {
	last := time.Now()
	for sleep(ctx, hostTick) {
		if now := time.Now(); now.Sub(last) > hostTick+hostStallThreshold {
			r.timeline.hostStalled(last)
		}
		last = time.Now()
	}
}

package soak

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// Rule names one of the promises that the checker holds the system to.
type Rule string

// The rules.
const (
	// RuleAccepted holds that a batch job that got 202 can be read at every gateway until it is ended.
	RuleAccepted Rule = "accepted"
	// RulePositions holds that each item is listed once, complete, at one position.
	RulePositions Rule = "positions"
	// RuleRejection holds that a batch job that got nothing but 429 and 503 hasn't run and won't.
	RuleRejection Rule = "refusal"
	// RuleAnswer holds that a request gets a response within its deadline and responseSlack.
	RuleAnswer Rule = "answer"
	// RuleBelongs holds that a response is the complete one of the request that it answers.
	RuleBelongs Rule = "belongs"
	// RuleHostile holds that a server runs nothing but requests that clients sent, as they sent them, for their tenant.
	RuleHostile Rule = "hostile"
	// RuleConfiguration holds that an acknowledged change is read back, and is acknowledged again when it is repeated.
	RuleConfiguration Rule = "configuration"
	// RuleRecovery holds that the system is well again RecoveryTimeout after the last fault.
	RuleRecovery Rule = "recovery"
	// RuleInvariants holds that no process reports a violated invariant of its own.
	RuleInvariants Rule = "invariants"
	// RuleProcesses holds that no process exits by itself, and each exits with 0 when it is asked to.
	RuleProcesses Rule = "processes"
)

const (
	// maxViolations is the number of violations that are recorded; more are only counted.
	maxViolations = 40
	// timelineWindow is how much of the timeline before it is reported with a violation.
	timelineWindow = 20 * time.Second
	// timelineInterval is the time after which the timeline is reported again with another violation.
	timelineInterval = 5 * time.Second
)

// Violation is a rule that was broken.
type Violation struct {
	Rule     Rule
	At       time.Duration // since the load began
	Text     string
	Timeline string // of the faults before it; empty: it was reported with the violation before
}

// String describes the violation, and the faults before it on lines of their own.
func (v Violation) String() string {
	return fmt.Sprintf("%.3f s: %s: %s\n%s", v.At.Seconds(), v.Rule, v.Text, v.Timeline)
}

// checker collects the violations of a run.
type checker struct {
	timeline *timeline
	out      io.Writer

	mu            sync.Mutex  // guards the fields below, and the order of what is written to out
	recorded      []Violation // the first maxViolations
	total         int
	timelineShown time.Time       // when the timeline was last reported
	runContext    context.Context // once it has ended nothing counts as a violation any more
}

func newChecker(timeline *timeline, out io.Writer) *checker {
	return &checker{timeline: timeline, out: out, runContext: context.Background()}
}

// checkDuring has violations count until the run is interrupted: what fails afterwards fails because of the
// interruption.
func (c *checker) checkDuring(run context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runContext = run
}

// violated records a violation.
func (c *checker) violated(rule Rule, format string, arguments ...any) {
	now := time.Now()
	violation := Violation{Rule: rule, At: now.Sub(c.timeline.start), Text: fmt.Sprintf(format, arguments...)}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runContext.Err() != nil {
		return
	}
	c.total++
	if len(c.recorded) == maxViolations {
		return
	}
	if now.Sub(c.timelineShown) > timelineInterval {
		c.timelineShown = now
		violation.Timeline = c.timeline.render(now, timelineWindow)
	}
	c.recorded = append(c.recorded, violation)
	fmt.Fprintln(c.out, "BROKEN at", violation)
}

// violations returns the recorded violations, and the number of those beyond them.
func (c *checker) violations() (recorded []Violation, omitted int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recorded, c.total - len(c.recorded)
}

package soak

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// Rule names what the referee holds the system to.
type Rule string

// The rules.
const (
	RuleAccepted      Rule = "accepted"      // a batch job that got 202 can be read until it is ended, at every gateway
	RulePositions     Rule = "positions"     // each item is listed once, whole, at one position
	RuleRejection     Rule = "refusal"       // what got 429 or 503 only has not run and will not
	RuleAnswer        Rule = "answer"        // a request gets an answer within its deadline and lateness
	RuleBelongs       Rule = "belongs"       // an answer is the whole one of the request that asked
	RuleConfiguration Rule = "configuration" // what was acknowledged is read back, and acknowledged again
	RuleRecovery      Rule = "recovery"      // all is well RecoverWithin after the last trouble
	RuleInvariants    Rule = "invariants"    // no process says that something happened that never may
	RuleProcesses     Rule = "processes"     // none ends by itself, and all end when they are asked to
)

const (
	maxViolations = 40
	// toldBefore is how much of the time line is told with a violation.
	timelineWindow = 20 * time.Second
	// toldAgain is the time after which it is told again with another.
	timelineInterval = 5 * time.Second
)

// Violation is a broken rule.
type Violation struct {
	Rule     Rule
	At       time.Duration // since the load began
	Text     string
	Timeline string // of the troubles before; empty: it was told with the one before
}

// String words it with its time line.
func (v Violation) String() string {
	return fmt.Sprintf("%.3f s: %s: %s\n%s", v.At.Seconds(), v.Rule, v.Text, v.Timeline)
}

// referee collects broken rules.
type checker struct {
	timeline *timeline
	out      io.Writer

	mu            sync.Mutex
	recorded      []Violation
	total         int
	timelineShown time.Time // when the time line was told last
	runContext    context.Context
}

// judge lets it judge for as long as a run isn't interrupted.
func (r *checker) checkDuring(run context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runContext = run
}

func newChecker(timeline *timeline, out io.Writer) *checker {
	return &checker{timeline: timeline, out: out, runContext: context.Background()}
}

// broken enters a violation.
func (r *checker) violated(rule Rule, format string, arguments ...any) {
	now := time.Now()
	one := Violation{Rule: rule, At: now.Sub(r.timeline.start), Text: fmt.Sprintf(format, arguments...)}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runContext.Err() != nil {
		return
	}
	r.total++
	if len(r.recorded) == maxViolations {
		return
	}
	if now.Sub(r.timelineShown) > timelineInterval {
		r.timelineShown = now
		one.Timeline = r.timeline.render(now, timelineWindow)
	}
	r.recorded = append(r.recorded, one)
	fmt.Fprintln(r.out, "BROKEN at", one)
}

// list gives the violations that are kept, and how many more there were.
func (r *checker) violations() (kept []Violation, more int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recorded, r.total - len(r.recorded)
}

// counter counts from several goroutines.
type counter struct {
	mu sync.Mutex
	n  int
}

func (c *counter) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
}

func (c *counter) value() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

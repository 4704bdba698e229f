package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"
)

// Figures of retirements.
const (
	retirementPollInterval = 500 * time.Millisecond
	maxAbsence             = 3 * time.Second
)

// retirement is how far one is.
type retirement string

// The states that control tells, and one for a retirement that was not ordered.
const (
	retirementNone      retirement = ""
	retirementActive    retirement = "active"
	retirementCompleted retirement = "completed"
)

// retire orders one retirement and sees it through. Completed without having been active may be said of a former life of the store:
// then its disk counts as lost.
func (r *run) retire(ctx context.Context, random *rand.Rand, one *target) {
	over := r.timeline.add(KindRetire, "%s", one.machine.Name)
	defer over()
	state, answered := r.requestRetirement(ctx, random, one, http.MethodPost)
	for !answered && sleep(ctx, retirementPollInterval) {
		state, answered = r.requestRetirement(ctx, random, one, http.MethodPost)
	}
	if state == retirementNone {
		return
	}
	surely := state == retirementActive
	for state != retirementCompleted || !surely && r.budget.acquire(1) == 0 {
		if !sleep(ctx, retirementPollInterval) {
			r.checker.violated(RuleRecovery, "the retirement of %s is not over", one.machine.Name)
			return
		}
		if told, answered := r.requestRetirement(ctx, random, one, http.MethodGet); answered {
			state = told
		}
	}
	r.replaceStore(ctx, random, one)
}

// askRetirement orders a retirement, or asks how far it is. It tells whether the answer was clear.
func (r *run) requestRetirement(ctx context.Context, random *rand.Rand, one *target, method string) (state retirement, answered bool) {
	m := r.randomFrontMachine(random)
	var body []byte
	if method == http.MethodPost {
		body = []byte("{}")
	}
	status, answer, _ := r.operator.call(ctx, m, method, "/retire/"+one.machine.Name, 0, body)
	switch status {
	case http.StatusOK:
		var told struct {
			State retirement `json:"state"`
		}
		err := json.Unmarshal(answer, &told)
		return told.State, err == nil
	case 0, http.StatusServiceUnavailable:
		return retirementNone, false
	case http.StatusNotFound, http.StatusConflict: // it is out of the set, or too few would remain
		return retirementNone, true
	default:
		r.checker.violated(RuleConfiguration, "%s of the retirement of %s got %d from %s: %s", method, one.machine.Name, status, m.Name, answer)
		return retirementNone, true
	}
}

// takeAway takes a store that was emptied away with its disk, which nobody needs, and brings it back.
func (r *run) replaceStore(ctx context.Context, random *rand.Rand, one *target) {
	after := randomDurations(random, 1, maxAbsence)
	over := r.timeline.add(KindRetire, "%s is completed and goes away", describeRestarts([]*target{one}, after))
	defer over()
	if err := one.wipe(); err != nil {
		r.checker.violated(RuleProcesses, "the disk could not be emptied: %v", err)
	}
	r.restart(ctx, []*target{one}, after)
}

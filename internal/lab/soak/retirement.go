package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	retirementPollInterval = 500 * time.Millisecond
	// maxAbsence is how long a retired store is away, at most, until it comes back with an empty disk.
	maxAbsence = 3 * time.Second
)

// retirementState is the state of a retirement as control reports it, or retirementNone.
type retirementState string

const (
	retirementNone      retirementState = "" // control refused it
	retirementActive    retirementState = "active"
	retirementCompleted retirementState = "completed"
)

// retire retires a store, waits for the end of it, and replaces the store by an empty one.
//
// A retirement that is reported as completed without having been active may be one of the store's former
// incarnations. Then its disk may still be needed, so that it counts against the budget.
func (r *run) retire(ctx context.Context, random *rand.Rand, store *target) {
	ended := r.timeline.add(KindRetire, "%s", store.machine.Name)
	defer ended()
	state, answered := r.requestRetirement(ctx, random, store, http.MethodPost)
	for !answered && sleep(ctx, retirementPollInterval) {
		state, answered = r.requestRetirement(ctx, random, store, http.MethodPost)
	}
	if state == retirementNone {
		return
	}
	wasActive := state == retirementActive
	for state != retirementCompleted || !wasActive && r.budget.acquire(1) == 0 {
		if !sleep(ctx, retirementPollInterval) {
			r.checker.violated(RuleRecovery, "the retirement of %s is not over", store.machine.Name)
			return
		}
		if polled, answered := r.requestRetirement(ctx, random, store, http.MethodGet); answered {
			state = polled
		}
	}
	r.replaceStore(ctx, random, store)
}

// requestRetirement orders a retirement (POST) or reads its state (GET) at a random control process. It
// returns whether the response was conclusive.
func (r *run) requestRetirement(ctx context.Context, random *rand.Rand, store *target,
	method string) (state retirementState,
	conclusive bool) {
	m := r.randomControl(random)
	request := operatorRequest{method: method, path: "/retire/" + store.machine.Name}
	if method == http.MethodPost {
		request.body = []byte("{}")
	}
	status, answer, _ := r.operator.call(ctx, m, request)
	switch status {
	case http.StatusOK:
		var body struct {
			State retirementState `json:"state"`
		}
		err := json.Unmarshal(answer, &body)
		return body.State, err == nil
	case 0, http.StatusServiceUnavailable:
		return retirementNone, false
	case http.StatusNotFound, http.StatusConflict: // it is out of the membership, or too few stores would remain
		return retirementNone, true
	default:
		r.checker.violated(RuleConfiguration, "%s of the retirement of %s got %d from %s: %s", method,
			store.machine.Name, status, m.Name, answer)
		return retirementNone, true
	}
}

// replaceStore takes a store away whose retirement is completed, with its disk, which is no longer needed,
// and starts it empty.
func (r *run) replaceStore(ctx context.Context, random *rand.Rand, store *target) {
	targets, delays := []*target{store}, randomDurations(random, 1, maxAbsence)
	ended := r.timeline.add(KindRetire, "%s is completed and goes away", describeRestarts(targets, delays))
	defer ended()
	r.wipe(targets)
	r.restart(ctx, targets, delays)
}

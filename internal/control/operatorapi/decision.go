package operatorapi

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/control/schema"
	"sprucelane.example/sprucelane/internal/control/statemachine"
)

// decision is the response to a change.
type decision struct {
	status int
	body   responseBody
	reason string // why the change is undecided; set only with status 503 or 504
}

// decide decides a change and logs the decision. It continues if the caller disconnects, because a command that has
// been proposed can't be withdrawn.
func (a *API) decide(change configuration.ChangeRequest, arrived time.Time) decision {
	log := a.options.Log.With().
		Uint64("if-match", change.IfMatch).
		Bool("patch", change.Patch).
		Int("bytes", len(change.Body)).
		Logger()
	decided := a.submit(change, arrived)
	event := log.Info()
	if decided.reason != "" {
		event = log.Warn().Str("reason", decided.reason)
	}
	for _, finding := range decided.body.Findings {
		log.Debug().Str("place", finding.Place).Str("text", finding.Text).Msg("configuration_finding")
	}
	event.Int("status", decided.status).
		Uint64("generation", decided.body.Generation).
		Int("findings", len(decided.body.Findings)).
		Dur("took", time.Since(arrived)).
		Msg("configuration_change")
	return decided
}

// submit submits a change to the chain, repeatedly if needed, until it is decided or its time is over.
func (a *API) submit(change configuration.ChangeRequest, arrived time.Time) decision {
	encoded, err := statemachine.Command{Configuration: &change}.Encode()
	if err != nil {
		return decision{status: http.StatusServiceUnavailable, reason: err.Error()}
	}
	submission := changeSubmission{
		api:           a,
		change:        change,
		command:       encoded,
		id:            proposalID(change),
		unavailableAt: arrived.Add(unavailableAfter),
		deadline:      arrived.Add(a.options.Bounds.Acknowledge * 4 / 5),
	}
	return submission.run()
}

// shapeFindings returns the faults in the shape of a change that builds on the current version. It is not called
// for a change that was accepted earlier: the rules may have become stricter since, and the change must be answered
// with 200 again.
func shapeFindings(change configuration.ChangeRequest) []findingBody {
	if json.Valid(change.Body) {
		if found := schema.Check(change.Body, change.Patch); len(found) > 0 {
			return findingBodies(found)
		}
	}
	if found := configuration.ValidateStandalone(change); len(found) > 0 {
		return findingBodies(found)
	}
	return nil
}

// proposalID returns the id under which a change is proposed. It contains the digest of the change, so that the chain
// executes a change only once even if it is sent several times or to several control processes.
func proposalID(change configuration.ChangeRequest) string {
	digest := change.Digest()
	return "configuration-" + hex.EncodeToString(digest[:])
}

// changeSubmission is the submission of one change.
type changeSubmission struct {
	api           *API
	change        configuration.ChangeRequest
	command       []byte
	id            string
	unavailableAt time.Time // end of the attempts as long as no proposal can have been committed
	deadline      time.Time // end of all attempts
	uncertain     bool      // a proposal may have been committed or may still be
	shapeChecked  bool      // the shape has been checked and is valid
}

// run makes attempts until one of them decides the change or the time is over.
func (s *changeSubmission) run() decision {
	for {
		decided, err := s.attempt()
		if err == nil {
			return decided
		}
		if !waitToRetry(context.Background(), s.retryUntil()) {
			return s.giveUp(err)
		}
	}
}

// retryUntil returns the end of the time for attempts. It is later once a proposal may have been committed, because
// only the outcome of a further attempt can resolve that.
func (s *changeSubmission) retryUntil() time.Time {
	if s.uncertain {
		return s.deadline
	}
	return s.unavailableAt
}

// giveUp returns the decision when the time is over: 503 if the change was certainly not accepted, otherwise 504.
func (s *changeSubmission) giveUp(err error) decision {
	if s.uncertain {
		return decision{status: http.StatusGatewayTimeout, reason: "the order may have been taken: " + err.Error()}
	}
	return decision{status: http.StatusServiceUnavailable, reason: "no order is taken here now: " + err.Error()}
}

// attempt reads the acknowledged state and proposes the change if it would be accepted in that state. If it returns
// an error, the change is undecided. A change is never rejected before the read has succeeded, because the local
// state may be outdated and the change may have been accepted by another process.
func (s *changeSubmission) attempt() (decision, error) {
	ctx, cancel := context.WithTimeout(context.Background(), min(readTimeout, time.Until(s.retryUntil())))
	err := s.api.options.Chain.Read(ctx)
	cancel()
	if err != nil {
		return decision{}, err
	}
	result := s.api.options.State.Evaluate(s.change)
	if result.Repeated ||
		result.Status != configuration.StatusAccepted && result.Status != configuration.StatusInvalid {
		return decisionOf(result), nil
	}
	if !s.shapeChecked {
		if findings := shapeFindings(s.change); len(findings) > 0 {
			return decision{
				status: http.StatusBadRequest,
				body:   responseBody{Message: "the configuration is invalid", Findings: findings},
			}, nil
		}
		s.shapeChecked = true
	}
	if result.Status == configuration.StatusInvalid {
		return decisionOf(result), nil
	}
	return s.propose()
}

// propose proposes the change and returns the decision that follows from its outcome. On an error it sets uncertain
// if the change may have been committed.
func (s *changeSubmission) propose() (decision, error) {
	ctx, cancel := context.WithTimeout(context.Background(), min(proposeTimeout, time.Until(s.deadline)))
	defer cancel()
	encoded, err := s.api.options.Chain.Propose(ctx, s.id, s.command)
	if err != nil {
		s.uncertain = s.uncertain || !errors.Is(err, ErrUnavailable)
		return decision{}, err
	}
	outcome, err := statemachine.DecodeOutcome(encoded)
	if err != nil || outcome.Configuration == nil {
		s.uncertain = true
		return decision{}, errors.Join(errors.New("the order's outcome can't be read"), err)
	}
	return decisionOf(*outcome.Configuration), nil
}

// decisionOf returns the decision for a result returned by the state machine.
func decisionOf(result configuration.Result) decision {
	decided := decision{status: int(result.Status), body: responseBody{Generation: result.Generation}}
	switch result.Status {
	case configuration.StatusStale:
		decided.body.Message = "another version is current"
	case configuration.StatusInvalid:
		decided.body.Message = "the configuration is invalid"
		decided.body.Findings = findingBodies(result.Findings)
	case configuration.StatusUnknown:
		decided.reason = "the order builds on a version so old that it isn't known whether it was taken"
	}
	return decided
}

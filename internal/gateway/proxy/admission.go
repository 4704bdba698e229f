package proxy

import (
	"context"
	"net/http"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/gateway/outcomes"
	"sprucelane.example/sprucelane/internal/gateway/serverselection"
)

// Admission admits or rejects requests, by quota and by load. The proxy reports each attempt to it, because
// load is measured by the attempts' latency. The gateway's admitter implements it.
type Admission interface {
	// Admit admits or rejects a request whose body has been read. It may wait until ctx ends.
	Admit(ctx context.Context, request AdmissionRequest) Rejection
	// Sent is called after a request has been sent to a server. retried is true if an earlier attempt may have
	// run the request.
	Sent(request AdmissionRequest, retried bool)
	// Attempted is called with an attempt's latency: the time until the first event of a stream, until the
	// complete response otherwise, or until the attempt was given up.
	Attempted(request AdmissionRequest, took time.Duration)
}

// AdmissionRequest has the properties of a request that admission depends on.
type AdmissionRequest struct {
	Route    *configuration.Route
	Tenant   *configuration.Tenant // nil if the request has none
	Backend  string
	Workload serverselection.Workload
	Deadline time.Time
}

// Rejection is the result of Admission.Admit: a response that promises that the request has not run, or the
// zero value for a request that is admitted.
type Rejection struct {
	Status     int // 429 or 503; 0: admitted
	RetryAfter time.Duration
}

// outcome returns the outcome under which a rejected request is counted.
func (r Rejection) outcome() outcomes.Outcome {
	if r.Status == http.StatusTooManyRequests {
		return outcomes.RejectedQuota
	}
	return outcomes.RejectedOverload
}

// AdmitAll is an Admission that admits every request. Tests use it.
type AdmitAll struct{}

// Admit admits the request.
func (AdmitAll) Admit(context.Context, AdmissionRequest) Rejection { return Rejection{} }

// Sent does nothing.
func (AdmitAll) Sent(AdmissionRequest, bool) {}

// Attempted does nothing.
func (AdmitAll) Attempted(AdmissionRequest, time.Duration) {}

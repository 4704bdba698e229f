package proxy

import (
	"context"
	"net/http"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/gateway/outcomes"
	"sprucelane.example/sprucelane/internal/gateway/serverselection"
)

// Admission decides which requests are forwarded at all, by quota and by load. The proxy reports each attempt
// to it, as it measures load by the attempts' latency. The gateway's admitter implements it.
type Admission interface {
	// Admit decides about a request whose body has been read. It may wait, for as long as ctx lasts.
	Admit(ctx context.Context, request AdmissionRequest) Rejection
	// Sent reports that a request has been sent to a server; retried means that an earlier attempt may have
	// run it.
	Sent(request AdmissionRequest, retried bool)
	// Attempted reports an attempt's latency: until the first event of a stream, until the response
	// otherwise, or until the attempt was given up.
	Attempted(request AdmissionRequest, took time.Duration)
}

// AdmissionRequest is the part of a request that admission decides by.
type AdmissionRequest struct {
	Route    *configuration.Route
	Tenant   *configuration.Tenant // nil on a public route
	Backend  string
	Workload serverselection.Workload
	Deadline time.Time
}

// Rejection is a response that promises that the request has not run. Its zero value means that the request
// is admitted.
type Rejection struct {
	Status     int // 429 or 503; 0: admitted
	RetryAfter time.Duration
}

// outcome returns how a rejected request is counted.
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

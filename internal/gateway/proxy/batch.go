package proxy

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

const (
	// batchJobsPath and itemsPath are the path prefixes of batch jobs and of the bodies of their items, at any
	// host with batch routes.
	batchJobsPath = "/lots/"
	itemsPath     = "/items/"
	// defaultBatchTimeout bounds a call for a batch job if neither the client nor the route sets a time-out.
	defaultBatchTimeout = 5 * time.Second
	// longPollMargin is the time beyond its X-Wait-Ms that a client waits for the response to a long poll.
	longPollMargin = 1300 * time.Millisecond
)

// removedRoute stands in for a batch job's route that is no longer configured, so that the job's tenant can
// access the job for as long as it is stored.
var removedRoute = &configuration.Route{Type: configuration.RouteBatch}

// resolveBatch finds out whether the request is a call of the batch interface, and sets operation and route if it is.
// Before, route is the one with the longest matching prefix, or nil.
//
// The paths of existing batch jobs and their items are fixed: they name no route, and no route takes them away, so
// that a batch job stays accessible whatever routes are added after its acceptance. A live request may have such a
// path, too, if its route's prefix covers it. It has an X-Request-Id, which calls for existing batch jobs need not
// have. With one, the request is a call if there is such a batch job; liveRoute is what it falls back to otherwise.
func (q *request) resolveBatch(path string) *errorResponse {
	operation := batchOperation(q.r.Method, path)
	if q.route != nil && q.route.Type == configuration.RouteBatch {
		q.operation = cmp.Or(operation, protocol.BatchSubmit)
		return nil
	}
	live := q.route
	if operation == 0 || live != nil && q.hasID() && !namesBatchJob(path) {
		return nil
	}
	batchRoute := q.batchRoute()
	switch {
	case batchRoute != nil:
		q.route, q.operation = batchRoute, operation
		if q.hasID() {
			q.liveRoute = live
		}
	case live != nil && !q.hasID() && q.proxy.Control.Members() == nil:
		return &errorResponse{status: http.StatusServiceUnavailable, message: "batch: no member list yet",
			retryAfter: unreadyRetryAfter}
	}
	return nil
}

// batchRoute returns the route for calls for existing batch jobs: the first of the host's batch routes or, if it has
// none, removedRoute. It returns nil if the host has none and no store is known.
func (q *request) batchRoute() *configuration.Route {
	for _, route := range q.configuration.RoutesForHost(q.r.Host) {
		if route.Type == configuration.RouteBatch {
			return route
		}
	}
	if members := q.proxy.Control.Members(); members != nil && len(members.Stores.Members) > 0 {
		return removedRoute
	}
	return nil
}

// becomeLive makes a request that is no call for a batch job a request of its live route.
func (q *request) becomeLive() { q.route, q.liveRoute, q.operation = q.liveRoute, nil, 0 }

// namesBatchJob reports whether a path with the prefix batchJobsPath or itemsPath continues with an id alone.
func namesBatchJob(path string) bool {
	return strings.Count(path, "/") == strings.Count(batchJobsPath, "/") && !strings.HasSuffix(path, "/")
}

// batchOperation returns the operation on an existing batch job that a method and a path denote, or 0 if they
// denote none.
func batchOperation(method, path string) protocol.BatchOperation {
	switch {
	case method == http.MethodGet && strings.HasPrefix(path, batchJobsPath):
		return protocol.BatchRead
	case method == http.MethodGet && strings.HasPrefix(path, itemsPath):
		return protocol.BatchBody
	case method == http.MethodDelete && strings.HasPrefix(path, batchJobsPath):
		return protocol.BatchEnd
	}
	return 0
}

// callBatch forwards a call for a batch job to a batch process, and the answer to the client. It returns false, and has
// answered nothing, if there is no such batch job and the request has a live route, which it then belongs to.
func (q *request) callBatch() (answered bool) {
	call, failure := q.parseBatchCall()
	if failure != nil {
		return q.denyBatchCall(failure)
	}
	deadline := q.deadline
	if call.Operation != protocol.BatchSubmit {
		deadline = q.arrived.Add(time.Duration(call.WaitMs)*time.Millisecond + longPollMargin)
	}
	ctx, cancel := context.WithDeadline(q.r.Context(), deadline)
	defer cancel()
	if !q.keyValid(time.Now()) {
		q.countBatchCall(http.StatusServiceUnavailable)
		q.reject(http.StatusServiceUnavailable, unreadyRetryAfter)
		return true
	}
	answer := q.proxy.Batch.Call(ctx, call)
	if answer.Status == http.StatusNotFound && q.liveRoute != nil {
		q.becomeLive()
		return false
	}
	q.writeBatchAnswer(answer)
	return true
}

// denyBatchCall answers a call that can't be made, as callBatch does.
func (q *request) denyBatchCall(failure *errorResponse) (answered bool) {
	if q.liveRoute != nil {
		q.becomeLive()
		return false
	}
	q.countBatchCall(failure.status)
	failure.write(q.w)
	return true
}

// parseBatchCall returns the call for a batch job that the request makes, or an error response.
func (q *request) parseBatchCall() (call protocol.BatchCall, failure *errorResponse) {
	call = protocol.BatchCall{Operation: q.operation, Route: q.route.Name}
	if q.tenant != nil {
		call.Tenant = q.tenant.Name
	}
	if q.operation == protocol.BatchSubmit {
		if q.r.Method != http.MethodPost {
			return call, &errorResponse{status: http.StatusMethodNotAllowed, message: "method: batch jobs are posted"}
		}
		call.BatchJob, call.Body = q.id, q.body.bytes
		return call, nil
	}
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	call.BatchJob = path[strings.LastIndexByte(path, '/')+1:]
	query := q.r.URL.Query()
	switch q.operation {
	case protocol.BatchBody:
		call.Item = query.Get("id")
	case protocol.BatchRead:
		start, err := strconv.ParseUint(query.Get("start-after"), 10, 31)
		if err != nil && query.Has("start-after") {
			return call, &errorResponse{status: http.StatusBadRequest, message: "start-after: not a position"}
		}
		wait, _ := strconv.ParseUint(q.r.Header.Get(headerWait), 10, 16)
		call.Start, call.WaitMs = int(start), int(wait)
	}
	return call, nil
}

// writeBatchAnswer sends the client a batch process's answer.
func (q *request) writeBatchAnswer(answer protocol.BatchAnswer) {
	if q.r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	q.countBatchCall(answer.Status)
	header := q.w.Header()
	if answer.ContentType != "" {
		header.Set(headerContentType, answer.ContentType)
	}
	if answer.RetryAfterMs > 0 {
		header.Set(headerRetryAfter, formatSeconds(time.Duration(answer.RetryAfterMs)*time.Millisecond))
	}
	header.Set(headerContentLength, strconv.Itoa(len(answer.Body)))
	q.w.WriteHeader(answer.Status)
	_, _ = q.w.Write(answer.Body) // fails only if the client has left
}

package proxy

import (
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

// resolveBatch finds the route of a call for an existing batch job. The path of such a call names no route, so
// the first of the host's batch routes is used. If there is none, removedRoute is used if the member list is known
// and has stores; otherwise the route stays nil, and the request gets 404.
func (q *request) resolveBatch(path string) {
	operation := batchOperation(q.r.Method, path)
	if operation == 0 {
		return
	}
	for _, route := range q.configuration.RoutesForHost(q.r.Host) {
		if route.Type == configuration.RouteBatch {
			q.route, q.operation = route, operation
			return
		}
	}
	if members := q.proxy.Control.Members(); members != nil && len(members.Stores.Members) > 0 {
		q.route, q.operation = removedRoute, operation
	}
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

// callBatch forwards a call for a batch job to a batch process, and the answer to the client.
func (q *request) callBatch() {
	call, failure := q.parseBatchCall()
	if failure != nil {
		q.countBatchCall(failure.status)
		failure.write(q.w)
		return
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
		return
	}
	q.writeBatchAnswer(q.proxy.Batch.Call(ctx, call))
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

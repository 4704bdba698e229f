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
	batchJobsPath = "/lots/"
	itemsPath     = "/items/"
	// batchPatience is how long a call for a batch job may be held, where neither client nor route says.
	defaultBatchTimeout = 5 * time.Second
	// readSlack is how long a client waits beyond the time for which it lets an answer be held.
	longPollMargin = 1300 * time.Millisecond
)

// endedRoute stands for the route of a call for a batch job whose own has ended: what is listed can be read for as long as it is
// kept, by the tenant that it belongs to.
var removedRoute = &configuration.Route{Type: configuration.RouteBatch}

// findBatch finds the route of a call for a batch job that is known by its path: one of the host's batch routes.
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

// callBatch hands the call to a batch process and gives its answer.
func (q *request) callBatch() {
	call, failure := q.parseBatchCall()
	if failure != nil {
		failure.write(q.w)
		return
	}
	until := q.deadline
	if call.Operation != protocol.BatchSubmit {
		until = q.arrived.Add(time.Duration(call.WaitMs)*time.Millisecond + longPollMargin)
	}
	ctx, cancel := context.WithDeadline(q.r.Context(), until)
	defer cancel()
	if !q.keyValid(time.Now()) {
		q.reject(http.StatusServiceUnavailable, unreadyRetryAfter)
		return
	}
	q.writeBatchAnswer(q.proxy.Batch.Call(ctx, call))
}

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

// answerBatch gives the client what the batch process says.
func (q *request) writeBatchAnswer(answer protocol.BatchAnswer) {
	if q.r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	header := q.w.Header()
	if answer.ContentType != "" {
		header.Set(headerContentType, answer.ContentType)
	}
	if answer.RetryAfterMs > 0 {
		header.Set(headerRetryAfter, formatSeconds(time.Duration(answer.RetryAfterMs)*time.Millisecond))
	}
	header.Set(headerContentLength, strconv.Itoa(len(answer.Body)))
	q.w.WriteHeader(answer.Status)
	q.w.Write(answer.Body)
}

package system

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"sprucelane.example/sprucelane/internal/fake/modelserver"
)

// Outcome is the outcome of a streaming request.
type Outcome struct {
	Status     int           // 0: no response
	FirstEvent time.Duration // from the sending to the first byte of the stream
	Complete   bool          // all events came, in order, signed by the server
	Problem    string        // why it isn't complete
	Err        error         // of a connection that ended before the response did
}

// Rejected returns whether the response promises that the request hasn't run.
func (o Outcome) Rejected() bool {
	return o.Status == http.StatusTooManyRequests || o.Status == http.StatusServiceUnavailable
}

// Stream sends a request on the streaming route to a machine's gateway, and checks the response against what
// a model server generates.
func (c *Client) Stream(ctx context.Context, m Machine, id string, session int) Outcome {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	request, err := c.streamRequest(ctx, m, id, session)
	if err != nil {
		return Outcome{Problem: err.Error()}
	}
	began := time.Now()
	response, err := c.http.Do(request)
	if err != nil {
		return Outcome{Problem: err.Error(), Err: err}
	}
	defer response.Body.Close()
	return readStream(response, id, began)
}

// streamRequest returns a request on the streaming route.
func (c *Client) streamRequest(ctx context.Context, m Machine, id string, session int) (*http.Request, error) {
	headers := promptHeaders(id, session)
	headers["X-Request-Id"] = id
	return c.httpRequest(ctx, m, clientRequest{
		method:  http.MethodPost,
		host:    StreamHost,
		path:    StreamPath,
		headers: headers,
		body:    []byte("a log to read"),
	})
}

// readStream reads the body of a response to a request that was sent at a time, and checks it.
func readStream(response *http.Response, id string, sentAt time.Time) Outcome {
	outcome := Outcome{Status: response.StatusCode}
	first := make([]byte, 1)
	if _, err := io.ReadFull(response.Body, first); err != nil && !errors.Is(err, io.EOF) {
		outcome.Problem, outcome.Err = err.Error(), err
		return outcome
	}
	outcome.FirstEvent = time.Since(sentAt)
	rest, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		outcome.Problem, outcome.Err = err.Error(), err
		return outcome
	}
	outcome.Problem = checkStream(response, string(first)+string(rest), id)
	outcome.Complete = outcome.Problem == ""
	return outcome
}

// StreamUntilAccepted sends a request as Stream does, and again after each rejection, as clients do: a
// rejection promises that the request hasn't run. Each attempt has an id of its own.
func (c *Client) StreamUntilAccepted(ctx context.Context, m Machine, id string, session int) Outcome {
	for attempt := 0; ; attempt++ {
		outcome := c.Stream(ctx, m, fmt.Sprintf("%s-%d", id, attempt), session)
		if !outcome.Rejected() || !sleep(ctx, retryInterval) {
			return outcome
		}
	}
}

// checkStream returns what is wrong with a response to a request; empty: nothing.
func checkStream(response *http.Response, body, id string) (problem string) {
	if response.StatusCode != http.StatusOK {
		return response.Status
	}
	if response.Header.Get("X-Response-Signature") == "" {
		return "the server's signature is missing"
	}
	if response.Header.Get("X-Request-Id") != id {
		return "the response is of another request"
	}
	return checkEvents(body, id)
}

func checkEvents(body, id string) (problem string) {
	events := modelserver.Events(outputTokens, engineTokensPerEvent)
	var want strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&want, "id: %d\ndata: %s\n\n", n, modelserver.EventData(id, n))
	}
	if body != want.String() {
		return fmt.Sprintf("%d bytes are not the %d events of the server", len(body), events)
	}
	return ""
}

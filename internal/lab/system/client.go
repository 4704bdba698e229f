package system

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sprucelane.example/sprucelane/internal/fake/modelserver"
)

const (
	outputTokens     = 240 // of a request: ten events
	sharedTokens     = 800
	ownTokens        = 200
	clientDeadline   = 5 * time.Second
	maxResponseBytes = 4 << 20
	resultsWait      = 500 // ms
	retryInterval    = 50 * time.Millisecond
)

// Outcome is what came of a client's request.
type Outcome struct {
	Status     int           // 0: no answer
	FirstEvent time.Duration // until the first byte of the stream
	Complete   bool          // all events came, in order, signed by the server
	Problem    string        // why it isn't whole
	Err        error         // of a connection that gave no whole answer
}

// Refused tells whether the request got the promise that it has not run.
func (o Outcome) Rejected() bool {
	return o.Status == http.StatusTooManyRequests || o.Status == http.StatusServiceUnavailable
}

// Client sends requests to gateways as clients of the deployment do.
type Client struct {
	Key           string
	ResponseSlack time.Duration // how long an answer may be late; 0: a client gives up with its deadline
	http          http.Client
}

// NewClient gives a client with a tenant's key. It keeps no connections, so that each request may go to any gateway.
func NewClient(key string) *Client {
	return &Client{Key: key, http: http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// Stream sends a request on the streaming route to a machine's gateway and checks the answer against what a server puts out.
func (c *Client) Stream(ctx context.Context, m Machine, id string, session int) Outcome {
	ctx, cancel := context.WithTimeout(ctx, clientDeadline+c.ResponseSlack)
	defer cancel()
	request, err := c.request(ctx, http.MethodPost, m, StreamHost, StreamPrefix+"2f", []byte("a log to read"))
	if err != nil {
		return Outcome{Problem: err.Error()}
	}
	request.Header.Set("X-Request-Id", id)
	setPromptHeaders(request.Header, id, session)
	began := time.Now()
	response, err := c.http.Do(request)
	if err != nil {
		return Outcome{Problem: err.Error(), Err: err}
	}
	defer response.Body.Close()
	outcome := Outcome{Status: response.StatusCode}
	first := make([]byte, 1)
	if _, err := io.ReadFull(response.Body, first); err != nil && !errors.Is(err, io.EOF) {
		outcome.Problem, outcome.Err = err.Error(), err
		return outcome
	}
	outcome.FirstEvent = time.Since(began)
	rest, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		outcome.Problem, outcome.Err = err.Error(), err
		return outcome
	}
	outcome.Problem = checkStream(response, string(first)+string(rest), id)
	outcome.Complete = outcome.Problem == ""
	return outcome
}

// StreamUntilTaken sends a request as Stream does, and again after each refusal, as clients do: a refusal promises that the request
// has not run. Each try has an id of its own.
func (c *Client) StreamUntilAccepted(ctx context.Context, m Machine, id string, session int) Outcome {
	for try := 0; ; try++ {
		outcome := c.Stream(ctx, m, fmt.Sprintf("%s-%d", id, try), session)
		if !outcome.Rejected() || !sleep(ctx, retryInterval) {
			return outcome
		}
	}
}

func (c *Client) request(ctx context.Context, method string, m Machine, host, path string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+endpoint(m.IP, portFront)+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Host = host
	request.Header.Set("Api-Key", c.Key)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(clientDeadline.Milliseconds(), 10))
	return request, nil
}

func setPromptHeaders(header http.Header, id string, session int) {
	header.Set("X-Model", "m")
	header.Set("X-Token-Usage", fmt.Sprintf("%d,%d", sharedTokens+ownTokens, outputTokens))
	header.Set("X-Prompt-Prefix", fmt.Sprintf("%x:%d,%x:%d", 1000+session, sharedTokens, id, ownTokens))
}

// wrongStream tells what is wrong with an answer; empty: nothing.
func checkStream(response *http.Response, text, id string) string {
	if response.StatusCode != http.StatusOK {
		return response.Status
	}
	if response.Header.Get("X-Response-Signature") == "" {
		return "the server's signature is missing"
	}
	if response.Header.Get("X-Request-Id") != id {
		return "the answer is of another request"
	}
	return checkEvents(text, id)
}

func checkEvents(text, id string) string {
	events := modelserver.Events(outputTokens, engineTokensPerEvent)
	var want strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&want, "id: %d\ndata: %s\n\n", n, modelserver.EventData(id, n))
	}
	if text != want.String() {
		return fmt.Sprintf("%d bytes are not the %d events of the server", len(text), events)
	}
	return ""
}

// batchItem is one item as clients submit it.
type batchItem struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"` // base64
	Tokens  int               `json:"tokens"`
}

// ItemID names an item of a batch job.
func ItemID(job string, item int) string { return fmt.Sprintf("%s-%04d", job, item) }

// ItemBody is the body of an item.
func ItemBody(job string, item int) []byte { return []byte("log of " + ItemID(job, item)) }

// Submit sends a batch job of so many items to a machine's gateway and gives the status; 0: no answer.
func (c *Client) Submit(ctx context.Context, m Machine, job string, items int) int {
	status, _ := c.TrySubmit(ctx, m, job, items)
	return status
}

// TrySubmit sends a batch job as Submit does, and tells why there was no answer.
func (c *Client) TrySubmit(ctx context.Context, m Machine, job string, items int) (int, error) {
	list := make([]batchItem, items)
	for i := range list {
		header := http.Header{}
		setPromptHeaders(header, ItemID(job, i), 0)
		headers := map[string]string{}
		for name := range header {
			headers[name] = header.Get(name)
		}
		list[i] = batchItem{
			ID:      ItemID(job, i),
			Path:    BatchPrefix + "3/" + strconv.Itoa(i),
			Headers: headers,
			Body:    base64.StdEncoding.EncodeToString(ItemBody(job, i)),
			Tokens:  sharedTokens + ownTokens + outputTokens,
		}
	}
	body, err := json.Marshal(map[string][]batchItem{"requests": list})
	if err != nil {
		panic(err) // the struct above is wrong
	}
	status, _, err := c.batchCall(ctx, http.MethodPost, m, BatchPrefix+job, body, map[string]string{
		"X-Request-Id": job, "Content-Type": "application/json"})
	return status, err
}

// Results is what a batch job has to read from a position on.
type Results struct {
	Total     int           `json:"total"`
	NextToken int           `json:"next-token"`
	Results   []BatchResult `json:"results"`
}

// BatchResult is one item's result.
type BatchResult struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

// Whole tells whether a result is the whole output of its item.
func (r BatchResult) Complete() bool {
	return r.State == "completed" && r.Text == modelserver.Text(r.ID, modelserver.Events(outputTokens, engineTokensPerEvent))
}

// Read reads the results of a batch job from a position on; the status is 0 without an answer.
func (c *Client) Read(ctx context.Context, m Machine, job string, from int) (int, Results) {
	status, results, _ := c.TryRead(ctx, m, job, from)
	return status, results
}

// TryRead reads the results as Read does, and tells why there was no answer.
func (c *Client) TryRead(ctx context.Context, m Machine, job string, from int) (int, Results, error) {
	var results Results
	path := fmt.Sprintf("/lots/%s?start-after=%d", job, from)
	status, body, err := c.batchCall(ctx, http.MethodGet, m, path, nil, map[string]string{"X-Wait-Ms": strconv.Itoa(resultsWait)})
	if status != http.StatusOK || err != nil {
		return status, results, err
	}
	if err := json.Unmarshal(body, &results); err != nil {
		return 0, Results{}, err
	}
	return status, results, nil
}

// End ends a batch job.
func (c *Client) End(ctx context.Context, m Machine, job string) int {
	status, _ := c.TryEnd(ctx, m, job)
	return status
}

// TryEnd ends a batch job, and tells why there was no answer.
func (c *Client) TryEnd(ctx context.Context, m Machine, job string) (int, error) {
	status, _, err := c.batchCall(ctx, http.MethodDelete, m, "/lots/"+job, nil, nil)
	return status, err
}

// Body reads the body of an item that has no result yet.
func (c *Client) Body(ctx context.Context, m Machine, job string, item int) (int, []byte) {
	status, body, _ := c.batchCall(ctx, http.MethodGet, m, fmt.Sprintf("/items/%s?id=%s", job, ItemID(job, item)), nil, nil)
	return status, body
}

func (c *Client) batchCall(ctx context.Context, method string, m Machine, path string, body []byte, headers map[string]string) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, clientDeadline+c.ResponseSlack)
	defer cancel()
	request, err := c.request(ctx, method, m, BatchHost, path, body)
	if err != nil {
		return 0, nil, err
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, err
	}
	return response.StatusCode, answer, nil
}

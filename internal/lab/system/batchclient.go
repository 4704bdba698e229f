package system

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"sprucelane.example/sprucelane/internal/fake/modelserver"
)

// resultsWait is how long a read of results may wait for more (X-Wait-Ms).
const resultsWait = 500 * time.Millisecond

// BatchItem is an item of a batch job as clients submit it.
type BatchItem struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"` // base64
	Tokens  int               `json:"tokens"`
}

// Results are the results of a batch job from a position on.
type Results struct {
	Total     int           `json:"total"`
	NextToken int           `json:"next-token"` // the position after them
	Results   []BatchResult `json:"results"`
}

// BatchResult is the result of one item.
type BatchResult struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

// The states of a result.
const (
	stateCompleted  = "completed"
	stateDeadLetter = "dead_letter"
)

// Complete returns whether a result is the complete output of its item.
func (r BatchResult) Complete() bool {
	return r.State == stateCompleted &&
		r.Text == modelserver.Text(r.ID, modelserver.Events(outputTokens, engineTokensPerEvent))
}

// ItemID returns the id of an item of a batch job.
func ItemID(job string, item int) string { return fmt.Sprintf("%s-%04d", job, item) }

// ItemPath returns the path of an item.
func ItemPath(item int) string { return BatchPrefix + "3/" + strconv.Itoa(item) }

// ItemBody returns the body of an item.
func ItemBody(job string, item int) []byte { return []byte("log of " + ItemID(job, item)) }

// Submit submits a batch job to a machine's gateway and returns the status; 0: no response.
func (c *Client) Submit(ctx context.Context, m Machine, job string, items int) int {
	status, _ := c.TrySubmit(ctx, m, job, items)
	return status
}

// TrySubmit submits a batch job as Submit does, and returns why there was no response.
func (c *Client) TrySubmit(ctx context.Context, m Machine, job string, items int) (int, error) {
	list := make([]BatchItem, items)
	for i := range list {
		list[i] = NewBatchItem(job, i)
	}
	return c.TrySubmitItems(ctx, m, job, list)
}

// NewBatchItem returns an item as Submit submits it.
func NewBatchItem(job string, item int) BatchItem {
	return BatchItem{
		ID:      ItemID(job, item),
		Path:    ItemPath(item),
		Headers: promptHeaders(ItemID(job, item), 0),
		Body:    base64.StdEncoding.EncodeToString(ItemBody(job, item)),
		Tokens:  sharedTokens + ownTokens + outputTokens,
	}
}

// TrySubmitItems submits a batch job of any items as TrySubmit does.
func (c *Client) TrySubmitItems(ctx context.Context, m Machine, job string, items []BatchItem) (int, error) {
	body, err := json.Marshal(map[string][]BatchItem{"requests": items})
	if err != nil {
		panic(err) // unreachable: the type above can be encoded
	}
	status, _, err := c.callBatch(ctx, m, clientRequest{method: http.MethodPost, path: BatchPrefix + job, body: body,
		headers: map[string]string{"X-Request-Id": job, "Content-Type": "application/json"}})
	return status, err
}

// Read reads the results of a batch job from a position on; the status is 0 without a response.
func (c *Client) Read(ctx context.Context, m Machine, job string, from int) (int, Results) {
	status, results, _ := c.TryRead(ctx, m, job, from)
	return status, results
}

// TryRead reads results as Read does, and returns why there was no response.
func (c *Client) TryRead(ctx context.Context, m Machine, job string, from int) (int, Results, error) {
	status, body, err := c.callBatch(ctx, m, clientRequest{method: http.MethodGet,
		path:    fmt.Sprintf("/lots/%s?start-after=%d", job, from),
		headers: map[string]string{"X-Wait-Ms": strconv.FormatInt(resultsWait.Milliseconds(), 10)}})
	if status != http.StatusOK || err != nil {
		return status, Results{}, err
	}
	var results Results
	if err := json.Unmarshal(body, &results); err != nil {
		return 0, Results{}, err
	}
	return status, results, nil
}

// End ends a batch job and returns the status; 0: no response.
func (c *Client) End(ctx context.Context, m Machine, job string) int {
	status, _ := c.TryEnd(ctx, m, job)
	return status
}

// TryEnd ends a batch job as End does, and returns why there was no response.
func (c *Client) TryEnd(ctx context.Context, m Machine, job string) (int, error) {
	status, _, err := c.callBatch(ctx, m, clientRequest{method: http.MethodDelete, path: "/lots/" + job})
	return status, err
}

// Body reads the body of an item that has no result yet.
func (c *Client) Body(ctx context.Context, m Machine, job string, item int) (int, []byte) {
	status, body, _ := c.callBatch(ctx, m, clientRequest{method: http.MethodGet,
		path: fmt.Sprintf("/items/%s?id=%s", job, ItemID(job, item))})
	return status, body
}

// callBatch sends a request to the host of the batch route, and returns the status and the body; 0 without a
// response.
func (c *Client) callBatch(ctx context.Context, m Machine, r clientRequest) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	r.host = BatchHost
	request, err := c.httpRequest(ctx, m, r)
	if err != nil {
		return 0, nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, err
	}
	return response.StatusCode, body, nil
}

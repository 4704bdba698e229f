package discovery

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	connectTimeout = time.Second
	maxListSize    = 8 << 20 // bytes of a list; a longer list is truncated and fails to decode
	maxDiscarded   = 4 << 10 // bytes of an error's body that are read so that the connection can be reused
)

// client makes HTTP calls to a source.
type client struct {
	baseURL string
	token   string // Consul ACL token; empty: none
	http    *http.Client
}

func newHTTP() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxConnsPerHost: 2, IdleConnTimeout: time.Minute,
		DialContext: (&net.Dialer{Timeout: connectTimeout}).DialContext}}
}

// statusError is the status of an answer other than 200: the source is reachable but rejects the call.
type statusError int

func (s statusError) Error() string { return "status " + strconv.Itoa(int(s)) }

// get makes one call and decodes the JSON of its answer into the value that into points to. It returns the answer's
// header. A call that takes longer than timeout fails. For an answer with a status other than 200 the error is a
// [statusError].
func (c *client) get(ctx context.Context, path string, timeout time.Duration, into any) (http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, nil)
	if err != nil {
		return nil, err
	}
	if c.token != "" {
		req.Header.Set("X-Consul-Token", c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscarded))
		return nil, statusError(resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListSize))
	if err != nil {
		return nil, err
	}
	return resp.Header, json.Unmarshal(body, into)
}

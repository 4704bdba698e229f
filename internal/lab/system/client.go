package system

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const (
	// clientDeadline is the deadline of all requests.
	clientDeadline   = 5 * time.Second
	maxResponseBytes = 4 << 20
	// retryInterval is the time between a rejection and the client's next request.
	retryInterval = 50 * time.Millisecond

	// The tokens of a request. Its prompt is a part that it shares with its session, and a part of its own.
	sharedTokens = 800
	ownTokens    = 200
	outputTokens = 240 // ten events
)

// Client sends requests to gateways as clients of a deployment do, and checks the responses.
type Client struct {
	// Key is a tenant's API key.
	Key string
	// ResponseSlack is how long beyond its deadline the client waits for a response. 0: it gives up at the
	// deadline.
	ResponseSlack time.Duration

	http http.Client
}

// NewClient returns a client with a tenant's key. It opens a connection for each request, so that each may go
// to any gateway.
func NewClient(key string) *Client {
	return &Client{
		Key:  key,
		http: http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
	}
}

// timeout bounds a request from its sending to the end of its response.
func (c *Client) timeout() time.Duration { return clientDeadline + c.ResponseSlack }

// clientRequest is a request to a gateway.
type clientRequest struct {
	method, host, path string
	headers            map[string]string
	body               []byte
}

// httpRequest returns a request to the gateway on a machine, with the client's key and deadline.
func (c *Client) httpRequest(ctx context.Context, m Machine, r clientRequest) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, r.method, "http://"+hostPort(m.IP, portFront)+r.path,
		bytes.NewReader(r.body))
	if err != nil {
		return nil, err
	}
	request.Host = r.host
	request.Header.Set("Api-Key", c.Key)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(clientDeadline.Milliseconds(), 10))
	for name, value := range r.headers {
		request.Header.Set(name, value)
	}
	return request, nil
}

// promptHeaders describe a request's prompt and tokens.
func promptHeaders(id string, session int) map[string]string {
	return map[string]string{
		"X-Model":         "m",
		"X-Token-Usage":   fmt.Sprintf("%d,%d", sharedTokens+ownTokens, outputTokens),
		"X-Prompt-Prefix": fmt.Sprintf("%x:%d,%x:%d", 1000+session, sharedTokens, id, ownTokens),
	}
}

package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"sprucelane.example/sprucelane/internal/httpsyntax"
	"sprucelane.example/sprucelane/internal/protocol"
)

// Limits of reading.
const (
	maxPageBytes = 8 << 20
	maxPages     = 10_000
	pageTimeout  = 700 * time.Millisecond // for one page

	rateShare         = 0.8 // part of the platform's rate that one reader uses, because another may take over at any time
	burstSeconds      = 0.3 // a burst may have as many calls as this time allows at that rate
	maxPageAttempts   = 6   // attempts at a page that the platform rejects with 429
	minPageRetryDelay = 100 * time.Millisecond
)

// Reader reads the platform's server list. It isn't safe for concurrent use.
type Reader struct {
	address string
	zone    string // empty: all zones
	client  *http.Client
	limiter rateLimiter
}

// NewReader returns a reader of the list at an address (IP:port), for one zone or, if zone is "", for all
// zones. rate is the platform's limit in calls per second, shared by all readers; 0 means no limit.
func NewReader(address, zone string, rate float64) *Reader {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second, DisableCompression: true}
	return &Reader{
		address: address,
		zone:    zone,
		client:  &http.Client{Transport: transport, Timeout: pageTimeout},
		limiter: newRateLimiter(rate),
	}
}

// SetDialer sets the function that opens connections in place of TCP. It must be called before the first Read.
func (r *Reader) SetDialer(dial func(ctx context.Context, address string) (net.Conn, error)) {
	r.client.Transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) }}
}

// RateLimitError reports that the platform answered 429. RetryAfter is the response's Retry-After, at most
// maxRetryDelay; 0 if the header is missing or isn't a positive number of seconds.
type RateLimitError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitError) Error() string {
	return "discovery: the platform rejected a call with status 429: rate limit exceeded"
}

// Read reads all pages. Servers whose id can't be sent in a header are left out. If a page can't be read, it returns
// an error and no list. The error is a *RateLimitError if the platform rejected a call with 429, and wraps ctx.Err()
// if ctx ended.
func (r *Reader) Read(ctx context.Context) (List, error) {
	var servers []protocol.Server
	malformed := 0
	token := ""
	for range maxPages {
		next, err := r.readPageLimited(ctx, token)
		if err != nil {
			return List{}, err
		}
		for i := range next.Instances {
			server := next.Instances[i].server()
			if httpsyntax.CheckIdentifier("id", server.ID) != nil {
				malformed++
				continue
			}
			servers = append(servers, server)
		}
		if next.NextToken == nil || *next.NextToken == "" {
			list := NewList(servers)
			list.Malformed = malformed
			return list, nil
		}
		if *next.NextToken == token {
			return List{}, errors.New("discovery: the platform's list repeats a page: its next-token is its own token")
		}
		token = *next.NextToken
	}
	return List{}, fmt.Errorf("discovery: the platform's list has more than %d pages", maxPages)
}

// readPageLimited reads a page when the rate limit allows it. If the platform rejects the call with 429, pages
// after the first are retried, so that the pages read before aren't wasted.
func (r *Reader) readPageLimited(ctx context.Context, token string) (*page, error) {
	for attempt := 1; ; attempt++ {
		if err := sleep(ctx, r.limiter.reserve(time.Now())); err != nil {
			return nil, err
		}
		next, err := r.readPage(ctx, token)
		var rate *RateLimitError
		if token == "" || attempt == maxPageAttempts || !errors.As(err, &rate) {
			return next, err // no pages are lost with the first one; Schedule decides on the next attempt
		}
		if err := sleep(ctx, max(rate.RetryAfter, minPageRetryDelay)); err != nil {
			return nil, err
		}
	}
}

// sleep waits for the given duration. It returns ctx.Err() if ctx ends first.
func sleep(ctx context.Context, pause time.Duration) error {
	if pause <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// readPage reads the page with the given token; "" is the first page.
func (r *Reader) readPage(ctx context.Context, token string) (*page, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, r.url(token), nil)
	if err != nil {
		return nil, err
	}
	response, err := r.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPageBytes))
	if err != nil {
		return nil, fmt.Errorf("discovery: read a page of the platform's list: %w", err)
	}
	if response.StatusCode == http.StatusTooManyRequests {
		return nil, &RateLimitError{RetryAfter: retryAfter(response)}
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("discovery: the platform answered a page of its list with status %d, want 200",
			response.StatusCode)
	}
	return parsePage(body)
}

// url returns the URL of a page.
func (r *Reader) url(token string) string {
	query := url.Values{}
	if r.zone != "" {
		query.Set("zone", r.zone)
	}
	if token != "" {
		query.Set("page-token", token)
	}
	address := "http://" + r.address + "/instances"
	if len(query) > 0 {
		address += "?" + query.Encode()
	}
	return address
}

// retryAfter returns the Retry-After of a response, at most maxRetryDelay; 0 if there is none.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryDelay.Seconds()) * float64(time.Second))
}

package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sprucelane.example/sprucelane/internal/protocol"
)

// Limits of reading.
const (
	maxPageBytes = 8 << 20 // bytes
	maxPages     = 10_000
	pageTimeout  = 700 * time.Millisecond // a page

	rateShare         = 0.8 // of the platform's rate that one reader uses: another may take over in between
	burstSeconds      = 0.3 // of that rate, that may go at once
	maxPageAttempts   = 6   // of a page that was refused for the rate
	minPageRetryDelay = 100 * time.Millisecond
)

// List is the platform's list as it was read whole.
type List struct {
	Servers []protocol.Server // by id
	Digest  uint64            // of the content, without Cold, which changes by itself
}

// Reader reads the platform's list.
type Reader struct {
	address string
	zone    string // empty: of all zones
	client  *http.Client
	limiter rateLimiter
}

// NewReader gives a reader of the list at an address, of one zone or all. rate is the platform's, in calls a second.
func NewReader(address, zone string, rate float64) *Reader {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second, DisableCompression: true}
	return &Reader{address: address, zone: zone, client: &http.Client{Transport: transport, Timeout: pageTimeout}, limiter: newRateLimiter(rate)}
}

// DialBy has connections opened by a function in place of TCP. It is for before the first reading.
func (r *Reader) SetDialer(dial func(ctx context.Context, address string) (net.Conn, error)) {
	r.client.Transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) }}
}

// RateError tells that the platform took too many calls.
type RateLimitError struct {
	RetryAfter time.Duration
}

// Error describes it.
func (e *RateLimitError) Error() string { return "the platform refuses for the rate of calls" }

// page is one page of the list as the platform sends it.
type page struct {
	Instances []instance `json:"instances"`
	NextToken *string    `json:"next-token"`
}

type instance struct {
	ID              string  `json:"id"`
	Backend         string  `json:"backend"`
	Address         string  `json:"address"`
	Zone            string  `json:"zone"`
	Slots           float64 `json:"slots"`
	State           string  `json:"state"`
	ColdRemainingMs float64 `json:"cold-remaining-ms"`
	Stage           string  `json:"stage"`
}

const stateDraining = "draining"

func (i *instance) server() protocol.Server {
	return protocol.Server{ID: i.ID, Backend: i.Backend, Address: i.Address, Zone: i.Zone, Slots: int(i.Slots),
		Draining: i.State == stateDraining, Cold: time.Duration(i.ColdRemainingMs * float64(time.Millisecond)), Stage: i.Stage}
}

// Read reads all pages. An error of any page is one of the whole.
func (r *Reader) Read(ctx context.Context) (List, error) {
	var servers []protocol.Server
	token := ""
	for range maxPages {
		one, err := r.readPageLimited(ctx, token)
		if err != nil {
			return List{}, err
		}
		for i := range one.Instances {
			servers = append(servers, one.Instances[i].server())
		}
		if one.NextToken == nil || *one.NextToken == "" {
			return NewList(servers), nil
		}
		if *one.NextToken == token {
			return List{}, errors.New("the platform's list gives the same page twice")
		}
		token = *one.NextToken
	}
	return List{}, errors.New("the platform's list does not end")
}

// pageInTurn reads a page when the platform's rate allows for it, and again where it was refused for the rate.
func (r *Reader) readPageLimited(ctx context.Context, token string) (*page, error) {
	for try := 1; ; try++ {
		if err := sleep(ctx, r.limiter.reserve(time.Now())); err != nil {
			return nil, err
		}
		one, err := r.readPage(ctx, token)
		var rate *RateLimitError
		if token == "" || try == maxPageAttempts || !errors.As(err, &rate) {
			return one, err // before the first page the schedule knows how to wait
		}
		if err := sleep(ctx, max(rate.RetryAfter, minPageRetryDelay)); err != nil {
			return nil, err
		}
	}
}

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

func (r *Reader) readPage(ctx context.Context, token string) (*page, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, r.url(token), nil)
	if err != nil {
		return nil, err
	}
	response, err := r.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPageBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusTooManyRequests {
		return nil, &RateLimitError{RetryAfter: retryAfter(response)}
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("the platform's list answers %d", response.StatusCode)
	}
	return parsePage(body)
}

// parsePage reads a page. An answer without a list is none, and must not pass for an empty one.
func parsePage(body []byte) (*page, error) {
	var one page
	if err := json.Unmarshal(body, &one); err != nil {
		return nil, fmt.Errorf("the platform's list can't be read: %w", err)
	}
	if one.Instances == nil {
		return nil, errors.New("the platform's answer holds no list")
	}
	return &one, nil
}

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

func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryDelay.Seconds()) * float64(time.Second))
}

// NewList puts servers in order and numbers them by their content. A server that stands twice, as pages may shift while they are
// read, counts once: as draining where one says so.
func NewList(servers []protocol.Server) List {
	slices.SortStableFunc(servers, func(a, b protocol.Server) int { return strings.Compare(a.ID, b.ID) })
	unique := servers[:0]
	for _, one := range servers {
		if last := len(unique) - 1; last >= 0 && unique[last].ID == one.ID {
			unique[last].Draining = unique[last].Draining || one.Draining
			continue
		}
		unique = append(unique, one)
	}
	return List{Servers: unique, Digest: digest(unique)}
}

func digest(servers []protocol.Server) uint64 {
	hash := xxhash.New()
	var line []byte
	for i := range servers {
		one := &servers[i]
		line = line[:0]
		for _, text := range []string{one.ID, one.Backend, one.Address, one.Zone, one.Stage} {
			line = append(strconv.AppendInt(line, int64(len(text)), 10), ' ')
			line = append(line, text...)
		}
		line = strconv.AppendBool(strconv.AppendInt(line, int64(one.Slots), 10), one.Draining)
		_, _ = hash.Write(line) // never fails
	}
	return hash.Sum64()
}

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"sprucelane.example/sprucelane/internal/lab/system"
)

const (
	hostileInterval = 300 * time.Millisecond
	// rawTimeout bounds the wait for what a gateway sends on a connection with a malformed request.
	rawTimeout = time.Second
	// smuggledID is the id of requests that are hidden within other ones. No server may run them.
	smuggledID = "smuggled"
	// hostilePrefix begins the names of batch jobs that must be refused whole, and the ids of requests that may be.
	hostilePrefix = "hostile-"
)

// hiddenRequest is a whole request, as it stands behind a line end within a value.
var hiddenRequest = fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Tenant: %s\r\nContent-Length: 0\r\n\r\n",
	system.StreamPath, system.StreamHost, smuggledID, system.SecondTenant)

// hostileTexts can't be a part of the head of a request.
var hostileTexts = []string{
	"\r\n\r\n" + hiddenRequest, "\n\n" + strings.ReplaceAll(hiddenRequest, "\r\n", "\n"), "\r\nX-Tenant: " + system.SecondTenant,
	"\nX-Request-Id: " + smuggledID, "\r", "\n", "\x00", "\x01", "\x7f",
}

// hostileItem returns an item of a batch job that can't be sent to a server, and what is wrong with it.
func hostileItem(random *rand.Rand, job string) (item system.BatchItem, what string) {
	item = system.NewBatchItem(job, 0)
	text := hostileTexts[random.IntN(len(hostileTexts))]
	switch random.IntN(6) {
	case 0:
		item.ID += text
		return item, fmt.Sprintf("id %q", item.ID)
	case 1:
		item.Headers["X-Note"+text] = "x"
		return item, fmt.Sprintf("header name %q", "X-Note"+text)
	case 2:
		item.Headers["X-Note"] = "x" + text
		return item, fmt.Sprintf("header value %q", "x"+text)
	case 3:
		item.Path = []string{"", "*", "no-slash", "http://" + system.StreamHost + "/", "/a b", "/a%zz", "/a HTTP/1.1"}[random.IntN(7)]
		return item, fmt.Sprintf("path %q", item.Path)
	}
	item.Path += text
	return item, fmt.Sprintf("path %q", item.Path)
}

// rawRequests are requests whose framing or head is malformed or ambiguous, and that hide another one. %s is an id.
var rawRequests = []string{
	"Content-Length: 0\r\nContent-Length: 5\r\n\r\n",
	"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
	"Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
	"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
	"Content-Length: +4\r\n\r\n",
	"X-Note: a\rb\r\nContent-Length: 0\r\n\r\n",
	"X-Note: a\x00b\r\nContent-Length: 0\r\n\r\n",
	"X-Note\r\n : x\r\nContent-Length: 0\r\n\r\n",
	"X Note: x\r\nContent-Length: 0\r\n\r\n",
	"X-Request-Id: " + smuggledID + "\r\nContent-Length: 0\r\n\r\n",
	"X-Tenant: " + system.SecondTenant + "\r\nContent-Length: 0\r\n\r\n",
	"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n\r\n",
}

// generateHostileValues sends values that must not reach a server, until the context ends: batch jobs that must be refused
// whole, and malformed requests.
func (r *run) generateHostileValues(ctx context.Context) {
	random := r.options.randomSource(randomHostileValues)
	for number := 0; sleep(ctx, hostileInterval); number++ {
		m, name := r.randomFrontMachine(random), fmt.Sprintf("%s%d", hostilePrefix, number)
		r.hostileValues.Add(1)
		if random.IntN(2) == 0 {
			r.submitHostileItem(ctx, random, m, name)
			continue
		}
		head := rawRequests[random.IntN(len(rawRequests))]
		_, _ = system.SendRaw(ctx, m, rawRequest(name, head), rawTimeout) // only what servers run is checked
	}
}

// rawRequest returns a request with an id and further lines of its head, and a hidden request behind it that has no key.
func rawRequest(id, head string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1000\r\n%s%s",
		system.StreamPath, system.StreamHost, system.TenantKey, id, head, hiddenRequest)
}

// submitHostileItem submits a batch job with an item that can't be sent, beside one that can. It must be refused whole.
func (r *run) submitHostileItem(ctx context.Context, random *rand.Rand, m system.Machine, name string) {
	item, what := hostileItem(random, name)
	status, err := r.client.TrySubmitItems(ctx, m, name, []system.BatchItem{system.NewBatchItem(name, 1), item})
	if err != nil || status == http.StatusBadRequest || allowedUnderFaults(status) {
		return
	}
	r.checker.violated(RuleHostile, "a batch job with the %s was submitted to %s and got %d", what, m.Name, status)
}

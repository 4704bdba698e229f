package faultyserver

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// segment is a part of a response that is sent at once, after a pause.
type segment struct {
	pause time.Duration
	text  string
}

const (
	maxHeadPause     = 40 * time.Millisecond
	maxPause         = 20 * time.Millisecond   // before a segment of the body, if any
	maxLongPause     = 1500 * time.Millisecond // rarely
	maxResponseStars = 4000                    // bytes that fill up a response's body
)

// responseSegments returns a response in segments. Execution is nil where the server hasn't executed the request.
func (p *faultPlan) responseSegments(request *Request, execution *Execution, random *rand.Rand) []segment {
	parts, contentType := p.responseParts(request, execution, random)
	body := strings.Join(parts, "")
	if execution != nil {
		execution.Body = []byte(body)
	}
	head := p.responseHead(request, execution, contentType, len(body))
	list := []segment{{time.Duration(random.Int64N(int64(maxHeadPause))), head}}
	for _, part := range parts {
		list = append(list, p.bodySegments(part, random)...)
	}
	if p.framing == byChunks {
		list = append(list, segment{0, "0\r\n\r\n"})
	}
	return list
}

// responseParts returns the parts of a body, of which a stream has one for each event.
func (p *faultPlan) responseParts(request *Request, execution *Execution,
	random *rand.Rand) (parts []string, contentType string) {
	const text, eventStream = "text/plain", "text/event-stream"
	if p.kind != success {
		return []string{fmt.Sprintf("%d of %s", responseKinds[p.kind].status, request.ID)}, text
	}
	if request.streaming() {
		for event := execution.AfterEvent + 1; event <= request.Events; event++ {
			parts = append(parts, execution.eventText(event))
		}
		return parts, eventStream
	}
	parts = []string{"the answer to " + request.ID}
	if !p.shortBody {
		parts = append(parts, strings.Repeat("*", random.IntN(maxResponseStars)))
	}
	return parts, text
}

func (p *faultPlan) responseHead(request *Request, execution *Execution, contentType string, length int) string {
	kind := responseKinds[p.kind]
	id, signature := request.ID, ""
	if p.kind == wrongRequestID {
		id = "nobody"
	}
	if execution != nil && p.kind != unsigned {
		signature = "X-Response-Signature: " + execution.Signature + "\r\n"
	}
	head := fmt.Sprintf("HTTP/1.1 %d x\r\nX-Request-Id: %s\r\nVersions: %s\r\n%s%sContent-Type: %s\r\n", kind.status,
		id, versions, signature, kind.header, contentType)
	switch p.framing {
	case byContentLength:
		head += fmt.Sprintf("Content-Length: %d\r\n", length)
	case byChunks:
		head += "Transfer-Encoding: chunked\r\n"
	}
	if p.connectionClose {
		head += "Connection: close\r\n"
	} else if p.announceIdleTimeout {
		head += fmt.Sprintf("Keep-Alive: timeout=%d\r\n", int(p.idleTimeout/time.Second))
	}
	return head + "\r\n"
}

// bodySegments splits a part of the body at random, and frames it.
func (p *faultPlan) bodySegments(text string, random *rand.Rand) (list []segment) {
	for text != "" {
		n := len(text)
		if random.IntN(3) == 0 {
			n = 1 + random.IntN(n)
		}
		piece := text[:n]
		text = text[n:]
		if p.framing == byChunks {
			piece = fmt.Sprintf("%x\r\n%s\r\n", n, piece)
		}
		list = append(list, segment{randomPause(random), piece})
	}
	return list
}

// randomPause returns a long pause in one of 60 cases, a short one in nine, and none in the others.
func randomPause(random *rand.Rand) time.Duration {
	switch random.IntN(60) {
	case 0:
		return time.Duration(random.Int64N(int64(maxLongPause)))
	case 1, 2, 3, 4, 5, 6, 7, 8, 9:
		return time.Duration(random.Int64N(int64(maxPause)))
	}
	return 0
}

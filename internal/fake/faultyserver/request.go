package faultyserver

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
)

const (
	maxBody   = 100 << 10 // bytes
	maxEvents = 14        // of a stream
)

// Request is a request as a client sends it.
type Request struct {
	ID, Route, Path string
	Header          http.Header // that must reach the server unchanged
	Body            []byte
	AfterEvent      int // Last-Event-Id; 0: none
	Events          int // of the whole stream
}

func (r *Request) streaming() bool {
	return r.Route == routeStream || r.Route == routeResume || r.Route == RouteItem
}

func (r *Request) idempotent() bool { return r.Route == routeSafe || r.Route == routeResume }

// Execution is a request on which a server has begun to work.
type Execution struct {
	Request    *Request
	Signature  string // X-Response-Signature; no other execution has it
	AfterEvent int    // the Last-Event-Id that the server got
	Attempt    string // the X-Attempt that the server got
	Status     int    // 0: no response
	Body       []byte // of the response
	Truncated  bool   // the response has no length, and its end is a reset
}

// eventText returns an event of the execution's stream. Some have a field that clients don't know.
func (e *Execution) eventText(id int) string {
	extraField := ""
	if (len(e.Request.ID)+id)%4 == 0 {
		extraField = fmt.Sprintf("versions: %d\n", id)
	}
	return fmt.Sprintf("%sid: %d\ndata: %s\n\n", extraField, id, e.eventData(id))
}

// signatureSeparator precedes the signature in an event's data.
const signatureSeparator = " by "

func (e *Execution) eventData(id int) string {
	return fmt.Sprintf("%s %d%s%s", e.Request.ID, id, signatureSeparator, e.Signature)
}

// randomBodyLength returns the length of a request's body, mostly a small one.
func randomBodyLength(random *rand.Rand) int {
	switch random.IntN(10) {
	case 0:
		return 0
	case 1, 2, 3, 4:
		return random.IntN(200)
	case 5, 6, 7:
		return random.IntN(8 << 10)
	default:
		return random.IntN(maxBody)
	}
}

// requestBody returns a body of which each part names its request and its offset.
func requestBody(id string, length int) []byte {
	var b bytes.Buffer
	for b.Len() < length {
		fmt.Fprintf(&b, "<%s at %d>", id, b.Len())
	}
	return b.Bytes()[:length]
}

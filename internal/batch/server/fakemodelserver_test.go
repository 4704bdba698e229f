package server

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"sprucelane.example/sprucelane/internal/protocol"
)

// fakeModelServer is a model server whose behaviour depends on the item's id.
type fakeModelServer struct {
	mutex        sync.Mutex
	counts       map[string]int    // requests by item
	lastEventIDs map[string]string // Last-Event-Id of the last request by item
}

// startModelServer starts a fakeModelServer that serves until the test ends.
func startModelServer(t *testing.T) (*fakeModelServer, protocol.Server) {
	m := &fakeModelServer{counts: map[string]int{}, lastEventIDs: map[string]string{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: m}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return m, protocol.Server{
		ID: "i-1", Backend: testService, Address: listener.Addr().String(), Zone: "zone-store-1", Slots: 24,
	}
}

// ServeHTTP answers by the prefix of the item's id: 422 to impossible, 500 to failing, 503 to the first request of
// busy. It breaks the first stream of interrupted within the fourth event. All other requests get all events.
func (m *fakeModelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	m.mutex.Lock()
	m.counts[id]++
	count := m.counts[id]
	m.lastEventIDs[id] = r.Header.Get("Last-Event-Id")
	m.mutex.Unlock()
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Signature", "s")
	if r.Host != "host.example" || r.Header.Get("X-Tenant") != "tenant" || r.Header.Get("X-Expect-Instance") != "i-1" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch {
	case strings.HasPrefix(id, "impossible"):
		w.WriteHeader(http.StatusUnprocessableEntity)
		return
	case strings.HasPrefix(id, "failing"):
		w.WriteHeader(http.StatusInternalServerError)
		return
	case strings.HasPrefix(id, "busy") && count == 1:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		number, _ := strconv.Atoi(last)
		first = number + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for number := first; number <= testEvents; number++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", number, id, number)
		w.(http.Flusher).Flush()
		if strings.HasPrefix(id, "interrupted") && count == 1 && number == 3 {
			connection, out, _ := w.(http.Hijacker).Hijack()
			_, _ = fmt.Fprintf(out, "20\r\nid: 4\ndata: half")
			_ = out.Flush()
			_ = connection.Close()
			return
		}
	}
}

package front

import (
	"net/http"
	"time"

	"sprucelane.example/sprucelane/internal/service"
)

// writeStallTimeout is the maximum time for which a client may read nothing of a response. Handlers of long
// responses extend the write deadline during the response.
const writeStallTimeout = 10 * time.Second

// trackRequests wraps a handler. It records at the connection that a request is being handled, and passes a
// responseWriter to the handler.
func trackRequests(state *service.State, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rw := &responseWriter{ResponseWriter: w, state: state}
		if c, _ := r.Context().Value(connKey{}).(*clientConn); c != nil {
			rw.conn = c
			c.setHandling(true)
			defer c.setHandling(false)
		}
		if handler.ServeHTTP(rw, r); !rw.headerWritten {
			rw.WriteHeader(http.StatusOK)
		}
	})
}

// responseWriter marks a response as the last one of its connection (Connection: close) while the server
// drains. During the grace period of idle connections a response is not the last one if another request has
// arrived after its own, so that the other request is answered too.
type responseWriter struct {
	http.ResponseWriter
	state         *service.State
	conn          *clientConn // nil under TLS
	headerWritten bool
}

// WriteHeader writes the head, with Connection: close if the response is the last one of its connection.
func (w *responseWriter) WriteHeader(code int) {
	if !w.headerWritten {
		if w.isLast() {
			w.Header().Set("Connection", "close")
		}
		// The call fails only on a closed connection, on which the writes fail too.
		_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(writeStallTimeout))
	}
	w.headerWritten = w.headerWritten || code >= http.StatusOK
	w.ResponseWriter.WriteHeader(code)
}

// isLast reports whether the response is the last one of its connection.
func (w *responseWriter) isLast() bool {
	if w.conn.overflowed() {
		return true
	}
	return w.state.ClosesAfterResponse() && !(w.conn.moreArrived() && !w.state.ClosesIdle(time.Now()))
}

// Write writes a part of the body, after the head.
func (w *responseWriter) Write(b []byte) (int, error) {
	if !w.headerWritten {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

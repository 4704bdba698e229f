package operatorapi

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// Errors of reading a body.
var (
	errBodyTooLarge = errors.New("the body is too large")
	errBodiesBusy   = errors.New("other large configurations are under way") // the byteBudget is exhausted
)

// readBody reads a request's body within the limits on its size and on the size of all bodies together. The
// returned function releases the body's share of the latter; it is nil on an error. With errBodyTooLarge the
// returned bytes are the beginning of the body that has already been read, if any.
func (a *API) readBody(request *http.Request) ([]byte, func(), error) {
	if request.ContentLength > a.maxBodyBytes {
		return nil, nil, errBodyTooLarge
	}
	reserved := request.ContentLength
	if reserved < 0 {
		reserved = a.maxBodyBytes
	}
	if !a.bodies.reserve(reserved) {
		return nil, nil, errBodiesBusy
	}
	release := func() { a.bodies.release(reserved) }
	body, err := readAll(request, a.maxBodyBytes)
	if err != nil {
		release()
		return body, nil, err
	}
	return body, release, nil
}

// readAll reads a request's body: all of it if its length is known, otherwise up to the limit. If a body of unknown
// length exceeds the limit, readAll returns errBodyTooLarge and the bytes that it has read.
func readAll(request *http.Request, limit int64) ([]byte, error) {
	if request.ContentLength >= 0 {
		body := make([]byte, request.ContentLength)
		_, err := io.ReadFull(request.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		return body, errBodyTooLarge
	}
	return body, err
}

// byteBudget limits the total size in bytes of the bodies that are held at a time.
type byteBudget struct {
	limit    int64
	mutex    sync.Mutex
	reserved int64 // guarded by mutex
}

// reserve reserves a number of bytes and reports whether that was possible. The first body is accepted whatever its
// size.
func (b *byteBudget) reserve(bytes int64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.reserved > 0 && b.reserved+bytes > b.limit {
		return false
	}
	b.reserved += bytes
	return true
}

// release returns reserved bytes to the budget.
func (b *byteBudget) release(bytes int64) {
	b.mutex.Lock()
	b.reserved -= bytes
	b.mutex.Unlock()
}

package serverclient

import (
	"context"
	"errors"
	"os"
	"time"
)

const (
	// maxUncheckedWrite is the longest write, in bytes, during which the client doesn't check for an early response.
	maxUncheckedWrite = 4 << 10
	// writeChunkSize is the number of bytes of a long body that are written between such checks.
	writeChunkSize = 64 << 10
	// writeStallTimeout is how long a server may accept no bytes of a body before the client checks whether a
	// response has arrived.
	writeStallTimeout = 50 * time.Millisecond
)

// send writes the request. It stops early if the server accepts no more bytes and has answered, or at the deadline.
// An error means that the request wasn't sent completely; there may be a response even then.
func (conn *connection) send(ctx context.Context, request *Request, lastEventID int64, deadline time.Time) error {
	header := encodeHeader(request, lastEventID)
	if len(request.Item.Body) <= writeChunkSize {
		return conn.write(ctx, append(header, request.Item.Body...), deadline)
	}
	if err := conn.write(ctx, header, deadline); err != nil {
		return err
	}
	return conn.write(ctx, request.Item.Body, deadline)
}

// write writes rest, in chunks if it is long. It stops as send does.
func (conn *connection) write(ctx context.Context, rest []byte, deadline time.Time) error {
	if len(rest) <= maxUncheckedWrite {
		_, err := conn.Write(rest)
		return err
	}
	for len(rest) > 0 {
		if err := conn.SetWriteDeadline(earlier(time.Now().Add(writeStallTimeout), deadline)); err != nil {
			return err
		}
		if ctx.Err() != nil { // the deadline that was set when the context ended has just been replaced
			return ctx.Err()
		}
		n, err := conn.Write(rest[:min(writeChunkSize, len(rest))])
		rest = rest[n:]
		answered := n == 0 && !conn.nothingToRead()
		if err != nil && (!errors.Is(err, os.ErrDeadlineExceeded) || answered || !time.Now().Before(deadline)) {
			return err
		}
	}
	return nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

package serverclient

import (
	"context"
	"errors"
	"os"
	"time"
)

const (
	// maxUncheckedWrite is the longest write during which it isn't looked whether a response has come, bytes.
	maxUncheckedWrite = 4 << 10
	// writeChunkSize is how much of a long body is written between such looks, bytes.
	writeChunkSize = 64 << 10
	// writeStallTimeout is how long a server may take nothing of a body until it is looked whether its
	// response has come.
	writeStallTimeout = 50 * time.Millisecond
)

// send writes the request until it is complete, or the server takes no more of it and has answered, or by
// is past. An error says that the request isn't complete; a response may be there all the same.
func (conn *connection) send(ctx context.Context, request *Request, lastEventID int64, by time.Time) error {
	header := encodeHeader(request, lastEventID)
	if len(request.Item.Body) <= writeChunkSize {
		return conn.write(ctx, append(header, request.Item.Body...), by)
	}
	if err := conn.write(ctx, header, by); err != nil {
		return err
	}
	return conn.write(ctx, request.Item.Body, by)
}

// write writes bytes, many of them in chunks.
func (conn *connection) write(ctx context.Context, rest []byte, by time.Time) error {
	if len(rest) <= maxUncheckedWrite {
		_, err := conn.Write(rest)
		return err
	}
	for len(rest) > 0 {
		if err := conn.SetWriteDeadline(earlier(time.Now().Add(writeStallTimeout), by)); err != nil {
			return err
		}
		if ctx.Err() != nil { // its deadline, which ends writes, has just been replaced
			return ctx.Err()
		}
		n, err := conn.Write(rest[:min(writeChunkSize, len(rest))])
		rest = rest[n:]
		answered := n == 0 && !conn.nothingToRead()
		if err != nil && (!errors.Is(err, os.ErrDeadlineExceeded) || answered || !time.Now().Before(by)) {
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

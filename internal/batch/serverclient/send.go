package serverclient

import (
	"context"
	"errors"
	"os"
	"strconv"
	"time"
)

const (
	// atOnce is what is written without looking at the answer, in bytes.
	maxUncheckedWrite = 4 << 10
	// bodyStep is how much of a long body goes out between looks at the answer, in bytes.
	writeChunkSize = 64 << 10
	// bodyStall is how long a server may take nothing of a body before it is looked whether its answer is there.
	writeStallTimeout = 50 * time.Millisecond
	// answerWait is how long the answer may take where the server took no more of its request.
	earlyResponseTimeout = 50 * time.Millisecond
)

// send writes the request, until the server takes nothing more and has answered, and gives the error that kept it from being
// whole: an answer may be there all the same.
func (conn *connection) send(ctx context.Context, request *Request, lastEventID int64, by time.Time) error {
	first := encodeHeader(request, lastEventID)
	if len(request.Item.Body) <= writeChunkSize {
		return conn.write(ctx, append(first, request.Item.Body...), by)
	}
	if err := conn.write(ctx, first, by); err != nil {
		return err
	}
	return conn.write(ctx, request.Item.Body, by)
}

// write writes bytes; of long ones some at a time.
func (conn *connection) write(ctx context.Context, rest []byte, by time.Time) error {
	if len(rest) <= maxUncheckedWrite {
		_, err := conn.Write(rest)
		return err
	}
	for len(rest) > 0 {
		if err := conn.SetWriteDeadline(earliest(time.Now().Add(writeStallTimeout), by)); err != nil {
			return err
		}
		if ctx.Err() != nil { // its end set the deadline that has just been moved
			return ctx.Err()
		}
		n, err := conn.Write(rest[:min(writeChunkSize, len(rest))])
		rest = rest[n:]
		stalled := n == 0 && !conn.nothingToRead()
		if err != nil && (!errors.Is(err, os.ErrDeadlineExceeded) || stalled || !time.Now().Before(by)) {
			return err
		}
	}
	return nil
}

func earliest(one, other time.Time) time.Time {
	if one.Before(other) {
		return one
	}
	return other
}

// head writes a request's head.
func encodeHeader(request *Request, lastEventID int64) []byte {
	item := request.Item
	out := make([]byte, 0, 512)
	out = append(out, "POST "...)
	out = append(out, item.Path...)
	out = append(out, " HTTP/1.1\r\n"...)
	out = appendHeader(out, "Host", request.Host)
	out = appendHeader(out, "X-Request-Id", item.ID)
	out = appendHeader(out, "X-Tenant", request.Tenant)
	out = appendHeader(out, "X-Expect-Instance", request.Instance)
	out = appendHeader(out, "X-Deadline-Ms", strconv.FormatInt(max(request.Deadline.Milliseconds(), 1), 10))
	if lastEventID >= 0 {
		out = appendHeader(out, "Last-Event-Id", strconv.FormatInt(lastEventID, 10))
	}
	for _, header := range item.Headers {
		if !isReservedHeader(header.Name) {
			out = appendHeader(out, header.Name, header.Value)
		}
	}
	out = appendHeader(out, "Content-Length", strconv.Itoa(len(item.Body)))
	return append(out, "\r\n"...)
}

func appendHeader(out []byte, name, value string) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	for i := range len(value) {
		if value[i] != '\r' && value[i] != '\n' {
			out = append(out, value[i])
		}
	}
	return append(out, "\r\n"...)
}

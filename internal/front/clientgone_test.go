package front

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A handler learns that its client has left, with any input pipelined behind its request, and wherever the reads
// of that are split: some of it is read together with the request, the rest while that is handled.
func TestClientGoneWithPipelinedRequests(t *testing.T) {
	const (
		plain = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
		long  = "POST /next HTTP/1.1\r\nHost: x\r\nContent-Length: 30\r\n\r\n"
		parts = "POST /next HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
	)
	for _, first := range []string{plain, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab",
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"} {
		for _, behind := range []string{"", plain + plain, long + strings.Repeat("b", 30), parts + plain,
			strings.Repeat(plain, 300)} {
			for cut := 0; cut <= min(len(behind), 200); cut++ {
				checkClientGone(t, 1, first+behind[:cut], behind[cut:])
			}
		}
	}
}

// The same holds for a request that was pipelined itself, in part or whole, with more behind it.
func TestClientGoneInPipelinedRequest(t *testing.T) {
	request := "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	for at := 2; at <= 4; at++ {
		all := strings.Repeat(request, 6)
		for cut := len(request); cut <= len(all); cut++ {
			checkClientGone(t, at, all[:cut], all[cut:])
		}
		checkClientGone(t, at, strings.Repeat(request, 140), strings.Repeat(request, 20))
	}
}

// checkClientGone has a client send some bytes, then the rest while its first request is handled, and leave
// during the nth request, whose handler must learn of it.
func checkClientGone(t *testing.T, at int, before, rest string) {
	synctest.Test(t, func(t *testing.T) {
		port := newPipeListener()
		handled, left, goOn := 0, false, make(chan bool)
		s, err := Listen(Options{Listener: port, MaxConnections: 9, MaxRequestDeadline: time.Minute}, http.HandlerFunc(
			func(_ http.ResponseWriter, r *http.Request) {
				handled++
				io.Copy(io.Discard, r.Body)
				if handled < at {
					<-goOn
					return
				}
				<-r.Context().Done()
				left = true
				panic(http.ErrAbortHandler)
			}))
		require.NoError(t, err)
		s.state.MarkStarted()
		go s.Serve()
		c := port.dial()
		go io.Copy(io.Discard, c.Conn)
		_, err = io.WriteString(c, before)
		require.NoError(t, err)
		synctest.Wait()
		if rest != "" {
			go io.WriteString(c, rest)
		}
		for range at - 1 {
			synctest.Wait()
			goOn <- true
		}
		synctest.Wait()
		require.Equal(t, at, handled)
		assert.False(t, left)
		c.Close()
		synctest.Wait()
		assert.True(t, left, "%q, then %q", before, rest)
		assert.Equal(t, at, handled)
		s.Close()
	})
}

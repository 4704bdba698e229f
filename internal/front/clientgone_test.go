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

// A handler is notified that its client has left, whatever input is pipelined after its request, and at whatever
// byte that is split: the first part is read together with the request, the rest while the request is handled.
// net/http alone stops watching for the disconnect at a pipelined byte.
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

// The handler of a request that was itself pipelined, partly or completely, with more input after it, is notified
// too.
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

// checkClientGone runs a client that sends the bytes before, sends rest while its first request is handled, and
// leaves while the request with that number is handled. The handler of that request must be notified.
func checkClientGone(t *testing.T, number int, before, rest string) {
	synctest.Test(t, func(t *testing.T) {
		port := newPipeListener()
		handled, left, proceed := 0, false, make(chan bool)
		s, err := Listen(Options{Listener: port, MaxConnections: 9, MaxRequestDeadline: time.Minute}, http.HandlerFunc(
			func(_ http.ResponseWriter, r *http.Request) {
				handled++
				io.Copy(io.Discard, r.Body)
				if handled < number {
					<-proceed
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
		for range number - 1 {
			synctest.Wait()
			proceed <- true
		}
		synctest.Wait()
		require.Equal(t, number, handled)
		assert.False(t, left)
		c.Close()
		synctest.Wait()
		assert.True(t, left, "%q, then %q", before, rest)
		assert.Equal(t, number, handled)
		s.Close()
	})
}

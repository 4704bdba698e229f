package pool

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/internal/fake/memorynet"
)

// A truncated head is followed, within its status line or a field, by the complete response. Read as one head,
// it would have the status of the first and the request id of the second.
func TestTornHead(t *testing.T) {
	const own = "HTTP/1.1 500 Internal Server Error\r\nX-Request-Id: own\r\nContent-Length: 0\r\n\r\n"
	for text, fine := range map[string]bool{
		"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Note: " + own: false,
		"HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nX-Note: so" + own:     false,
		"HTTP/1.1 200 OK\r\nX-No" + own:                                false,
		"HTTP/1.1 200 " + own:                                          false,
		"HTTP/1.1 421 No" + own:                                        false,
		"HTTP/1.1 2" + own:                                             false,
		"HTTP/1.1 200 OK\r\n" + own:                                    false,
		"HTTP/1.1 103 Early\r\nLink: " + own:                           false,
		"HTTP/1.1 200 OK\r\nVia: HTTP/1.1 a, HTTP/1.0 200b\r\n" + own[len("HTTP/1.1 500 Internal Server Error\r\n"):]: true,
		own: true,
	} {
		runInMemory(t, func(c *memorynet.Conn) {
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				io.WriteString(c, text)
			}
		}, func(p *Pool) {
			x, end := p.Send(context.Background(), newRequest(0))
			require.NotNil(t, x, "%v", end)
			resp, err := x.ReadHead(time.Now().Add(time.Second))
			if fine {
				require.NoError(t, err, text)
				assert.Equal(t, "own", resp.Header.Get("X-Request-Id"))
			} else {
				assert.Error(t, err, text)
			}
			x.Close()
		})
	}
}

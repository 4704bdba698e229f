package front

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	get     = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
	sized   = "POST /a HTTP/1.1\r\nHost: x\r\ncontent-length:  5 \r\n\r\nGET /"
	chunked = "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"3;ext=\"a\"\r\nabc\r\nA\r\n0123456789\r\n0\r\nT: x\r\n\r\n"
	both   = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTRANSFER-ENCODING: chunked\r\n\r\n0\r\n\r\n"
	turned = "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n0\r\n\r\n"
	old    = "POST /a HTTP/1.0\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nabc"
	folded = "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n"
)

// A request with both a length and chunks is told apart from those before it, wherever the bytes are split,
// and nothing behind it counts as unambiguous.
func TestFramingSplitAnywhere(t *testing.T) {
	long := strings.Replace(get, "/a", "/"+strings.Repeat("x", 3000), 1)
	for name, c := range map[string]struct {
		text  string
		heads int
		clean int // so many from the first are unambiguous
	}{
		"plain":           {get + sized + chunked + get + long + chunked, 6, 6},
		"both":            {get + chunked + both + get, 4, 2},
		"the other order": {chunked + turned, 2, 1},
		"of an old form":  {get + old + chunked, 3, 1},
		"a long target":   {long + strings.Replace(old, "/a", "/"+strings.Repeat("x", 3000), 1) + chunked, 3, 1},
		"folded":          {get + folded + chunked, 1, 1},
		"empty lines":     {"\r\n\n" + get + "\r\n" + chunked, 2, 2},
		"bare line ends":  {strings.ReplaceAll(get+chunked, "\r\n", "\n"), 2, 2},
		"a bad size":      {chunked + strings.Replace(chunked, "3;", "z;", 1) + get, 2, 2},
		"a bad length":    {get + strings.Replace(sized, " 5 ", "+5,5", 1) + get, 1, 1},
		"two lengths":     {get + strings.Replace(sized, "Host: x", "Content-Length: 4", 1) + get, 1, 1},
	} {
		for cut := range c.text {
			f := framingScanner{}
			f.scan([]byte(c.text[:cut]))
			f.scan([]byte(c.text[cut:]))
			if name != "bare line ends" { // net/http rejects chunks with bare line ends too
				assert.Equal(t, c.heads, f.heads, "%s cut at %d", name, cut)
			}
			for n := 1; n <= 7; n++ {
				assert.Equal(t, n <= c.clean, f.unambiguous(n), "%s cut at %d: request %d", name, cut, n)
			}
			if t.Failed() {
				return
			}
		}
	}
}

// A handler sees a chunked request as unambiguous only if its head had no length.
func TestUnambiguousFraming(t *testing.T) {
	s, _ := serve(t, 9, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%v %s", UnambiguousFraming(r), body)
	})
	c := dial(t, s)
	_, err := io.WriteString(c, chunked+sized+chunked+both)
	require.NoError(t, err)
	for _, want := range []string{"true abc0123456789", "true GET /", "true abc0123456789", "false "} {
		resp, err := http.ReadResponse(c.in, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		assert.Equal(t, want, string(body))
	}
}

// Whatever arrives, in whatever pieces: a chunked request that net/http reads counts as unambiguous only if
// its head has no length, as a second parse of the same bytes shows.
func FuzzFraming(f *testing.F) {
	for _, text := range []string{get, sized, chunked, both, turned, old, folded, get + chunked + both} {
		f.Add([]byte(text), 7)
	}
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		var fr framingScanner
		for rest := data; len(rest) > 0; {
			n := min(max(piece, 1), len(rest))
			fr.scan(rest[:n])
			rest = rest[n:]
		}
		if len(fr.linePrefix) > maxLinePrefix || len(fr.lineSuffix) > lineSuffixSize {
			t.Fatal(len(fr.linePrefix), len(fr.lineSuffix))
		}
		in := bufio.NewReader(bytes.NewReader(data))
		for n := 1; ; n++ {
			rest, _ := io.ReadAll(in)
			in = bufio.NewReader(bytes.NewReader(rest))
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			head, _, _ := strings.Cut(strings.ReplaceAll(strings.TrimLeft(string(rest), "\r\n"), "\r\n", "\n"), "\n\n")
			if len(r.TransferEncoding) > 0 && fr.unambiguous(n) && strings.Contains(strings.ToLower(head), "\ncontent-length:") {
				t.Fatalf("request %d of %q is vouched for", n, data)
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
		}
	})
}

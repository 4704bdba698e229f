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
	both     = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTRANSFER-ENCODING: chunked\r\n\r\n0\r\n\r\n"
	reversed = "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n0\r\n\r\n"
	old      = "POST /a HTTP/1.0\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nabc"
	folded   = "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n"
)

// The first request with both a Content-Length and a Transfer-Encoding is detected, at whatever byte the input is
// split. The requests before it are unambiguous, and none after it.
func TestFramingSplitAnywhere(t *testing.T) {
	long := strings.Replace(get, "/a", "/"+strings.Repeat("x", 3000), 1)
	for name, c := range map[string]struct {
		text  string
		heads int
		clean int // number of requests, from the first, that are unambiguous
	}{
		"plain":           {get + sized + chunked + get + long + chunked, 6, 6},
		"both":            {get + chunked + both + get, 4, 2},
		"the other order": {chunked + reversed, 2, 1},
		"HTTP/1.0":        {get + old + chunked, 3, 1},
		"a long target":   {long + strings.Replace(old, "/a", "/"+strings.Repeat("x", 3000), 1) + chunked, 3, 1},
		"folded field":    {get + folded + chunked, 1, 1},
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

// For a handler, a chunked request is unambiguous only if its head has no Content-Length.
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

// FuzzFraming scans arbitrary input in pieces of arbitrary size. A chunked request that net/http reads may count as
// unambiguous only if its head has no Content-Length, which the test finds by parsing the input again.
func FuzzFraming(f *testing.F) {
	for _, text := range []string{get, sized, chunked, both, reversed, old, folded, get + chunked + both} {
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
				t.Fatalf("request %d of %q has a Content-Length and counts as unambiguous", n, data)
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
		}
	})
}

package httpsyntax

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Every byte that could end a line or a part of the request line is rejected at every place, and nothing that
// net/http reads back unchanged.
func TestEachByte(t *testing.T) {
	Convey("What passes is read back by net/http as it was", t, func() {
		for b := range 256 {
			for _, text := range []string{"/a" + string([]byte{byte(b)}), "/" + string([]byte{byte(b)}) + "a"} {
				request, rest, err := readBack("POST " + text + " HTTP/1.1\r\nHost: h\r\n\r\n")
				same := err == nil && request.RequestURI == text && rest == 0
				if CheckTarget(text) == nil {
					So(same, ShouldBeTrue)
				} else {
					So(!same || b == '#', ShouldBeTrue)
				}
				request, rest, err = readBack("POST / HTTP/1.1\r\nHost: h\r\nA: " + text + "\r\n\r\n")
				same = err == nil && request.Header.Get("A") == text && rest == 0
				if CheckIdentifier("id", text) == nil {
					So(same, ShouldBeTrue)
				}
				if CheckHeader("A", text) != nil {
					So(b < ' ' || b == 0x7f, ShouldBeTrue)
				}
				request, rest, err = readBack("POST / HTTP/1.1\r\nHost: h\r\n" + text[1:] + ": v\r\n\r\n")
				if CheckHeader(text[1:], "v") == nil {
					So(err == nil && rest == 0 && request.Header.Get(text[1:]) == "v", ShouldBeTrue)
				}
			}
		}
	})
	Convey("Requests and headers within a string are rejected, and whitespace that a receiver trims", t, func() {
		const smuggled = "/p HTTP/1.1\r\nHost: h\r\nX-Tenant: other\r\n\r\nPOST /p"
		for _, err := range []error{
			CheckTarget(smuggled), CheckTarget(""), CheckTarget("p"), CheckTarget("http://h/p"), CheckTarget("*"),
			CheckTarget("/%zz"), CheckTarget("/p#fragment"), CheckHost("h\r\nA: b"), CheckHost(""), CheckHost("h h"),
			CheckHeader("A: b\r\nX-Tenant", "v"), CheckHeader("X-Tenant ", "v"), CheckHeader("", "v"),
			CheckHeader("A", "b\r\nX-Tenant: other"), CheckHeader("A", "b\nX-Tenant: other"),
			CheckIdentifier("id", ""), CheckIdentifier("id", " a"), CheckIdentifier("id", "a\t"), CheckIdentifier("id", "a\nb"),
		} {
			So(errors.Is(err, ErrMalformed), ShouldBeTrue)
		}
		So(len(CheckTarget(string(bytes.Repeat([]byte{'\n'}, 1<<20))).Error()), ShouldBeLessThan, 1000)
		So(CheckTarget("/p/3/91c4?a=b%20c&d=é"), ShouldBeNil)
		So(CheckHost("nony24.example:80"), ShouldBeNil)
		So(CheckHeader("X-Prompt-Prefix", " 9c2e41:300, 5d07b8:240"), ShouldBeNil)
		So(CheckIdentifier("id", "night shift/7 é"), ShouldBeNil)
	})
}

// readBack reads a request head as a server does. It returns the number of bytes after the head.
func readBack(head string) (request *http.Request, rest int, err error) {
	in := bufio.NewReader(bytes.NewReader([]byte(head)))
	request, err = http.ReadRequest(in)
	left, _ := io.ReadAll(in)
	return request, len(left), err
}

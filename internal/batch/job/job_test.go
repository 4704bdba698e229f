package job

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestParseSubmission(t *testing.T) {
	Convey("A valid submission is parsed, and an invalid one is rejected with ErrInvalid", t, func() {
		items, err := ParseSubmission([]byte(`{"requests":[{"id":"e5","path":"/p/3/91","headers":{"X-Model":"m"},` +
			`"body":"q83vEjRWeJA=","tokens":940}]}`))
		So(err, ShouldBeNil)
		So(items, ShouldHaveLength, 1)
		So(items[0].Body, ShouldResemble, []byte{0xab, 0xcd, 0xef, 0x12, 0x34, 0x56, 0x78, 0x90})
		So(items[0].Headers, ShouldResemble, []Header{{"X-Model", "m"}})
		So(items[0].Tokens, ShouldEqual, 940)
		many := bytes.Buffer{}
		for i := range MaxItems + 1 {
			fmt.Fprintf(&many, `,{"id":"%d","path":"/p"}`, i)
		}
		for _, text := range []string{
			``, `{}`, `{"requests":[]}`, `{"requests":[{"id":"a"}]}`, `{"requests":[{"path":"/p"}]}`,
			`{"requests":[{"id":"a","path":"/p","body":"?"}]}`,
			`{"requests":[{"id":"a","path":"/p"},{"id":"a","path":"/p"}]}`,
			`{"requests":[` + many.String()[1:] + `]}`,
		} {
			_, err := ParseSubmission([]byte(text))
			So(errors.Is(err, ErrInvalid), ShouldBeTrue)
		}
	})
}

// A line end or a space within an item would let a client send servers a request of its own making, for another tenant.
func TestItemsThatCannotBeSent(t *testing.T) {
	Convey("A submission with an item that can't be sent as an HTTP request is rejected whole, with the place", t, func() {
		const smuggled = "/p HTTP/1.1\r\nHost: h\r\nX-Tenant: other\r\nContent-Length: 0\r\n\r\nPOST /p"
		for name, hostile := range map[string]submittedItem{
			"path with a request":         {ID: "b", Path: smuggled},
			"path with a line feed":       {ID: "b", Path: "/p\n"},
			"path with a space":           {ID: "b", Path: "/p q"},
			"path of another host":        {ID: "b", Path: "http://other.example/p"},
			"path without a slash":        {ID: "b", Path: "p"},
			"id with a header":            {ID: "b\r\nX-Tenant: other", Path: "/p"},
			"id that a server would trim": {ID: "b ", Path: "/p"},
			"header name with a header":   {ID: "b", Path: "/p", Headers: map[string]string{"A: b\r\nX-Tenant": "other"}},
			"header name with a space":    {ID: "b", Path: "/p", Headers: map[string]string{"X-Tenant ": "other"}},
			"header name without text":    {ID: "b", Path: "/p", Headers: map[string]string{"": "other"}},
			"header value with a header":  {ID: "b", Path: "/p", Headers: map[string]string{"A": "b\r\nX-Tenant: other"}},
			"header value with a NUL":     {ID: "b", Path: "/p", Headers: map[string]string{"A": "b\x00"}},
		} {
			text, err := json.Marshal(submission{Requests: []submittedItem{{ID: "a", Path: "/p"}, hostile}})
			So(err, ShouldBeNil)
			items, err := ParseSubmission(text)
			So(fmt.Sprint(name, errors.Is(err, ErrInvalid), len(items)), ShouldEqual, name+"true 0")
			So(err.Error(), ShouldContainSubstring, "requests[1]")
		}
	})
	Convey("What a client may send as a request of its own may be in an item", t, func() {
		text, err := json.Marshal(submission{Requests: []submittedItem{{
			ID: "night shift/7 é", Path: "/p/%20/é?a=b&c=%2F", Headers: map[string]string{"X-Note": " a\tb, é "},
		}}})
		So(err, ShouldBeNil)
		items, err := ParseSubmission(text)
		So(err, ShouldBeNil)
		So(items, ShouldHaveLength, 1)
	})
}

func drawContent(t *rapid.T) *Content {
	content := &Content{
		ID: rapid.String().Draw(t, "id"), Tenant: rapid.String().Draw(t, "tenant"),
		Route: rapid.String().Draw(t, "route"), FirstSent: rapid.Int64().Draw(t, "sent"), Items: []Item{},
	}
	for range rapid.IntRange(0, 5).Draw(t, "items") {
		item := Item{
			ID: rapid.String().Draw(t, "item"), Path: rapid.String().Draw(t, "path"),
			Tokens: rapid.IntRange(0, 1<<30).Draw(t, "tokens"), Body: rapid.SliceOf(rapid.Byte()).Draw(t, "body"),
		}
		for range rapid.IntRange(0, 3).Draw(t, "headers") {
			item.Headers = append(item.Headers, Header{rapid.String().Draw(t, "name"), rapid.String().Draw(t, "value")})
		}
		content.Items = append(content.Items, item)
	}
	return content
}

func TestEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		content := drawContent(t)
		encoded := content.Encode()
		read, spans, err := Decode(encoded)
		if err != nil {
			t.Fatal(err)
		}
		if fmt.Sprintf("%+v", read) != fmt.Sprintf("%+v", content) {
			t.Fatalf("%+v was decoded as %+v", content, read)
		}
		for i, span := range spans {
			item, err := DecodeItem(encoded[span.Offset : span.Offset+span.Length])
			if err != nil || fmt.Sprintf("%+v", item) != fmt.Sprintf("%+v", content.Items[i]) {
				t.Fatalf("item %d was decoded as %+v, error %v", i, item, err)
			}
		}
		cut := rapid.IntRange(0, len(encoded)-1).Draw(t, "cut")
		if _, _, err := Decode(encoded[:cut]); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("the first %d of %d bytes were decoded with error %v, want ErrCorrupt", cut, len(encoded), err)
		}
	})
}

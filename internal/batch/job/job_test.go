package job

import (
	"bytes"
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

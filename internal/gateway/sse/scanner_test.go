package sse

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func stream(first, last int) string {
	var b strings.Builder
	for id := first; id <= last; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", id, id)
	}
	return b.String()
}

// feed scans a text in pieces of random lengths and collects the complete events.
func feed(s *Scanner, text string, random *rand.Rand) string {
	var out strings.Builder
	for len(text) > 0 {
		n := min(len(text), 1+random.IntN(40))
		copy(s.Reserve(n), text[:n])
		s.Advance(n)
		text = text[n:]
		if random.IntN(2) == 0 {
			out.Write(s.Complete())
			s.Consume()
		}
	}
	out.Write(s.Complete())
	s.Consume()
	return out.String()
}

func TestScanner(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	Convey("However a stream is split, complete events are returned and a partial one is not", t, func() {
		all := stream(1, 30)
		for cut := range len(all) {
			s := NewScanner(nil)
			got := feed(s, all[:cut], random)
			end := strings.LastIndex(all[:cut], "\n\n")
			if end < 0 {
				So(got, ShouldBeEmpty)
				continue
			}
			if got != all[:end+2] || got+string(s.Partial()) != all[:cut] {
				So(got, ShouldEqual, all[:end+2])
			}
			last, found := s.LastID()
			if !found || last != uint64(strings.Count(got, "\n\n")) {
				So(last, ShouldEqual, strings.Count(got, "\n\n"))
			}
		}
	})
	Convey("A resumed stream drops events that were consumed before, and reports a gap", t, func() {
		for range 200 {
			after, from := random.IntN(12), 1+random.IntN(16)
			s := NewScanner(nil)
			So(feed(s, stream(1, 2)+"id: 3\nda", random), ShouldEqual, stream(1, 2))
			s.Resume(uint64(after))
			got := feed(s, stream(from, 20), random)
			So(s.Gap(), ShouldEqual, from > after+1)
			So(got, ShouldEqual, stream(max(from, after+1), 20))
		}
	})
	Convey("Carriage returns and other fields are kept as they are", t, func() {
		s := NewScanner(nil)
		text := "versions: 4\r\nid: 7\r\ndata: x\r\n\r\n: note\n\n"
		So(feed(s, text+"id: 8\n", random), ShouldEqual, text)
		last, _ := s.LastID()
		So(last, ShouldEqual, 7)
		So(string(s.Partial()), ShouldEqual, "id: 8\n")
	})
}

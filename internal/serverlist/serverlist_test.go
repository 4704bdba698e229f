package serverlist

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"sprucelane.example/sprucelane/internal/protocol"
)

// drawList returns a sorted list of some of 13 servers, drawn at random.
func drawList(t *rapid.T) []protocol.Server {
	ids := rapid.SliceOfNDistinct(rapid.IntRange(0, 12), 0, 8, rapid.ID[int]).Draw(t, "ids")
	list := []protocol.Server{}
	for _, id := range ids {
		list = append(list, protocol.Server{
			ID:       fmt.Sprint("i", id),
			Slots:    rapid.IntRange(1, 2).Draw(t, "slots"),
			Draining: rapid.Bool().Draw(t, "draining"),
		})
	}
	slices.SortFunc(list, func(a, b protocol.Server) int { return strings.Compare(a.ID, b.ID) })
	return list
}

func equal(a, b []protocol.Server) bool { return len(a) == 0 && len(b) == 0 || reflect.DeepEqual(a, b) }

// TestDeltas checks the package's invariant on random lists.
func TestDeltas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second, third := drawList(t), drawList(t), drawList(t)
		kept := slices.Clone(first)
		one, two := Diff(first, second), Diff(second, third)
		if got := Apply(first, &one); !equal(got, second) {
			t.Fatalf("applying delta %v gives %v", one, got)
		}
		composed := Compose(one, two)
		if got := Apply(first, &composed); !equal(got, third) {
			t.Fatalf("deltas %v and %v compose to %v, whose application gives %v", one, two, composed, got)
		}
		if none := Diff(first, first); !none.Empty() {
			t.Fatalf("the delta from a list to itself is %v, want an empty one", none)
		}
		if !equal(first, kept) {
			t.Fatal("Diff or Apply modified its argument")
		}
	})
}

// TestApplyUpdate checks updates by whole lists, by deltas, and by deltas that are based on another list.
func TestApplyUpdate(t *testing.T) {
	held := &protocol.ServerList{Version: 4, Source: "a", Servers: []protocol.Server{{ID: "1"}, {ID: "2"}}}
	whole := &protocol.ServerList{Version: 1, Source: "b"}
	if next, err := ApplyUpdate(held, whole); err != nil || next != whole {
		t.Fatal(next, err)
	}
	update := &protocol.ServerList{
		Version: 6, Source: "a", Base: 4, Servers: []protocol.Server{{ID: "3"}}, Removed: []string{"1"},
	}
	next, err := ApplyUpdate(held, update)
	if err != nil || next.Version != 6 || next.Base != 0 || len(next.Servers) != 2 || next.Servers[1].ID != "3" {
		t.Fatal(next, err)
	}
	for _, other := range []*protocol.ServerList{nil, {Version: 4, Source: "b"}, {Version: 5, Source: "a"}} {
		if _, err := ApplyUpdate(other, update); err != ErrGap {
			t.Fatal(other, err)
		}
	}
}

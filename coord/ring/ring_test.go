package ring

import (
	"fmt"
	"math"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// machines returns a ring of count names, front-0 and up.
func machines(count int) *Ring {
	names := make([]string, 0, count)
	for i := range count {
		names = append(names, fmt.Sprintf("front-%d", i))
	}
	return New(names...)
}

func TestOwners(t *testing.T) {
	const keys = 20_000

	Convey("Given a ring", t, func() {
		r := machines(20)

		Convey("keys spread evenly", func() {
			counts := make(map[string]int)
			for i := range keys {
				counts[r.Owner(fmt.Sprint("key-", i))]++
			}
			So(len(counts), ShouldEqual, 20)
			mean := float64(keys) / 20
			for _, count := range counts {
				So(math.Abs(float64(count)-mean), ShouldBeLessThan, 6*math.Sqrt(mean))
			}
		})

		Convey("a name that leaves moves only its own keys, to the next owner", func() {
			smaller := r.Without("front-7")
			moved := 0
			for i := range keys {
				key := fmt.Sprint("key-", i)
				owners := r.Owners(key, 2)
				want := owners[0]
				if want == "front-7" {
					want = owners[1]
					moved++
				}
				if smaller.Owner(key) != want {
					t.Fatal(key)
				}
			}
			So(moved, ShouldBeGreaterThan, 0)
		})

		Convey("names that are not accepted are left out", func() {
			owners := r.Owners("key", 3)
			within := r.OwnersFunc("key", 2, func(name string) bool { return name != owners[0] })
			So(within, ShouldResemble, owners[1:])
		})

		Convey("an empty ring returns no owners and no neighbours", func() {
			empty := New()
			So(empty.Owner("key"), ShouldBeEmpty)
			So(empty.Owners("key", 3), ShouldBeEmpty)
			So(empty.Successors("a", 3), ShouldBeEmpty)
			So(empty.Predecessors("a", 3), ShouldBeEmpty)
		})
	})
}

// TestProperties checks invariants for random names, keys and counts.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,4}`), 1, 12, rapid.ID[string]).Draw(t, "names")
		count := rapid.IntRange(0, 15).Draw(t, "count")
		key := rapid.String().Draw(t, "key")
		r := New(names...)
		if !slices.Equal(r.Names(), New(append(slices.Clone(names), names...)...).Names()) {
			t.Fatal("the ring depends on the order or repetition of names")
		}
		owners := r.Owners(key, count)
		if len(owners) != min(count, len(names)) {
			t.Fatalf("%d owners, want the smaller of count and the number of names", len(owners))
		}
		if count > 0 && owners[0] != r.Owner(key) {
			t.Fatal("Owner is not the first of Owners")
		}
		all := r.Owners(key, len(names))
		if !slices.Equal(all[:len(owners)], owners) {
			t.Fatal("Owners with a smaller count isn't a prefix of the whole order")
		}
		for _, name := range names {
			checkAdjacency(t, r, name, count)
		}
		extended := r.With("another").Without("another")
		if !slices.Equal(extended.Names(), r.Names()) {
			t.Fatal("With followed by Without changes the names")
		}
	})
}

// checkAdjacency checks the number of successors of a name, and that the name is among the predecessors of each
// successor.
func checkAdjacency(t *rapid.T, r *Ring, name string, count int) {
	successors := r.Successors(name, count)
	if len(successors) != min(count, r.Len()-1) || slices.Contains(successors, name) {
		t.Fatalf("wrong number of successors of %s, or the name itself among them: %v", name, successors)
	}
	for _, successor := range successors {
		if !slices.Contains(r.Predecessors(successor, count), name) {
			t.Fatalf("%s is a successor of %s, which isn't among its predecessors", successor, name)
		}
	}
}

func ExampleRing_Owners() {
	r := New("gateway-1", "gateway-2", "gateway-3")
	fmt.Println(r.Owner("service-a") == r.Owners("service-a", 2)[0])
	fmt.Println(len(r.Owners("service-a", 2)))
	// Output:
	// true
	// 2
}

func BenchmarkOwner(b *testing.B) {
	r := machines(400)
	b.ReportAllocs()
	for b.Loop() {
		r.Owner("some key")
	}
}

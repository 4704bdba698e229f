package queuedtokens

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var account = Account{Tenant: "t", Route: "r"}

func constantLimit(tokens int64) LimitFunc {
	return func(Account) (int64, bool) { return tokens, true }
}

func claim(number uint64, used int64, wants ...Want) Claim {
	return Claim{Number: number, Entries: []Entry{{Account: account, Used: used, Wants: wants}}}
}

func TestCounter(t *testing.T) {
	Convey("Room is given up to the bound, by each batch job's own size", t, func() {
		c := NewCounter[string]()
		c.Apply("a", claim(1, 60, Want{"large", 50}, Want{"small", 40}))
		c.Apply("b", claim(1, 0))
		number, verdicts := c.Decide("a", constantLimit(100))
		So(number, ShouldEqual, 1)
		So(verdicts, ShouldResemble, []Decision{{"large", false}, {"small", true}})
		So(c.Total(account), ShouldEqual, 100)
		So(c.Pending(), ShouldBeEmpty)
		_, verdicts = c.Decide("a", constantLimit(100))
		So(verdicts, ShouldBeEmpty)
	})
	Convey("A newer claim stands in place of an older one, and an older one that comes late counts for nothing", t, func() {
		c := NewCounter[string]()
		c.Apply("a", claim(2, 30))
		c.Apply("a", claim(1, 90))
		So(c.Total(account), ShouldEqual, 30)
		c.Apply("a", Claim{Number: 3})
		So(c.Total(account), ShouldEqual, 0)
		So(c.Accounts(), ShouldBeEmpty)
	})
	Convey("What a store used stands when its process starts again, until that claims anew", t, func() {
		c := NewCounter[string]()
		c.Apply("a", claim(7, 30, Want{"x", 5}))
		c.Restarted("a")
		So(c.Total(account), ShouldEqual, 30)
		So(c.Pending(), ShouldBeEmpty)
		So(c.HasClaimed("a"), ShouldBeFalse) // it has to tell what it uses, though that may be nothing
		c.Apply("a", claim(1, 10))
		So(c.HasClaimed("a"), ShouldBeTrue)
		So(c.Total(account), ShouldEqual, 10)
	})
	Convey("No bound gives room to all, an unknown one to nobody", t, func() {
		c := NewCounter[string]()
		c.Apply("a", claim(1, 0, Want{"x", 1 << 40}))
		_, verdicts := c.Decide("a", func(Account) (int64, bool) { return 0, false })
		So(verdicts, ShouldBeEmpty)
		So(c.Pending(), ShouldResemble, []string{"a"})
		_, verdicts = c.Decide("a", constantLimit(0))
		So(verdicts, ShouldResemble, []Decision{{"x", true}})
	})
	Convey("A lowered bound takes nothing back, and gives nothing more until enough is done", t, func() {
		c := NewCounter[string]()
		c.Apply("a", claim(1, 80, Want{"x", 10}))
		_, verdicts := c.Decide("a", constantLimit(50))
		So(verdicts, ShouldResemble, []Decision{{"x", false}})
		c.Apply("a", claim(2, 40, Want{"x", 10}))
		_, verdicts = c.Decide("a", constantLimit(50))
		So(verdicts, ShouldResemble, []Decision{{"x", true}})
	})
}

// TestRandomClaims has stores claim, finish, lose claims and answers at random: what they use together stays within the bound.
func TestRandomClaims(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bound = 1000
		c := NewCounter[int]()
		type store struct {
			number uint64
			used   int64
			level  int64 // as the store may count on it
		}
		stores := make([]store, rapid.IntRange(1, 5).Draw(t, "stores"))
		for i := range stores {
			c.Apply(i, Claim{Number: 1})
			stores[i].number = 1
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(stores)-1).Draw(t, "store")
			s := &stores[i]
			done := min(s.used, rapid.Int64Range(0, 400).Draw(t, "done"))
			s.used -= done
			want := rapid.Int64Range(1, 1200).Draw(t, "want")
			s.number++
			s.level = s.used
			sent := Claim{Number: s.number, Entries: []Entry{{Account: account, Used: s.used, Wants: []Want{{"x", want}}}}}
			if rapid.Bool().Draw(t, "lost") {
				continue
			}
			c.Apply(i, sent)
			_, verdicts := c.Decide(i, constantLimit(bound))
			if verdicts[0].Fits && rapid.Bool().Draw(t, "answered") {
				s.used += want
			}
			sum := int64(0)
			for j := range stores {
				sum += stores[j].used
			}
			if sum > bound || c.Total(account) > bound || c.Total(account) < sum {
				t.Fatalf("%d wait, %d are counted, bound %d", sum, c.Total(account), bound)
			}
		}
	})
}

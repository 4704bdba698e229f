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
	Convey("Batch jobs are accepted up to the limit, each by its own size", t, func() {
		c := NewCounter[string]()
		c.Apply("a", claim(1, 60, Want{"large", 50}, Want{"small", 40}))
		c.Apply("b", claim(1, 0))
		number, decisions := c.Decide("a", constantLimit(100))
		So(number, ShouldEqual, 1)
		So(decisions, ShouldResemble, []Decision{{"large", false}, {"small", true}})
		So(c.Total(account), ShouldEqual, 100)
		So(c.Pending(), ShouldBeEmpty)
		_, decisions = c.Decide("a", constantLimit(100))
		So(decisions, ShouldBeEmpty)
	})
	Convey("A newer claim replaces an older one, and an older claim that arrives late is ignored", t, func() {
		c := NewCounter[string]()
		c.Apply("a", claim(2, 30))
		c.Apply("a", claim(1, 90))
		So(c.Total(account), ShouldEqual, 30)
		c.Apply("a", Claim{Number: 3})
		So(c.Total(account), ShouldEqual, 0)
		So(c.Accounts(), ShouldBeEmpty)
	})
	Convey("A store's usage still counts after a restart of its process, until it claims again", t, func() {
		c := NewCounter[string]()
		c.Apply("a", claim(7, 30, Want{"x", 5}))
		c.Restarted("a")
		So(c.Total(account), ShouldEqual, 30)
		So(c.Pending(), ShouldBeEmpty)
		So(c.HasClaimed("a"), ShouldBeFalse) // it has to be asked, as it may use nothing
		c.Apply("a", claim(1, 10))
		So(c.HasClaimed("a"), ShouldBeTrue)
		So(c.Total(account), ShouldEqual, 10)
	})
	Convey("Without a limit all batch jobs are accepted, and with an unknown limit none", t, func() {
		c := NewCounter[string]()
		c.Apply("a", claim(1, 0, Want{"x", 1 << 40}))
		_, decisions := c.Decide("a", func(Account) (int64, bool) { return 0, false })
		So(decisions, ShouldBeEmpty)
		So(c.Pending(), ShouldResemble, []string{"a"})
		_, decisions = c.Decide("a", constantLimit(0))
		So(decisions, ShouldResemble, []Decision{{"x", true}})
	})
	Convey("A lowered limit revokes nothing, and batch jobs are accepted only once they fit again", t, func() {
		c := NewCounter[string]()
		c.Apply("a", claim(1, 80, Want{"x", 10}))
		_, decisions := c.Decide("a", constantLimit(50))
		So(decisions, ShouldResemble, []Decision{{"x", false}})
		c.Apply("a", claim(2, 40, Want{"x", 10}))
		_, decisions = c.Decide("a", constantLimit(50))
		So(decisions, ShouldResemble, []Decision{{"x", true}})
	})
}

// TestRandomClaims checks that the total over all stores stays within the limit while stores claim and finish
// tokens, and claims and answers are lost, at random.
func TestRandomClaims(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000
		c := NewCounter[int]()
		type store struct {
			number uint64
			used   int64
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
			sent := claim(s.number, s.used, Want{"x", want})
			if rapid.Bool().Draw(t, "lost") {
				continue
			}
			c.Apply(i, sent)
			_, decisions := c.Decide(i, constantLimit(limit))
			if decisions[0].Fits && rapid.Bool().Draw(t, "answered") {
				s.used += want
			}
			sum := int64(0)
			for j := range stores {
				sum += stores[j].used
			}
			if sum > limit || c.Total(account) > limit || c.Total(account) < sum {
				t.Fatalf("%d tokens are queued, %d counted, limit %d", sum, c.Total(account), limit)
			}
		}
	})
}

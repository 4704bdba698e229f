package policy

import (
	"testing"
	"time"
)

// What a gateway's earlier incarnation has drawn stays drawn after a restart: the balance has what has filled since,
// not the burst a second time. The hard limit has what has filled since that incarnation was last known to live.
// Without a stored balance there is the burst again.
func TestRestoredBalanceIsNotGivenTwice(t *testing.T) {
	s := settings()
	s.Plans = []Plan{{Name: "farm", Rate: 2, Burst: 20, ValueMultiplier: 1, OverQuotaCost: 1},
		{Name: "utility", Rate: 2, Burst: 20, ValueMultiplier: 1, HardLimitRate: 4, HardLimitBurst: 40, HardLimitSlack: 4}}
	spend := func(f *fakeHost, from RequestID) (in int) {
		for id := from; id < from+60; id++ {
			f.ask(id, func(r *Request) { r.Customer = 7 })
			if f.ended[id] == "" {
				in++
			}
		}
		return in
	}
	begin := func() *fakeHost {
		f := &fakeHost{t: t, now: time.Hour, ended: map[RequestID]string{}}
		f.gateway, _ = New(s, 1)
		f.gateway.Attach(f)
		return f
	}
	open := func(f *fakeHost) {
		var list []ServerInfo
		for id := range 30 {
			list = append(list, ServerInfo{ID: ServerID(id + 1), State: Ready, Weight: 1})
		}
		f.gateway.Servers(f.now, ListFull, list)
	}
	f := begin()
	open(f)
	if in := spend(f, 1); in < 20 || in > 32 { // some go by chance beyond it
		t.Fatalf("%d admitted of a burst of 20", in)
	}
	kept := f.gateway.QuotaBalances(f.now, 0)
	if len(kept) != 1 || kept[0].Balance > 0 || kept[0].Balance < -12 || kept[0].Customer != 7 {
		t.Fatalf("kept: %+v", kept)
	}
	if later := f.gateway.QuotaBalances(f.now+time.Minute, f.now+1); len(later) != 0 {
		t.Errorf("nothing was asked for since, and kept are %+v", later)
	}
	kept[0].Balance, kept[0].Age, kept[0].Downtime = 0, 3*time.Second, 2*time.Second
	next := begin()
	next.gateway.RestoreBalances(next.now, kept)
	open(next)
	if in := spend(next, 100); in < 6 || in > 12 {
		t.Errorf("%d admitted three seconds after all was drawn, at two a second", in)
	}
	utility := kept[0].Key | 1<<24
	next = begin()
	next.gateway.RestoreBalances(next.now, []QuotaBalance{{Key: utility, Balance: 20, Downtime: 2 * time.Second}})
	if got := next.gateway.customersByKey[utility].hardLimit.Tokens; got != 8 {
		t.Errorf("%v left under the hard limit two seconds after the former incarnation's end, at four a second", got)
	}
	blank := begin()
	open(blank)
	if in := spend(blank, 100); in < 20 {
		t.Errorf("%d admitted by one that recalls nothing", in)
	}
	odd := begin()
	odd.gateway.RestoreBalances(odd.now, []QuotaBalance{{Key: 255 << 24}, {Key: 5}, {Key: kept[0].Key, Balance: 1e300,
		Age: time.Hour}})
	if got := odd.gateway.customersByKey[kept[0].Key].balance; got != 20 {
		t.Errorf("%v left of a burst of 20", got)
	}
}

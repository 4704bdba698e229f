package policy

import (
	"testing"
	"time"
)

// Units drawn by a gateway's earlier incarnation stay drawn after a restart: the restored balance is the stored one
// plus what has refilled since, and not a second burst. The hard limit has what has filled since the earlier
// incarnation was last known to be alive. Without a stored balance, a customer gets its burst again.
func TestRestoredBalanceIsNotGivenTwice(t *testing.T) {
	s := settings()
	s.Plans = []Plan{{Name: "farm", Rate: 2, Burst: 20, ValueMultiplier: 1, OverQuotaCost: 1},
		{Name: "utility", Rate: 2, Burst: 20, ValueMultiplier: 1, HardLimitRate: 4, HardLimitBurst: 40, HardLimitSlack: 4}}
	drawAll := func(f *fakeHost, from RequestID) (admitted int) {
		for id := from; id < from+60; id++ {
			f.ask(id, func(r *Request) { r.Customer = 7 })
			if f.ended[id] == "" {
				admitted++
			}
		}
		return admitted
	}
	newHost := func() *fakeHost {
		f := &fakeHost{t: t, now: time.Hour, ended: map[RequestID]string{}}
		f.gateway, _ = New(s, 1)
		f.gateway.Attach(f)
		return f
	}
	listServers := func(f *fakeHost) {
		var list []ServerInfo
		for id := range 30 {
			list = append(list, ServerInfo{ID: ServerID(id + 1), State: Ready, Weight: 1})
		}
		f.gateway.Servers(f.now, ListFull, list)
	}
	f := newHost()
	listServers(f)
	if admitted := drawAll(f, 1); admitted < 20 || admitted > 32 { // some requests beyond the burst are admitted by chance
		t.Fatalf("%d admitted with a burst of 20", admitted)
	}
	stored := f.gateway.QuotaBalances(f.now, 0)
	if len(stored) != 1 || stored[0].Balance > 0 || stored[0].Balance < -12 || stored[0].Customer != 7 {
		t.Fatalf("balances to store: %+v, want one of customer 7 between -12 and 0", stored)
	}
	if later := f.gateway.QuotaBalances(f.now+time.Minute, f.now+1); len(later) != 0 {
		t.Errorf("balances to store: %+v, want none, as no request came since", later)
	}
	stored[0].Balance, stored[0].Age, stored[0].Downtime = 0, 3*time.Second, 2*time.Second
	next := newHost()
	next.gateway.RestoreBalances(next.now, stored)
	listServers(next)
	if admitted := drawAll(next, 100); admitted < 6 || admitted > 12 {
		t.Errorf("%d admitted 3 s after the balance was 0, at 2 units a second; want 6 to 12", admitted)
	}
	utility := stored[0].Key | 1<<24
	next = newHost()
	next.gateway.RestoreBalances(next.now, []QuotaBalance{{Key: utility, Balance: 20, Downtime: 2 * time.Second}})
	if got := next.gateway.customersByKey[utility].hardLimit.Tokens; got != 8 {
		t.Errorf("the hard limit has %v units 2 s after the earlier incarnation's end, at 4 a second; want 8", got)
	}
	unrestored := newHost()
	listServers(unrestored)
	if admitted := drawAll(unrestored, 100); admitted < 20 {
		t.Errorf("%d admitted without a restored balance, want the burst of 20", admitted)
	}
	invalid := newHost()
	invalid.gateway.RestoreBalances(invalid.now, []QuotaBalance{{Key: 255 << 24}, {Key: 5}, {Key: stored[0].Key, Balance: 1e300,
		Age: time.Hour}})
	if got := invalid.gateway.customersByKey[stored[0].Key].balance; got != 20 {
		t.Errorf("restored balance %v, want it limited to the burst of 20", got)
	}
}

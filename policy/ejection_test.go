package policy

import (
	"testing"
)

// A server rejects one plan and serves the others. Requests of that plan avoid the server, and it still gets the
// others.
func TestServerThatRejectsOnePlan(t *testing.T) {
	s := settings()
	s.Hedging = false
	s.Plans = append(s.Plans, Plan{Name: "other", Rate: 1000, Burst: 1000, ValueMultiplier: 1})
	f := start(t, s, 4)
	rejected, served := 0, 0
	for i := 1; i <= 800; i++ {
		from := len(f.sent)
		f.ask(RequestID(i), func(r *Request) { r.Plan = i % 2 })
		f.runUntil(f.now + 10*ms)
		for j := from; j < len(f.sent); j++ {
			x := f.sent[j]
			switch {
			case x.to == 2 && i%2 == 1:
				rejected++
				f.done(x, Rejected, 5*ms)
			case f.ended[x.id] == "":
				if x.to == 2 {
					served++
				}
				f.done(x, Served, 10*ms)
			}
		}
	}
	if rejected > 10 || served < 25 || len(f.log) > 0 {
		t.Fatalf("%d of the rejected plan sent there, want at most 10; %d of the other served there, want at least 25; log %v", rejected, served, f.log)
	}
}

func TestFastFailingServerIsEjected(t *testing.T) {
	f := start(t, settings(), 6)
	bad := 0
	for i := 1; i <= 600; i++ {
		from := len(f.sent)
		f.ask(RequestID(i), nil)
		f.runUntil(f.now + 10*ms)
		for j := from; j < len(f.sent); j++ {
			if x := f.sent[j]; x.to == 2 {
				bad++
				f.done(x, Errored, ms)
			} else if f.ended[x.id] == "" {
				f.done(x, Served, 30*ms)
			}
		}
	}
	if bad > 25 {
		t.Fatalf("%d of 600 sent to a server that fails all at once, want at most 25", bad)
	}
}

// When most servers fail, ejection is ignored and requests are still sent to all servers.
func TestEjectionIsIgnoredWhenMostServersFail(t *testing.T) {
	f := start(t, settings(), 4)
	used := map[ServerID]bool{}
	for i := 1; i <= 200; i++ {
		from := len(f.sent)
		f.ask(RequestID(i), nil)
		f.runUntil(f.now + 20*ms)
		for j := from; j < len(f.sent); j++ {
			if i > 100 {
				used[f.sent[j].to] = true
			}
			f.done(f.sent[j], Errored, ms)
		}
	}
	if len(used) < 3 {
		t.Fatalf("servers used: %v, want at least 3", used)
	}
}

// A server that has served for a long time and then fails while it is still listed is ejected after a few failed
// connections.
func TestServerThatDiesIsEjected(t *testing.T) {
	f := start(t, settings(), 6)
	bad := 0
	for i := 1; i <= 1500; i++ {
		from := len(f.sent)
		f.ask(RequestID(i), nil)
		f.runUntil(f.now + 10*ms)
		for j := from; j < len(f.sent); j++ {
			if x := f.sent[j]; x.to == 2 && i > 1200 {
				bad++
				f.done(x, NotConnected, ms)
			} else if f.ended[x.id] == "" {
				f.done(x, Served, 30*ms)
			}
		}
	}
	if bad < 1 || bad > 8 {
		t.Fatalf("%d of 300 sent to a server that refuses connections, want 1 to 8", bad)
	}
}

package policy

import (
	"slices"
	"testing"
	"time"
)

// Hundreds of gateways, a third of them just restarted, have one cold server or a fleet of which 40% is cold at once.
// The attempts that all gateways send a cold server in any window stay within its multiple, and the other requests
// are served.
func TestColdServersOverManyGateways(t *testing.T) {
	for name, cold := range map[string]int{"one": 1, "two fifths": 16} {
		s := settings()
		s.Peers, s.PeerMessageRate, s.Hedging = true, 40, false
		s.Plans[0].Rate, s.Plans[0].Burst = 1e4, 1e4
		f := newFleet(t, s, 300, 40)
		id, begin := RequestID(0), f.now
		ask := func() {
			for k := 0; k < 4; k++ { // 800 a second, 20 a server
				id++
				n := f.nodes[f.rng.IntN(300)]
				n.gateway.Request(f.now, Request{ID: id, Customer: CustomerID(id % 900), Deadline: f.now + 2*time.Second,
					Units: 1, SetSize: 300})
			}
		}
		f.run(4*time.Second, ask)
		startedAt := f.now
		for i, n := range f.nodes {
			if i%3 == 0 {
				n.restart(s, 40)
			}
			var list []ServerInfo
			for k := 1; k <= cold; k++ {
				list = append(list, ServerInfo{ID: ServerID(k), StartedAt: startedAt})
			}
			n.gateway.Servers(f.now, ListChanges, list)
		}
		f.run(5*time.Second, ask)
		var sends []Time
		served := 0
		for _, n := range f.nodes {
			for _, x := range n.sends {
				if x.to == 1 && x.at >= startedAt {
					sends = append(sends, x.at)
				}
				if x.at >= startedAt {
					served++
				}
			}
		}
		slices.Sort(sends)
		for i, at := range sends {
			from := i
			for from > 0 && at-sends[from-1] < s.SlowStartWindow {
				from--
			}
			warmth := s.InitialWarmth + (1-s.InitialWarmth)*(at-startedAt).Seconds()/s.WarmupTime.Seconds()
			// a warm server can do 25 a second
			if most := s.SlowStartMultiple * warmth * 25 * s.SlowStartWindow.Seconds(); float64(i-from+1) > most {
				t.Fatalf("%s: %d sent in a window that ends %v after the server's start, want at most %.0f", name, i-from+1, at-startedAt, most)
			}
		}
		if len(sends) == 0 || served < 3600 {
			t.Errorf("%s: %d sent to the cold server, want some; %d of 4000 requests sent in 5 s, want at least 3600 (%v)", name, len(sends), served, f.now-begin)
		}
	}
}

// Eighty gateways each send a starting server a few attempts, and each sees at most one answer of it in seconds. If the
// answers take longer than the server's warmth explains, all gateways send it fewer attempts; otherwise it gets as many
// as it can do.
func TestSlowColdServersGetFewerAttempts(t *testing.T) {
	sent := func(slow time.Duration) (n int) {
		f, s := wideFleet(t)
		s.Plans[0].Rate, s.Plans[0].Burst = 1e4, 1e4
		s.InitialWarmth, s.WarmupTime, s.SlowStartWindow, s.SlowStartMultiple = 0.18, 16*time.Second, time.Second, 4
		var list []ServerInfo
		f.latencies = map[ServerID]time.Duration{}
		for k := 1; k <= 60; k++ {
			list = append(list, ServerInfo{ID: ServerID(k), Weight: 1})
			if k <= 30 {
				list[k-1].StartedAt, f.latencies[ServerID(k)] = f.now-4*time.Second, slow
			}
		}
		for _, n := range f.nodes {
			me := n.gateway.cfg.Self
			n.gateway.cfg = s
			n.gateway.cfg.Self, n.gateway.cfg.Gateways = me, 80
			n.gateway.Servers(f.now, ListFull, list)
		}
		id := RequestID(0)
		f.run(10*time.Second, func() {
			for k := f.rng.IntN(5); k > 0; k-- {
				id++
				n := f.nodes[f.rng.IntN(80)]
				n.gateway.Request(f.now, Request{ID: id, Customer: CustomerID(id), Deadline: f.now + 2*time.Second, Units: 1,
					SetSize: 1, FirstGateway: n.number})
			}
		})
		for _, node := range f.nodes {
			for _, s := range node.sends {
				if s.to <= 30 && s.at > f.now-5*time.Second {
					n++
				}
			}
		}
		return n
	}
	quick, slow := sent(0), sent(420*ms)
	t.Logf("%d sent to quick cold servers, %d to slow ones", quick, slow)
	if quick < 150 || float64(slow) > 0.75*float64(quick) {
		t.Fatalf("%d sent to quick cold servers, want at least 150; %d to slow ones, want at most 3/4 of that", quick, slow)
	}
}

// A cold server gets no more than its budget in any window, even if there is no other server.
func TestColdServerKeepsItsBudget(t *testing.T) {
	f := start(t, settings(), 2)
	id := RequestID(0)
	step := func() {
		id++
		from := len(f.sent)
		f.ask(id, nil)
		f.runUntil(f.now + 10*ms)
		for _, x := range f.sent[from:] {
			f.done(x, Served, 10*ms)
		}
	}
	for i := 0; i < 300; i++ { // 50 a second each
		step()
	}
	f.gateway.Servers(f.now, ListChanges, []ServerInfo{{ID: 9, StartedAt: f.now}})
	startedAt, cold := f.now, 0
	for i := 0; i < 100; i++ {
		step()
	}
	for _, x := range f.sent {
		if x.to == 9 && x.at < startedAt+f.gateway.cfg.SlowStartWindow {
			cold++
		}
	}
	// The budget is at most 2 x (0.2 to 0.28) x 50 a second x 1 s.
	if cold > 28 {
		t.Fatalf("%d sent to a cold server in its first window, want at most 28", cold)
	}
	f.gateway.Servers(f.now, ListFull, []ServerInfo{{ID: 9, StartedAt: f.now}})
	f.runUntil(f.now + f.gateway.cfg.SlowStartWindow + ms)
	before := len(f.sent)
	for i := 0; i < 200; i++ {
		id++
		f.ask(id, nil)
	}
	if n := len(f.sent) - before; n < 1 || n > 28 {
		t.Fatalf("%d sent at once to the only server, a cold one; want 1 to 28", n)
	}
}

// All servers restart at once after an outage in which nothing was answered. Each is sent as much as its warmth allows,
// relative to what it did before, and not just the little that a gateway without any measurements would send.
func TestAllServersColdAfterAnOutage(t *testing.T) {
	s := settings()
	s.Hedging, s.Gateways = false, 4
	f := start(t, s, 4)
	id := RequestID(0)
	step := func(answered bool) (sent int) {
		before := len(f.sent)
		id++
		f.ask(id, func(r *Request) { r.SetSize = 4 })
		f.runUntil(f.now + 50*ms)
		for _, x := range f.sent[before:] {
			if answered {
				f.done(x, Served, 50*ms)
			}
		}
		return len(f.sent) - before
	}
	for range 200 { // ten seconds, five a second at each server
		step(true)
	}
	f.runUntil(f.now + 20*time.Second)
	var list []ServerInfo
	for i := 1; i <= 4; i++ {
		list = append(list, ServerInfo{ID: ServerID(i), Weight: 1, StartedAt: f.now})
	}
	f.gateway.Servers(f.now, ListFull, list)
	sent := 0
	for range 100 {
		sent += step(true)
	}
	if sent < 20 || sent > 4*5*10 {
		t.Errorf("%d sent to four cold servers in 5 s, want 20 to 200", sent)
	}
}

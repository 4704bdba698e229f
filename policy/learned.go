package policy

import (
	"math"
	"slices"
	"time"
)

// What is learnt from answers: lengths, widths, paces. Nothing here chooses.

// learnLength takes in how long an answered attempt took.
func (g *Gateway) learnLength(r *request, took time.Duration) {
	memory, length := 10*paceMemory*g.shortAim(), min(took, g.set.Classes[r.Class].Deadline).Seconds()
	g.bySize[r.Class].add(fading(g.now-g.typical[r.Class].at, memory), r.Units, length)
	g.typical[r.Class].add(g.now, memory, length)
}

// reported takes a server's load report in.
func (s *server) reported(g *Gateway, report []float32) {
	if i := slices.Index(g.set.Reports, "latency_ms"); i >= 0 && i < len(report) && report[i] > 0 && report[i] <= 1e6 {
		s.service, s.serviceAt = float64(report[i])/1000, g.now
	}
}

// service gives how long an attempt takes at its server without waiting, in seconds, by the server's word of the requests
// that it had lately; 0: not known.
func (g *Gateway) service(a *attempt) float64 {
	if g.now-a.server.serviceAt > widthOver || g.usual.n < 1 {
		return 0
	}
	return a.server.service * g.expect(a.req) * g.usual.n / g.usual.sum
}

// learnWidth follows how many attempts a server was seen at work on at once: what was done in a time, by the servers' own
// word of how long it takes, over that time. A shared slow-down leaves it as it is.
func (g *Gateway) learnWidth() {
	g.worked.fade(g.now, widthOver)
	busy := float64(g.set.Gateways) * g.worked.sum / widthOver.Seconds()
	g.width = math.Max(provenFades*g.width, busy/math.Max(1, float64(g.present())))
}

// proven follows what a warm server answers here in a window of Fall. What was done before an outage can be
// done after it, so it falls slowly, and it is followed whether or not a server is cold.
func (g *Gateway) proven() {
	var warm mean
	for _, s := range g.servers {
		if s.listed && g.warmth(s) >= 1 {
			s.done.fade(g.now, 2*g.set.Fall)
			warm.sum, warm.n = warm.sum+s.done.sum, warm.n+1
		}
	}
	g.perServer = math.Max(provenFades*g.perServer, warm.sum/math.Max(warm.n, 1)/2)
	if g.allCold = warm.n == 0; g.allCold && g.coldTook.n > 0 { // all are cold: each does one attempt after another, at the least
		one := g.set.Fall.Seconds() * g.coldTook.n / math.Max(g.coldTook.sum, 1e-4)
		g.perServer = math.Max(g.perServer, one/float64(g.set.Gateways))
	}
}

// does gives what a server was seen to answer here in a window of Fall, of late, while no listed one is warm and tells what
// warm ones do. What it could do it still can: one that is cold only gets warmer.
func (s *server) does(g *Gateway) float64 {
	if !g.allCold {
		return 0
	}
	s.done.fade(g.now, 2*g.set.Fall)
	return s.done.sum / 2
}

// trueUp settles, once and where the account is kept, what a request draws by its answer in place of the
// guess. An answer's word that can't be is left, and the ceiling goes by the guess.
func (g *Gateway) trueUp(r *request, units float64) {
	more := units - r.Units
	if r.settled || r.over || !(units > 0 && units <= math.Max(g.set.LargestUnits, r.Units)) || more == 0 {
		return
	}
	if r.settled = true; r.home < 0 {
		r.cust.account -= more
		r.cust.drew(more)
		g.news(r.cust, g.near...)
	} else if r.home == g.set.Me {
		g.settleAtHome(g.set.Me, r.cust.name, more)
	} else {
		g.host.Tell(r.home, packSettle(r.cust.name, more))
	}
}

// settleAtHome takes in that a request of a customer at home here drew more, or less, than was guessed.
func (g *Gateway) settleAtHome(from int, name uint64, more float64) {
	_, first, set := ofName(name)
	if c := g.record(atHome(name, g.set.Me)); c != nil && g.serves(from, &customer{first: first, set: set}) {
		c.account -= math.Max(-g.set.LargestUnits, math.Min(g.set.LargestUnits, more))
	}
}

// need gives how long a request's attempt should take now, by its units and the pace of all servers.
func (g *Gateway) need(r *request) time.Duration {
	return time.Duration(g.expect(r) * math.Max(1, g.pace) * float64(time.Second))
}

// meanPace gives the pace of all listed servers together, of late.
func (g *Gateway) meanPace() float64 {
	all := mean{}
	for _, s := range g.servers {
		if s.listed {
			s.pace.fade(g.now, paceMemory*g.shortAim())
			all.sum, all.n = all.sum+s.pace.sum, all.n+s.pace.n
		}
	}
	return all.above()
}

// noteEnd counts an attempt that may have run, and whether that was for nothing. One that found no connection costs its
// request little: it goes elsewhere, and a room that is lost makes room so for those that are left.
func (g *Gateway) noteEnd(s *server, e Ending) {
	if e == Served || e == Errored || e == ConnectionLost {
		s.spoilt.count(g.now, 4*paceMemory*g.shortAim(), e != Served)
	}
}

// leastFails is what failures fade to until they are forgotten.
const leastFails = 0.25

// expect gives how long a request's attempts typically take, in seconds, by its class and units.
func (g *Gateway) expect(r *request) float64 {
	if f := &g.bySize[r.Class]; f.n >= 5 {
		return math.Max(f.of(r.Units), 1e-4)
	}
	return g.typicalOf(r.Class)
}

func (g *Gateway) typicalOf(class int) float64 {
	t := &g.typical[class]
	return math.Max(t.sum/math.Max(t.n, 1e-9), 1e-4)
}

package policy

import (
	"testing"
	"time"
)

// The way to all servers is cut for a moment: what is out then is lost, its connections silent, and nothing says so. All of the
// room is taken by it. Once servers answer again the gateway finds out with one attempt at each, long before the deadlines
// of what was lost, and a jam in which nothing comes gets no more than these.
func TestCapacityIsFoundAgainAfterASilence(t *testing.T) {
	s := settings()
	s.Hedging, s.Cancel = false, false
	s.Classes[0].LatencyTarget, s.Classes[0].Deadline = time.Second, 20*time.Second
	f := start(t, s, 4)
	id, silent, done, lost := RequestID(0), false, map[send]bool{}, map[send]bool{}
	run := func(d time.Duration) (sent, served int) {
		before := len(f.sent)
		for end := f.now + d; f.now < end; {
			for range 3 {
				id++
				f.ask(id, func(r *Request) { r.Deadline = f.now + 19*time.Second })
			}
			f.runUntil(f.now + 10*ms)
			for _, x := range f.sent {
				if lost[x] = lost[x] || silent && !done[x]; !done[x] && !lost[x] && f.now-x.at >= 50*ms {
					done[x] = true
					served++
					f.done(x, Served, f.now-x.at)
				}
			}
		}
		return len(f.sent) - before, served
	}
	_, before := run(2 * time.Second)
	silent = true
	run(300 * ms)
	if sent, _ := run(1700 * ms); sent > 4*4 {
		t.Errorf("%d sent into a silence of four servers", sent)
	}
	silent = false
	run(2 * time.Second)
	if _, after := run(2 * time.Second); after < before*3/4 {
		t.Errorf("%d served in 2 s before the silence, %d in the third and fourth second after it", before, after)
	}
}

package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// fakeReports implements LoadReports with loads by server id. Each server has 8 slots, and all reports are from
// the time at.
type fakeReports struct {
	inFlight map[string]int
	failing  map[string]bool
	prefill  map[string]time.Duration
	at       time.Duration
}

func (f *fakeReports) ReportedLoad(id string) (ReportedLoad, bool) {
	inFlight, known := f.inFlight[id]
	return ReportedLoad{InFlight: inFlight, Slots: 8, At: f.at}, known
}

func (f *fakeReports) PrefillBacklog(id string) time.Duration { return f.prefill[id] }

func (f *fakeReports) IsFailing(id string) bool { return f.failing[id] }

// startAll starts all tasks that can start now, and counts them in total, by server and by batch job.
func startAll(p *Planner, now time.Duration) (started int, byServer map[string]int, byJob map[string]int) {
	byServer, byJob = map[string]int{}, map[string]int{}
	for {
		a, ok := p.Next(now)
		if !ok {
			return started, byServer, byJob
		}
		started++
		byServer[a.Server.ID]++
		byJob[a.Job]++
	}
}

func TestReportedLoads(t *testing.T) {
	const far, soon = 20 * time.Second, 2100 * time.Millisecond
	Convey("Items take free slots, and leave some to live requests: fewer, the less slack they have", t, func() {
		for due, want := range map[time.Duration]int{far: 1, soon: 1, soon - time.Second: 3, time.Millisecond: 1} {
			reports := &fakeReports{inFlight: map[string]int{"i-0": 5, "i-1": 8, "i-2": 8, "i-3": 12}, at: time.Second}
			p := New("z0", 1, reports)
			p.SetServers(listServers(4, 8))
			p.servers["i-0"].limit = 8
			p.Add("job", time.Second+due, []string{"b"}, tasks("job", 30))
			started, on, _ := startAll(p, time.Second+1)
			So(started, ShouldEqual, want)
			So(on["i-0"], ShouldEqual, want)
		}
	})
	Convey("Items sent to a server since its report count as using slots", t, func() {
		reports := &fakeReports{inFlight: map[string]int{"i-0": 0}, at: time.Second}
		p := New("z0", 1, reports)
		p.SetServers(listServers(1, 8))
		p.servers["i-0"].limit = 8
		p.Add("job", far, []string{"b"}, tasks("job", 30))
		started, _, _ := startAll(p, 2*time.Second)
		So(started, ShouldEqual, 6)
		reports.at, reports.inFlight["i-0"] = 3*time.Second, 4
		started, _, _ = startAll(p, 3*time.Second)
		So(started, ShouldEqual, 2)
	})
	Convey("A store takes its share of the free slots, and the next share one interval later", t, func() {
		reports := &fakeReports{inFlight: map[string]int{"i-0": 0, "i-1": 0}, at: time.Second}
		p := New("z0", 1, reports)
		p.SetStoreCount(4)
		p.SetServers(listServers(2, 8))
		p.servers["i-0"].limit, p.servers["i-1"].limit = 8, 8
		p.Add("job", far, []string{"b"}, tasks("job", 30))
		started, _, _ := startAll(p, 2*time.Second)
		So(started, ShouldEqual, 3) // a quarter of the 6 usable slots of each of two servers
		reports.at = 2*time.Second + budgetInterval
		started, _, _ = startAll(p, 2*time.Second+budgetInterval-1)
		So(started, ShouldEqual, 0)
		started, _, _ = startAll(p, 2*time.Second+budgetInterval)
		So(started, ShouldEqual, 3)
	})
	Convey("A server with a prefill backlog gets no items until that is done", t, func() {
		reports := &fakeReports{
			inFlight: map[string]int{"i-0": 0}, at: time.Second,
			prefill: map[string]time.Duration{"i-0": maxPrefillBacklog + 1},
		}
		p := New("z0", 1, reports)
		p.SetServers(listServers(1, 8))
		p.Add("job", far, []string{"b"}, tasks("job", 1))
		started, _, _ := startAll(p, time.Second+1)
		So(started, ShouldEqual, 0)
		reports.prefill["i-0"] = maxPrefillBacklog
		started, _, _ = startAll(p, time.Second+1)
		So(started, ShouldEqual, 1)
	})
	Convey("A server that fails the zone's requests gets no items", t, func() {
		reports := &fakeReports{
			inFlight: map[string]int{"i-0": 0, "i-1": 0}, at: time.Second, failing: map[string]bool{"i-0": true},
		}
		p := New("z0", 1, reports)
		p.SetServers(listServers(2, 8))
		p.Add("job", far, []string{"b"}, tasks("job", 30))
		_, on, _ := startAll(p, time.Second+1)
		So(on["i-0"], ShouldEqual, 0)
		So(on["i-1"], ShouldBeGreaterThan, 0)
	})
	Convey("Items that will miss their deadline start after the others", t, func() {
		p := New("z0", 1, nil)
		p.SetServers(listServers(1, 8))
		p.Add("past", time.Second, []string{"b"}, tasks("past", 2))
		p.Add("open", far, []string{"b"}, tasks("open", 1))
		_, _, jobs := startAll(p, 2*time.Second)
		So(jobs, ShouldResemble, map[string]int{"open": 1, "past": 1})
	})
	Convey("A server that fails items is ejected for longer each time, until it succeeds", t, func() {
		p := New("z0", 1, nil)
		p.SetServers(listServers(1, 8))
		for range 20 {
			p.Failed("i-0", 0)
		}
		So(p.servers["i-0"].hasCapacity(maxEjection-1), ShouldBeFalse)
		So(p.servers["i-0"].hasCapacity(maxEjection), ShouldBeTrue)
		p.Succeeded("i-0")
		p.Failed("i-0", maxEjection)
		So(p.servers["i-0"].hasCapacity(maxEjection+minEjection), ShouldBeTrue)
	})
}

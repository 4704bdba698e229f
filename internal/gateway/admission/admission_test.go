package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/configuration"
)

const (
	backendName = "models"
	second      = time.Second
	millisecond = time.Millisecond
)

// testSnapshot has routes of the given ranks before one backend, and a tenant of each priority.
func testSnapshot(ranks, tenantPriorities []int) *configuration.Snapshot {
	document := configuration.Document{Backends: []configuration.Backend{{Name: backendName}}}
	for i, rank := range ranks {
		document.Routes = append(document.Routes, configuration.Route{
			Name: string(rune('a' + i)), Hostname: "host", PathPrefix: "/" + string(rune('a'+i)) + "/",
			Type: configuration.RouteStreaming, TargetLatencyMs: 200, TimeoutMs: 5000, Priority: rank, Backend: backendName,
		})
	}
	document.Routes = append(document.Routes, configuration.Route{Name: "lots", Type: configuration.RouteBatch, Backend: backendName})
	for i, priority := range tenantPriorities {
		document.Tenants = append(document.Tenants, configuration.Tenant{Name: string(rune('p' + i)), Priority: priority})
	}
	return configuration.NewSnapshot(document, 1)
}

func newAdmission(snapshot *configuration.Snapshot, seed uint64) *Admission {
	a := New(Options{Random: rand.New(rand.NewPCG(seed, 1))})
	a.Configure(snapshot)
	return a
}

// play sends perSecond requests a second of each route, all with a latency, and returns the shares rejected.
func play(a *Admission, snapshot *configuration.Snapshot, from, seconds int, perSecond []int, latency []time.Duration, utilization float64) []float64 {
	rejected, offered := make([]float64, len(perSecond)), make([]float64, len(perSecond))
	for s := from; s < from+seconds; s++ {
		for i, n := range perSecond {
			route := &snapshot.Routes[i]
			for k := range n {
				now := time.Duration(s)*second + time.Duration(k)*second/time.Duration(n)
				a.ObserveLoad(now, backendName, utilization, false)
				offered[i]++
				if a.Admit(now, route, &snapshot.Tenants[0], Request{PromptTokens: 500, OutputTokens: 100}).Admit {
					a.Sent(now, route.Name)
					a.Attempt(now, route.Name, latency[i])
				} else {
					rejected[i]++
				}
			}
		}
	}
	for i := range rejected {
		rejected[i] /= offered[i]
	}
	return rejected
}

func TestSheddingFollowsScore(t *testing.T) {
	snapshot := testSnapshot([]int{0, 0}, []int{0})
	rates := []int{50, 5}
	late := []time.Duration{150 * millisecond, 900 * millisecond}

	Convey("The group with the top score is shed first, the next an interval later, and calm restores both", t, func() {
		a := newAdmission(snapshot, 1)
		So(play(a, snapshot, 0, 2, rates, []time.Duration{50 * millisecond, 50 * millisecond}, 0.9), ShouldResemble, []float64{0, 0})
		play(a, snapshot, 2, 2, rates, late, 0.9)
		report := a.Report()
		So(report[1].Score, ShouldBeGreaterThan, report[0].Score)
		So(report[1].Shed[0], ShouldBeGreaterThan, 0)
		So(report[0].Shed[0], ShouldEqual, 0)
		play(a, snapshot, 4, 1, rates, late, 0.9)
		So(a.Report()[0].Shed[0], ShouldBeGreaterThan, 0)
		play(a, snapshot, 5, 6, rates, late, 0.9)
		for _, group := range a.Report() {
			So(group.Shed[0], ShouldBeLessThanOrEqualTo, maxShed+roundingSlack)
		}
		calm := []time.Duration{50 * millisecond, 50 * millisecond}
		play(a, snapshot, 12, 16, rates, calm, 0.9)
		So(play(a, snapshot, 28, 2, rates, calm, 0.9), ShouldResemble, []float64{0, 0})
	})

	Convey("Nothing is shed while little of the capacity is in use, or while that isn't known", t, func() {
		a := newAdmission(snapshot, 1)
		So(play(a, snapshot, 0, 10, rates, late, 0.45), ShouldResemble, []float64{0, 0})
		unknown := newAdmission(snapshot, 1)
		for s := range 10 {
			now := time.Duration(s) * second
			for range 30 {
				So(unknown.Admit(now, &snapshot.Routes[0], nil, Request{}).Admit, ShouldBeTrue)
				unknown.Attempt(now, snapshot.Routes[0].Name, second)
			}
		}
	})

	Convey("A rejection has a Retry-After, and who comes back is admitted while the share is small", t, func() {
		a := newAdmission(snapshot, 1)
		play(a, snapshot, 2, 2, rates, late, 0.9)
		route := &snapshot.Routes[1]
		rejected := 0
		for range 200 {
			now := 4*second - millisecond
			first := a.Admit(now, route, nil, Request{PromptTokens: 500, Remaining: 4 * second})
			if !first.Admit {
				rejected++
				So(first.RetryAfter, ShouldBeBetweenOrEqual, minRetryAfter, maxRetryAfter)
				So(first.Reason, ShouldEqual, ReasonOverload)
				So(a.Admit(now, route, nil, Request{PromptTokens: 500, Remaining: 3 * second}).Admit, ShouldBeTrue)
			}
		}
		So(rejected, ShouldBeGreaterThan, 0)
		So(a.retryAfter(600*millisecond), ShouldBeLessThan, 200*millisecond)
	})

	Convey("After a process pause a gateway starts over", t, func() {
		a := newAdmission(snapshot, 1)
		play(a, snapshot, 0, 6, rates, late, 0.9)
		a.ObserveLoad(60*second, backendName, 0.9, true)
		So(a.Admit(60*second, &snapshot.Routes[1], nil, Request{}).Admit, ShouldBeTrue)
		So(a.Report()[1].Shed[0], ShouldEqual, 0)
	})
}

func TestLessUrgentShedFirst(t *testing.T) {
	Convey("However high its score, a more urgent group isn't shed before the less urgent ones are", t, func() {
		snapshot := testSnapshot([]int{0, 2}, []int{0, 1})
		a := newAdmission(snapshot, 1)
		random := rand.New(rand.NewPCG(3, 3))
		for s := range 12 {
			for k := range 100 {
				now := time.Duration(s)*second + time.Duration(k)*10*millisecond
				a.ObserveLoad(now, backendName, 0.9, true)
				route, tenant := &snapshot.Routes[random.IntN(2)], &snapshot.Tenants[random.IntN(2)]
				latency := 300 * millisecond
				if route.Priority == 0 {
					latency = 3 * second // a score many times as high
				}
				if a.Admit(now, route, tenant, Request{}).Admit {
					a.Sent(now, route.Name)
					a.Attempt(now, route.Name, latency)
				}
			}
			urgent, other := a.groups["a"].effectiveShed, a.groups["b"].effectiveShed
			So(urgent[0], ShouldBeLessThanOrEqualTo, other[0]+roundingSlack)
			So(urgent[1], ShouldBeLessThanOrEqualTo, other[1]+roundingSlack)
			So(max(urgent[0], other[0]), ShouldBeLessThanOrEqualTo, min(urgent[1], other[1])+roundingSlack)
		}
		So(a.groups["b"].effectiveShed[1], ShouldAlmostEqual, maxShed)
	})
}

// longTailed draws a latency with a mean and the tail of a log-normal spread.
func longTailed(random *rand.Rand, mean time.Duration, spread float64) time.Duration {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return time.Duration(float64(mean) * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2))
}

func TestTopScoreDoesNotLandByChance(t *testing.T) {
	Convey("With three requests a second and long tails the group that costs more has the top score", t, func() {
		snapshot := testSnapshot([]int{0, 0}, []int{0})
		smoothed, raw, judged := 0, 0, 0
		for seed := range uint64(40) {
			a := newAdmission(snapshot, seed)
			random := rand.New(rand.NewPCG(seed, 7))
			for s := range 40 {
				var sum, count [2]float64
				for i, mean := range []time.Duration{80 * millisecond, 240 * millisecond} {
					for k := range 3 {
						now := time.Duration(s)*second + time.Duration(k)*300*millisecond
						latency := longTailed(random, mean, 1.4)
						a.Sent(now, snapshot.Routes[i].Name)
						a.Attempt(now, snapshot.Routes[i].Name, latency)
						sum[i], count[i] = sum[i]+latency.Seconds(), count[i]+1
					}
				}
				a.ObserveLoad(time.Duration(s+1)*second, backendName, 0.9, false)
				if s < 8 {
					continue
				}
				judged++
				if a.groups["b"].score > a.groups["a"].score {
					smoothed++
				}
				if sum[1]/count[1] > sum[0]/count[0] {
					raw++
				}
			}
		}
		t.Logf("the top score was right in %.3f of the intervals, from single intervals in %.3f",
			float64(smoothed)/float64(judged), float64(raw)/float64(judged))
		So(float64(smoothed)/float64(judged), ShouldBeGreaterThan, 0.97)
		So(float64(raw)/float64(judged), ShouldBeLessThan, 0.92)
	})

	Convey("If one in sixteen is late without overload, a loaded gateway hardly ever sheds", t, func() {
		snapshot := testSnapshot([]int{0}, []int{0})
		cuts, intervals := 0, 0
		for seed := range uint64(20) {
			a := newAdmission(snapshot, seed)
			random := rand.New(rand.NewPCG(seed, 9))
			for k := range 3000 {
				now := time.Duration(k) * 100 * millisecond
				latency := 50 * millisecond
				if random.IntN(16) == 0 {
					latency = second
				}
				before := len(a.actions)
				a.ObserveLoad(now, backendName, 0.9, false)
				a.Attempt(now, "a", latency)
				a.Sent(now, "a")
				a.countOffered("a")
				if len(a.actions) > before {
					cuts++
				}
			}
			intervals += 300
		}
		t.Logf("%d cuts in %d intervals", cuts, intervals)
		So(float64(cuts)/float64(intervals), ShouldBeLessThan, 0.02)
	})
}

// countOffered counts an offered request without drawing a decision.
func (a *Admission) countOffered(route string) { a.groups[route].countOffered(0) }

func TestReport(t *testing.T) {
	Convey("The percentile is that of the latencies, to a bucket", t, func() {
		snapshot := testSnapshot([]int{0}, []int{0})
		a := newAdmission(snapshot, 1)
		for k := range 100 {
			a.Attempt(0, "a", time.Duration(k+1)*millisecond)
		}
		So(a.Report()[0].Percentile90, ShouldBeBetweenOrEqual, 90*millisecond, 110*millisecond)
	})
}

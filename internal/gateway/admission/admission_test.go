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

// testSnapshot returns a configuration with a route of each given rank, a batch route and a tenant of each given
// priority. All routes have the same backend.
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

// sendRequests offers perSecond requests a second to each route, for the given seconds. Each admitted request has the
// latency of its route. It returns the share of each route's requests that was rejected.
func sendRequests(a *Admission, snapshot *configuration.Snapshot, from, seconds int, perSecond []int, latency []time.Duration, utilization float64) []float64 {
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

	Convey("The group with the top score is shed first, the next an interval later, and both are restored without overload", t, func() {
		a := newAdmission(snapshot, 1)
		So(sendRequests(a, snapshot, 0, 2, rates, []time.Duration{50 * millisecond, 50 * millisecond}, 0.9), ShouldResemble, []float64{0, 0})
		sendRequests(a, snapshot, 2, 2, rates, late, 0.9)
		report := a.Report()
		So(report[1].Score, ShouldBeGreaterThan, report[0].Score)
		So(report[1].Shed[0], ShouldBeGreaterThan, 0)
		So(report[0].Shed[0], ShouldEqual, 0)
		sendRequests(a, snapshot, 4, 1, rates, late, 0.9)
		So(a.Report()[0].Shed[0], ShouldBeGreaterThan, 0)
		sendRequests(a, snapshot, 5, 6, rates, late, 0.9)
		for _, group := range a.Report() {
			So(group.Shed[0], ShouldBeLessThanOrEqualTo, maxShed+roundingTolerance)
		}
		fast := []time.Duration{50 * millisecond, 50 * millisecond}
		sendRequests(a, snapshot, 12, 16, rates, fast, 0.9)
		So(sendRequests(a, snapshot, 28, 2, rates, fast, 0.9), ShouldResemble, []float64{0, 0})
	})

	Convey("Nothing is shed while the utilization is low or unknown", t, func() {
		a := newAdmission(snapshot, 1)
		So(sendRequests(a, snapshot, 0, 10, rates, late, 0.45), ShouldResemble, []float64{0, 0})
		unknown := newAdmission(snapshot, 1)
		for s := range 10 {
			now := time.Duration(s) * second
			for range 30 {
				So(unknown.Admit(now, &snapshot.Routes[0], nil, Request{}).Admit, ShouldBeTrue)
				unknown.Attempt(now, snapshot.Routes[0].Name, second)
			}
		}
	})

	Convey("A rejection has a Retry-After, and a retry is admitted while the shed share is small", t, func() {
		a := newAdmission(snapshot, 1)
		sendRequests(a, snapshot, 2, 2, rates, late, 0.9)
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

	Convey("After a process pause nothing is shed", t, func() {
		a := newAdmission(snapshot, 1)
		sendRequests(a, snapshot, 0, 6, rates, late, 0.9)
		a.ObserveLoad(60*second, backendName, 0.9, true)
		So(a.Admit(60*second, &snapshot.Routes[1], nil, Request{}).Admit, ShouldBeTrue)
		So(a.Report()[1].Shed[0], ShouldEqual, 0)
	})
}

func TestLessUrgentShedFirst(t *testing.T) {
	Convey("A more urgent group isn't shed before the less urgent ones, however high its score", t, func() {
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
			moreUrgent, lessUrgent := a.groups["a"].effectiveShed, a.groups["b"].effectiveShed
			So(moreUrgent[0], ShouldBeLessThanOrEqualTo, lessUrgent[0]+roundingTolerance)
			So(moreUrgent[1], ShouldBeLessThanOrEqualTo, lessUrgent[1]+roundingTolerance)
			So(max(moreUrgent[0], lessUrgent[0]), ShouldBeLessThanOrEqualTo, min(moreUrgent[1], lessUrgent[1])+roundingTolerance)
		}
		So(a.groups["b"].effectiveShed[1], ShouldAlmostEqual, maxShed)
	})
}

// logNormal draws a latency from a log-normal distribution with the given mean and coefficient of variation.
func logNormal(random *rand.Rand, mean time.Duration, spread float64) time.Duration {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return time.Duration(float64(mean) * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2))
}

// TestNoisyLatencies checks that few requests with scattered latencies don't mislead the mechanism: the smoothed counts
// rank the groups correctly where single intervals don't, and chance alone causes few shedding steps.
func TestNoisyLatencies(t *testing.T) {
	Convey("With three requests a second and long-tailed latencies the group with the longer ones has the top score", t, func() {
		snapshot := testSnapshot([]int{0, 0}, []int{0})
		smoothed, raw, intervals := 0, 0, 0
		for seed := range uint64(40) {
			a := newAdmission(snapshot, seed)
			random := rand.New(rand.NewPCG(seed, 7))
			for s := range 40 {
				var sum, count [2]float64
				for i, mean := range []time.Duration{80 * millisecond, 240 * millisecond} {
					for k := range 3 {
						now := time.Duration(s)*second + time.Duration(k)*300*millisecond
						latency := logNormal(random, mean, 1.4)
						a.Sent(now, snapshot.Routes[i].Name)
						a.Attempt(now, snapshot.Routes[i].Name, latency)
						sum[i], count[i] = sum[i]+latency.Seconds(), count[i]+1
					}
				}
				a.ObserveLoad(time.Duration(s+1)*second, backendName, 0.9, false)
				if s < 8 {
					continue
				}
				intervals++
				if a.groups["b"].score > a.groups["a"].score {
					smoothed++
				}
				if sum[1]/count[1] > sum[0]/count[0] {
					raw++
				}
			}
		}
		t.Logf("the slower group had the top score in %.3f of the intervals; by the mean latency of single intervals it was slower in %.3f",
			float64(smoothed)/float64(intervals), float64(raw)/float64(intervals))
		So(float64(smoothed)/float64(intervals), ShouldBeGreaterThan, 0.97)
		So(float64(raw)/float64(intervals), ShouldBeLessThan, 0.92)
	})

	Convey("If one attempt in sixteen is late without overload, a gateway with loaded servers rarely takes a shedding step", t, func() {
		snapshot := testSnapshot([]int{0}, []int{0})
		steps, intervals := 0, 0
		for seed := range uint64(20) {
			a := newAdmission(snapshot, seed)
			random := rand.New(rand.NewPCG(seed, 9))
			for k := range 3000 {
				now := time.Duration(k) * 100 * millisecond
				latency := 50 * millisecond
				if random.IntN(16) == 0 {
					latency = second
				}
				before := len(a.steps)
				a.ObserveLoad(now, backendName, 0.9, false)
				a.Attempt(now, "a", latency)
				a.Sent(now, "a")
				a.countOffered("a")
				if len(a.steps) > before {
					steps++
				}
			}
			intervals += 300
		}
		t.Logf("%d shedding steps in %d intervals", steps, intervals)
		So(float64(steps)/float64(intervals), ShouldBeLessThan, 0.02)
	})
}

// countOffered counts an offered request without deciding about it.
func (a *Admission) countOffered(route string) { a.groups[route].countOffered(0) }

func TestReport(t *testing.T) {
	Convey("The percentile is that of the latencies, rounded up to a bucket", t, func() {
		snapshot := testSnapshot([]int{0}, []int{0})
		a := newAdmission(snapshot, 1)
		for k := range 100 {
			a.Attempt(0, "a", time.Duration(k+1)*millisecond)
		}
		So(a.Report()[0].Percentile90, ShouldBeBetweenOrEqual, 90*millisecond, 110*millisecond)
	})
}

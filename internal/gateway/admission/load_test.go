package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// queueModel is a server that processes requests in the order of arrival, at a fixed rate of tokens per second.
type queueModel struct {
	perSecond float64
	freeAt    time.Duration // when its queue is empty
}

// serve adds a request that arrives now, with its cost in tokens, and returns its latency.
func (q *queueModel) serve(now time.Duration, cost float64) time.Duration {
	q.freeAt = max(q.freeAt, now) + time.Duration(cost/q.perSecond*float64(second))
	return q.freeAt - now
}

// outcome counts requests by how they ended.
type outcome struct{ offered, served, inTime float64 }

func (o *outcome) share() float64 { return o.served / max(1, o.offered) }

// simulatedLoad is the state of a simulation of gateways, each with its own Admission, in front of one server.
// retries holds the clients' retries of rejected requests until they arrive.
type simulatedLoad struct {
	random    *rand.Rand
	gateways  []*Admission
	queue     queueModel
	admission bool
	retries   []arrival
}

// arrival is a request that arrives at a time, for the first time or as a retry after a rejection; first is the time
// of the request's first arrival. The cost is in tokens.
type arrival struct {
	at, first     time.Duration
	route, tenant int
	cost          float64
}

// meanCost is the mean cost of a request in tokens.
const meanCost = 1000.0

func TestRandomLoads(t *testing.T) {
	snapshot := testSnapshot([]int{0, 0, 2}, []int{0, 1})
	const (
		gateways = 8
		deadline = 4 * second
		target   = 200 * millisecond
	)
	// run simulates one second for each element of loads, the offered load as a share of the server's capacity. It
	// counts the requests by route, by tenant priority, the largest tenth, and all.
	run := func(seed uint64, loads []float64, admit bool) (routes [3]outcome, tenants [2]outcome, largest, all outcome) {
		simulation := &simulatedLoad{random: rand.New(rand.NewPCG(seed, 5)), queue: queueModel{perSecond: 150 * meanCost}, admission: admit}
		for i := range gateways {
			simulation.gateways = append(simulation.gateways, newAdmission(snapshot, seed*100+uint64(i)))
		}
		now := time.Duration(0)
		for now < time.Duration(len(loads))*second {
			rate := 150 * loads[int(now/second)]
			now += time.Duration(simulation.random.ExpFloat64() / rate * float64(second))
			next := arrival{at: now, first: now, cost: min(8, simulation.random.ExpFloat64()) * meanCost}
			if pick := simulation.random.Float64(); pick < 0.2 {
				next.route = 1
			} else if pick < 0.4 {
				next.route = 2
			}
			next.tenant = simulation.random.IntN(2)
			due := []arrival{next}
			for i := 0; i < len(simulation.retries); i++ {
				if simulation.retries[i].at <= now {
					due = append(due, simulation.retries[i])
					simulation.retries = append(simulation.retries[:i], simulation.retries[i+1:]...)
					i--
				}
			}
			for _, request := range due {
				gateway := simulation.gateways[simulation.random.IntN(gateways)]
				route := &snapshot.Routes[request.route]
				backlog := max(0, simulation.queue.freeAt-now)
				gateway.ObserveLoad(now, backendName, min(1, backlog.Seconds()/0.1), false)
				decision := Decision{Admit: true}
				if admit {
					decision = gateway.Admit(now, route, &snapshot.Tenants[request.tenant],
						Request{PromptTokens: int(request.cost), Remaining: deadline - (now - request.first)})
				}
				isRetry := request.first != request.at
				counts := []*outcome{&routes[request.route], &tenants[request.tenant], &all}
				if request.cost > 2.3*meanCost {
					counts = append(counts, &largest)
				}
				for _, count := range counts {
					if !isRetry {
						count.offered++
					}
				}
				if !decision.Admit {
					if !isRetry {
						request.at = now + decision.RetryAfter
						simulation.retries = append(simulation.retries, request)
					}
					continue
				}
				latency := simulation.queue.serve(now, request.cost)
				gateway.Sent(now, route.Name)
				gateway.Attempt(now, route.Name, latency)
				for _, count := range counts {
					count.served++
					if now+latency-request.first <= target {
						count.inTime++
					}
				}
			}
		}
		return routes, tenants, largest, all
	}

	Convey("Under random loads no route, tenant priority or size is starved, and more urgent requests aren't served less often", t, func() {
		random := rand.New(rand.NewPCG(11, 11))
		for seed := range uint64(12) {
			loads := make([]float64, 40)
			level := 0.5
			for i := range loads {
				if i%6 == 0 {
					level = 0.4 + 1.4*random.Float64()
				}
				loads[i] = level
			}
			routes, tenants, largest, all := run(seed, loads, true)
			for _, route := range routes {
				So(route.share(), ShouldBeGreaterThan, all.share()/2)
			}
			So(routes[0].share(), ShouldBeGreaterThan, routes[2].share()-0.03)
			So(routes[1].share(), ShouldBeGreaterThan, routes[2].share()-0.03)
			So(tenants[0].share(), ShouldBeGreaterThan, tenants[1].share()-0.03)
			So(largest.share(), ShouldBeGreaterThan, 0.8*all.share())
		}
	})

	Convey("Without overload nothing is shed, and in a burst more responses are in time than without admission", t, func() {
		steady := make([]float64, 40)
		burst := make([]float64, 40)
		for i := range steady {
			steady[i], burst[i] = 0.7, 0.7
			if i >= 10 && i < 16 {
				burst[i] = 1.35
			}
		}
		_, _, _, atSteadyLoad := run(3, steady, true)
		So(atSteadyLoad.share(), ShouldEqual, 1)
		_, _, _, with := run(3, burst, true)
		_, _, _, without := run(3, burst, false)
		t.Logf("burst of 1.35 times the capacity for 6 s: in time %.3f with admission, %.3f without; served %.3f",
			with.inTime/with.offered, without.inTime/without.offered, with.share())
		So(with.inTime/with.offered, ShouldBeGreaterThan, without.inTime/without.offered)
	})
}

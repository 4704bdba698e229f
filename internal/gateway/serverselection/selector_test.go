package serverselection

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/gateway/endpoints"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/policy"
)

func newServers(n int, zones ...string) []*endpoints.Server {
	list := make([]*endpoints.Server, n)
	for i := range list {
		list[i] = &endpoints.Server{Number: policy.ServerID(i + 1), Hash: xxhash.Sum64String(fmt.Sprintf("i-%d", i)),
			Server: protocol.Server{ID: fmt.Sprintf("i-%d", i), Zone: zones[i%len(zones)], Slots: 24}}
	}
	return list
}

func TestParseWorkload(t *testing.T) {
	Convey("Headers are parsed, and malformed parts are ignored", t, func() {
		d := ParseWorkload("5c1e07a2:800,91bd3f06:410,e4402b7d:250", "1460,80")
		So(d.Prefixes, ShouldHaveLength, 3)
		So(d.Prefixes[2].Tokens, ShouldEqual, 1460)
		So(d.OutputTokens, ShouldEqual, 80)
		other := ParseWorkload("5c1e07a2:800,91bd3f07:410", "x")
		So(other.Prefixes[0], ShouldResemble, d.Prefixes[0])
		So(other.Prefixes[1].Hash, ShouldNotEqual, d.Prefixes[1].Hash)
		So(other.PromptTokens, ShouldEqual, 1210)
		So(ParseWorkload("", "").Prefixes, ShouldBeEmpty)
		So(ParseWorkload("a,b:c,::", "-5,99999999999999999999").PromptTokens, ShouldEqual, 0)
	})
}

func TestAffinity(t *testing.T) {
	Convey("Requests with the same long prefix go to a few servers, whichever gateway they come to", t, func() {
		random := rand.New(rand.NewPCG(1, 1))
		list, now := newServers(18, "a", "b", "c"), time.Unix(100, 0)
		var gateways []*Selector
		for i := range 11 {
			gateways = append(gateways, New([]string{"a", "b", "c"}[i%3], uint64(i)))
		}
		used := map[int]map[string]bool{}
		for range 2000 {
			prompt := random.IntN(48)
			workload := ParseWorkload(fmt.Sprintf("%x:13300,%x:3720", prompt, random.Uint32()), "17020,40")
			reservation := gateways[random.IntN(len(gateways))].Pick(now, &Criteria{Workload: workload, Servers: list})
			if used[prompt] == nil {
				used[prompt] = map[string]bool{}
			}
			used[prompt][reservation.Server.ID] = true
			now = now.Add(40 * time.Millisecond)
			reservation.FirstResponse(now)
			reservation.Done(now, Succeeded)
		}
		all := 0
		for _, servers := range used {
			all += len(servers)
		}
		So(float64(all)/float64(len(used)), ShouldBeLessThan, 2.5)
	})
	Convey("Under load they are spread over more servers", t, func() {
		list, now, s := newServers(6, "a"), time.Unix(100, 0), New("a", 1)
		servers := map[string]int{}
		for i := range 30 {
			workload := ParseWorkload(fmt.Sprintf("7:13300,%x:3720", i), "17020,40")
			servers[s.Pick(now, &Criteria{Workload: workload, Servers: list}).Server.ID]++
		}
		So(len(servers), ShouldBeGreaterThan, 3)
	})
}

func TestEjection(t *testing.T) {
	Convey("A server that rejects or fails requests gets fewer, and gets its share again after it recovers", t, func() {
		for _, result := range []Result{Rejected, Unreachable, Broken, Failed} {
			list, now, s := newServers(3, "a"), time.Unix(100, 0), New("a", 1)
			count := func() (bad int) {
				for range 300 {
					reservation := s.Pick(now, &Criteria{Servers: list})
					now = now.Add(10 * time.Millisecond)
					if reservation.Server == list[0] {
						bad++
						reservation.Done(now, result)
						continue
					}
					reservation.FirstResponse(now)
					reservation.Done(now, Succeeded)
				}
				return bad
			}
			So(count(), ShouldBeLessThan, 30)
			now = now.Add(failureResetAfter + maxEjection)
			reservation := s.Pick(now, &Criteria{Servers: list[:1]})
			reservation.Done(now, Succeeded)
			result = Succeeded
			So(count(), ShouldBeGreaterThan, 60)
		}
	})
	Convey("A stalled server isn't selected while requests wait there", t, func() {
		list, now, s := newServers(2, "a"), time.Unix(100, 0), New("a", 1)
		var stalled []*Reservation
		for range 20 {
			if reservation := s.Pick(now, &Criteria{Servers: list}); reservation.Server == list[0] {
				stalled = append(stalled, reservation)
			} else {
				reservation.FirstResponse(now)
				reservation.Done(now, Succeeded)
			}
		}
		So(stalled, ShouldNotBeEmpty)
		now = now.Add(stallTimeout + time.Millisecond)
		for range 20 {
			reservation := s.Pick(now, &Criteria{Servers: list})
			So(reservation.Server, ShouldEqual, list[1])
			reservation.FirstResponse(now)
			reservation.Done(now, Succeeded)
		}
		stalled[0].FirstResponse(now)
		So(s.servers[1].awaitingFirst, ShouldEqual, len(stalled)-1)
	})
	Convey("No excluded or full server is selected, and all reservations are released", t, func() {
		list, now, s := newServers(3, "a", "b"), time.Unix(100, 0), New("a", 1)
		So(s.Pick(now, &Criteria{Servers: list, Exclude: []policy.ServerID{1, 2, 3}}), ShouldBeNil)
		So(s.Pick(now, &Criteria{}), ShouldBeNil)
		var reservations []*Reservation
		for range 6 {
			reservations = append(reservations, s.Pick(now, &Criteria{Servers: list, MaxInFlight: 2, Workload: Workload{PromptTokens: 7}}))
		}
		So(s.Pick(now, &Criteria{Servers: list, MaxInFlight: 2}), ShouldBeNil)
		for _, reservation := range reservations {
			reservation.Done(now, Abandoned)
			reservation.Done(now, Abandoned)
		}
		for _, state := range s.servers {
			So([]int{state.inFlight, state.awaitingFirst, state.pendingTokens}, ShouldResemble, []int{0, 0, 0})
		}
	})
}

func TestReportedPrefill(t *testing.T) {
	Convey("A server with an announced long prompt of another gateway isn't selected until it has read the prompt", t, func() {
		list, now, s := newServers(4, "a"), time.Unix(100, 0), New("a", 1)
		s.Loads().AddPrefill(now, list[2].Hash, 20_000)
		s.Loads().AddPrefill(now, list[2].Hash, 20_000)
		count := func() (selected int) {
			for range 100 {
				reservation := s.Pick(now, &Criteria{Servers: list, Workload: Workload{PromptTokens: 600}})
				if reservation.Server == list[2] {
					selected++
				}
				reservation.FirstResponse(now)
				reservation.Done(now, Succeeded)
			}
			return selected
		}
		So(count(), ShouldEqual, 0)
		now = now.Add(350 * time.Millisecond)
		So(count(), ShouldEqual, 0)
		now = now.Add(60 * time.Millisecond)
		So(count(), ShouldBeGreaterThan, 5)
		for range 100 {
			s.Loads().AddPrefill(now, list[2].Hash, 1<<20)
		}
		now = now.Add(2*time.Second + time.Millisecond)
		So(count(), ShouldBeGreaterThan, 5)
	})
}

// reportLoads has each server of a list report a load.
func reportLoads(s *Selector, now time.Time, list []*endpoints.Server, load func(i int) string) {
	for i, server := range list {
		s.Loads().Observe(now, server.Hash, load(i))
	}
}

func TestReportedLoad(t *testing.T) {
	Convey("Requests avoid servers without a free slot, and are spread over those with free slots", t, func() {
		list, now, s := newServers(18, "a"), time.Unix(100, 0), New("a", 1)
		reportLoads(s, now, list, func(i int) string {
			if i < 6 {
				return "24,3,24"
			}
			return "10,0,24"
		})
		counts := map[int]int{}
		for range 60 {
			server := s.Pick(now, &Criteria{Servers: list, Workload: Workload{PromptTokens: 600}}).Server
			counts[int(server.Number)-1]++
		}
		full, most := 0, 0
		for i, count := range counts {
			if i < 6 {
				full += count
			}
			most = max(most, count)
		}
		So(full, ShouldBeLessThan, 8) // all of a sample may be full
		So(most, ShouldBeLessThan, 11)
	})
	Convey("Requests sent since a server's report count, and its next report replaces them", t, func() {
		list, now, s := newServers(2, "a"), time.Unix(100, 0), New("a", 1)
		reportLoads(s, now, list, func(int) string { return "0,0,2" })
		state := s.state(list[0].Number)
		state.recent.Add(now.Add(time.Millisecond).UnixNano())
		state.recent.Add(now.Add(2 * time.Millisecond).UnixNano())
		So(s.reportedInFlight(now.Add(3*time.Millisecond), list[0], state), ShouldEqual, 2)
		s.Loads().Observe(now.Add(time.Millisecond), list[0].Hash, "1,0,2")
		So(s.reportedInFlight(now.Add(3*time.Millisecond), list[0], state), ShouldEqual, 2)
		s.Loads().Observe(now.Add(4*time.Millisecond), list[0].Hash, "1,0,2")
		So(s.reportedInFlight(now.Add(5*time.Millisecond), list[0], state), ShouldEqual, 1)
	})
	Convey("A long prompt goes to the server that caches its prefix, unless requests wait there", t, func() {
		list, now, s := newServers(18, "a"), time.Unix(100, 0), New("a", 1)
		workload := func(i int) Workload { return ParseWorkload(fmt.Sprintf("7:13300,%x:3720", i), "17020,40") }
		reportLoads(s, now, list, func(int) string { return "10,0,24" })
		prefix, _ := func() (uint64, bool) { d := workload(0); return d.affinityKey() }()
		preferred := rendezvous(prefix, list).primary
		for i := range 8 {
			reservation := s.Pick(now, &Criteria{Servers: list, Workload: workload(i)})
			So(reservation.Server.Number, ShouldEqual, preferred)
			reservation.FirstResponse(now)
			reservation.Done(now, Succeeded)
		}
		now = now.Add(100 * time.Millisecond)
		reportLoads(s, now, list, func(i int) string {
			if list[i].Number == preferred {
				return "24,6,24"
			}
			return "10,0,24"
		})
		So(s.Pick(now, &Criteria{Servers: list, Workload: workload(9)}).Server.Number, ShouldNotEqual, preferred)
	})
	Convey("A server that fails the zone's requests isn't selected by a gateway that has sent it nothing", t, func() {
		list, now, s := newServers(18, "a"), time.Unix(100, 0), New("a", 1)
		reportLoads(s, now, list, func(int) string { return "10,0,24" })
		for range 3 {
			s.Loads().RecordResult(now, list[4].Hash, true)
		}
		for range 100 {
			So(s.Pick(now, &Criteria{Servers: list, Workload: Workload{PromptTokens: 600}}).Server, ShouldNotEqual, list[4])
		}
		now = now.Add(5 * time.Second)
		reportLoads(s, now, list, func(int) string { return "10,0,24" })
		found := false
		for range 200 {
			reservation := s.Pick(now, &Criteria{Servers: list, Workload: Workload{PromptTokens: 600}})
			found = found || reservation.Server == list[4]
			reservation.Done(now, Abandoned)
		}
		So(found, ShouldBeTrue)
	})
	Convey("If all servers fail, they are still selected", t, func() {
		list, now, s := newServers(8, "a"), time.Unix(100, 0), New("a", 1)
		reportLoads(s, now, list, func(int) string { return "10,0,24" })
		for _, server := range list {
			for range 3 {
				s.Loads().RecordResult(now, server.Hash, true)
			}
		}
		So(s.Pick(now, &Criteria{Servers: list, Workload: Workload{PromptTokens: 600}}), ShouldNotBeNil)
	})
	Convey("The utilization is known once half of the servers have reported", t, func() {
		list, now, s := newServers(4, "a"), time.Unix(100, 0), New("a", 1)
		_, _, known := s.Utilization(now, list)
		So(known, ShouldBeFalse)
		reportLoads(s, now, list[:2], func(int) string { return "12,1,24" })
		share, waiting, known := s.Utilization(now, list)
		So(known, ShouldBeTrue)
		So(share, ShouldAlmostEqual, 26.0/48)
		So(waiting, ShouldBeTrue)
	})
}

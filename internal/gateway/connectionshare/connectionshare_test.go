package connectionshare

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
)

const (
	testNode      = "gateway-000"
	testFallAfter = 3 * time.Second
)

var testStart = time.Unix(1000, 0)

// listOf returns a member list with count gateways, of which testNode is the first.
func listOf(count int, complete bool) *protocol.MemberList {
	list := &protocol.MemberList{GatewaysComplete: complete}
	for i := range count {
		list.Gateways = append(list.Gateways, protocol.Process{Node: fmt.Sprintf("gateway-%03d", i)})
	}
	return list
}

func TestDivisor(t *testing.T) {
	type step struct {
		after     time.Duration
		list      *protocol.MemberList
		inContact bool
		want      int // part of 100 connections
	}
	for name, steps := range map[string][]step{
		"few connections until the first complete list": {{0, nil, true, maxPartWhileUnknown}, {0, listOf(2, false), true, maxPartWhileUnknown},
			{0, listOf(50, false), true, 2}, {0, listOf(400, false), true, 1}, {0, listOf(5, true), false, maxPartWhileUnknown},
			{0, listOf(5, true), true, 20}},
		"the number rises at once": {{0, listOf(5, true), true, 20}, {0, listOf(10, false), false, 10}},
		"the number falls after fallAfter": {{0, listOf(10, true), true, 10}, {0, listOf(5, true), true, 10},
			{testFallAfter - 1, listOf(5, true), true, 10}, {1, listOf(5, true), true, 20}},
		"the number falls to the highest one listed in that time": {{0, listOf(20, true), true, 5}, {0, listOf(5, true), true, 5},
			{time.Second, listOf(10, true), true, 5}, {2 * time.Second, listOf(5, true), true, 10}},
		"an incomplete list restarts the time": {{0, listOf(10, true), true, 10}, {0, listOf(5, true), true, 10},
			{2 * time.Second, listOf(1, false), true, 10}, {2 * time.Second, listOf(5, true), true, 10},
			{testFallAfter, listOf(5, true), true, 20}},
		"the number doesn't fall without contact with control": {{0, listOf(10, true), true, 10}, {0, listOf(5, true), true, 10},
			{time.Second, listOf(5, true), false, 10}, {time.Hour, listOf(5, true), false, 10}},
		"more gateways than connections": {{0, listOf(400, true), true, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			share, now := New(testNode, testFallAfter), testStart
			for i, current := range steps {
				now = now.Add(current.after)
				share.Observe(now, current.list, current.inContact)
				if part := share.Part(100); part != current.want {
					t.Fatalf("step %d: Part(100) = %d, want %d", i, part, current.want)
				}
			}
		})
	}
}

// TestPartsSumToLimit checks the distribution of the remainder: with 2 connections for each of 255 gateways, the sum
// would exceed 450.
func TestPartsSumToLimit(t *testing.T) {
	for _, count := range []int{1, 3, 14, 80, 255, 400} {
		sum := 0
		for i := range count {
			share := New(fmt.Sprintf("gateway-%03d", i), testFallAfter)
			share.Observe(testStart, listOf(count, true), true)
			sum += share.Part(450)
		}
		if sum != 450 {
			t.Errorf("the parts of %d gateways sum to %d connections, want 450", count, sum)
		}
	}
}

// TestRandomLists has the gateways of a fleet observe the lists of a control process that restarts now and then, and
// with it its count of the gateways. Gateways restart too, miss lists and lose contact. The sum of the parts must
// never exceed the limit.
func TestRandomLists(t *testing.T) {
	const fleet, divided, limit, step = 40, 450, 500, 200 * time.Millisecond
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 9))
		shares := make([]*Share, fleet)
		for i := range shares {
			shares[i] = New(fmt.Sprintf("gateway-%03d", i), testFallAfter)
		}
		counting := 0 // steps since control started to count the gateways
		for range 400 {
			if random.IntN(60) == 0 {
				counting = 0
			}
			counting++
			// A control process that has just started learns of the gateways gradually.
			list := listOf(min(fleet, 1+counting*4), counting*4 >= fleet)
			sum := 0
			for i, share := range shares {
				if random.IntN(300) == 0 {
					shares[i] = New(share.node, testFallAfter) // the gateway restarts
				}
				inContact := random.IntN(20) > 0
				if random.IntN(20) > 0 { // otherwise this gateway keeps the previous list
					shares[i].Observe(testStart.Add(time.Duration(counting)*step), list, inContact)
				}
				sum += shares[i].Part(divided)
			}
			if sum > limit {
				t.Fatalf("seed %d: the parts sum to %d connections, want at most %d", seed, sum, limit)
			}
		}
	}
}

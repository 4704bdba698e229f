package inflight

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/policy"
)

// instances returns a list of n members.
func instances(n int) (list []Member) {
	for i := range n {
		list = append(list, Member{ID: policy.ServerID(i + 1), Instance: fmt.Sprintf("s-%08x", i*0x9e3779b1)})
	}
	return list
}

// Gateways that list the members in a different order and under different IDs compute the same subsets. Across the
// fleet each member is in about as many subsets as any other.
func TestSubsetsCoverMembersEvenly(t *testing.T) {
	list := instances(60)
	in := map[string]int{}
	for me := range 80 {
		b, other := New(me, 80, 100), New(me, 80, 100)
		b.SetMembers(list)
		renumbered := slices.Clone(list)
		for i := range renumbered {
			renumbered[i].ID += 1000
		}
		rand.New(rand.NewPCG(uint64(me), 1)).Shuffle(60, func(i, j int) {
			renumbered[i], renumbered[j] = renumbered[j], renumbered[i]
		})
		other.SetMembers(renumbered)
		width := 0
		for i, m := range b.members {
			if m.inSubset != other.members[i].inSubset || m.hash != other.members[i].hash {
				t.Fatalf("gateway %d: subsets differ at %d", me, i)
			}
			if m.inSubset {
				width++
				in[list[m.id-1].Instance]++
			}
		}
		assert.InDelta(t, 6.5, width, 1.5, "gateway %d", me)
	}
	assert.Greater(t, len(in), 57, "all members except those with ambiguous hashes must be in a subset")
	for name, n := range in {
		assert.InDelta(t, 9, n, 3, name)
	}
	assert.Nil(t, New(0, 7, 100), "all gateways are neighbors")
}

// Neighbors' reports determine the load of members of the subset; other members get the mean plus a penalty. A report
// expires after a second and is replaced by a later one. Reordered and invalid reports change nothing.
func TestReports(t *testing.T) {
	a, b := New(10, 80, 100), New(11, 80, 100)
	list := instances(60)
	a.SetMembers(list)
	b.SetMembers(list)
	var seen member
	for i, m := range a.members {
		if m.inSubset && b.members[i].inSubset {
			seen = m
		}
	}
	a.SetLocal(map[policy.ServerID]policy.OwnLoad{seen.id: {InFlight: 2}})
	peers, first := a.NextReport(time.Second)
	require.Len(t, peers, 6)
	again, _ := a.NextReport(time.Second + 10*time.Millisecond)
	assert.Empty(t, again, "an unchanged report is not repeated at once")
	again, _ = a.NextReport(time.Second + refreshInterval)
	assert.Len(t, again, 6)
	load := func(now Time) (in, out float64) {
		for i, l := range b.Loads(now) {
			if l.ID == seen.id {
				in = l.Attempts
			} else if !b.members[i].inSubset {
				out = l.Attempts
			}
		}
		return in, out
	}
	now := 5 * time.Second
	b.Receive(now, 10, first)
	in, out := load(now)
	assert.Equal(t, 2.0, in)
	assert.Greater(t, out, outsidePenalty)
	a.SetLocal(nil)
	_, second := a.NextReport(2 * time.Second)
	b.Receive(now, 10, second)
	b.Receive(now, 10, first) // reordered
	in, _ = load(now)
	assert.Zero(t, in)
	for _, invalid := range [][]byte{nil, first[:3], append(slices.Clone(first), 1), {Kind, formatVersion + 1, 9, 9},
		{Kind + 1, formatVersion, 9, 9}, append(slices.Clone(first), make([]byte, 300)...)} {
		b.Receive(now, 10, invalid)
	}
	b.Receive(now, 40, first) // not from a neighbor
	assert.EqualValues(t, 7, b.Dropped())
	in, _ = load(now)
	assert.Zero(t, in)
	b.Receive(now+2*reportTTL, 10, first) // after the last report has expired, it may be from a new process
	in, _ = load(now + 2*reportTTL)
	assert.Equal(t, 2.0, in)
	in, _ = load(now + 4*reportTTL)
	assert.Zero(t, in, "the report has expired")
}

// No datagram makes a tracker panic or leads to a load out of bounds.
func FuzzReceive(f *testing.F) {
	f.Add([]byte{Kind, formatVersion, 0, 1, 0, 3, 4}, 1)
	f.Add([]byte{Kind, formatVersion, 0, 2, 1, 3, 4, 8, 9, 5, 6}, 1)
	f.Fuzz(func(t *testing.T, m []byte, from int) {
		b := New(0, 80, 100)
		b.SetMembers(instances(60))
		b.Receive(time.Second, from, m)
		for _, l := range b.Loads(time.Second) {
			if !(l.Attempts >= 0 && l.Attempts <= maxDatagramSize+failurePenalty) {
				t.Fatalf("%+v of %x", l, m)
			}
		}
	})
}

// The load of a member increases with the fraction of attempts that fail, summed over all neighbors, unless the
// member's hash is ambiguous. Failures expire with their reports, and one failure among many answers has hardly any
// effect.
func TestReportsOfFailures(t *testing.T) {
	list := instances(60)
	trackers := map[int]*Tracker{}
	for me := 10; me < 13; me++ {
		trackers[me] = New(me, 80, 100)
		trackers[me].SetMembers(list)
	}
	b := trackers[11]
	var in, out member
	for _, m := range b.members {
		if m.inSubset && in.id == 0 {
			in = m
		} else if !m.inSubset && !m.ambiguous && out.id == 0 {
			out = m
		}
	}
	load := func(id policy.ServerID) float64 {
		for _, l := range b.Loads(time.Second) {
			if l.ID == id {
				return l.Attempts
			}
		}
		return -1
	}
	calm := load(out.id)
	send := func(from int, own map[policy.ServerID]policy.OwnLoad) {
		trackers[from].SetLocal(own)
		if _, m := trackers[from].NextReport(time.Second); m != nil {
			b.Receive(time.Second, from, m)
		}
	}
	send(10, map[policy.ServerID]policy.OwnLoad{in.id: {InFlight: 1, Failures: 1, Attempts: 1}})
	one := load(in.id)
	assert.InDelta(t, 1+failurePenalty/3, one, 0.1, "one failure counts little")
	send(12, map[policy.ServerID]policy.OwnLoad{in.id: {Failures: 3, Attempts: 4}, out.id: {Failures: 2, Attempts: 2}})
	assert.InDelta(t, 1+failurePenalty*4/7, load(in.id), 0.1)
	assert.Greater(t, load(out.id), calm+failurePenalty/3, "failures must also count outside the subset")
	b.SetLocal(map[policy.ServerID]policy.OwnLoad{in.id: {Failures: 1, Attempts: 60}})
	assert.Less(t, load(in.id), 4.0, "many answers of this gateway must outweigh the failures")
	send(10, nil)
	send(12, map[policy.ServerID]policy.OwnLoad{in.id: {Failures: 0.3, Attempts: 9}})
	b.SetLocal(nil)
	assert.Less(t, load(in.id), 1.0)
	assert.Equal(t, calm, load(out.id))
	many := map[policy.ServerID]policy.OwnLoad{}
	for _, m := range list {
		many[m.ID] = policy.OwnLoad{InFlight: 9, Failures: 99, Attempts: 999}
	}
	trackers[10].SetLocal(many)
	_, m := trackers[10].NextReport(time.Second)
	assert.LessOrEqual(t, len(m), maxDatagramSize)
	b.Receive(time.Second, 10, m)
	assert.Zero(t, b.Dropped())
}

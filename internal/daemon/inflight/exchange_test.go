package inflight

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"sprucelane.example/sprucelane/internal/daemon/discovery"
	"sprucelane.example/sprucelane/policy"
)

// Exchange sends the balancer's loads to the neighbors and passes the loads that they report to the balancer.
func TestExchange(t *testing.T) {
	balancer, membership := &fakeBalancer{own: map[policy.ServerID]policy.OwnLoad{}}, fakeMembership{}
	for _, m := range instances(60) {
		membership[m.ID] = discovery.Incarnation{Instance: m.Instance}
	}
	sent := map[int][]byte{}
	c := NewExchange(New(10, 80, 0), balancer, membership, func(p int, m []byte) { sent[p] = m })
	c.exchange()
	balancer.own[c.tracker.members[20].id] = policy.OwnLoad{InFlight: 1}
	c.exchange()
	assert.Len(t, sent, 6)
	other := NewExchange(New(11, 80, 0), balancer, membership, func(int, []byte) {})
	other.exchange()
	other.Receive(10, sent[11])
	busy := slices.ContainsFunc(balancer.loads, func(l policy.Load) bool { return l.Attempts == 1 })
	inSubset := other.tracker.members[20].inSubset
	assert.Equal(t, inSubset, busy)
	assert.Len(t, balancer.loads, 60)
	assert.Equal(t, "[told=6 heard=1 dropped=0]", fmt.Sprint(other.Counters()))
}

// fakeBalancer records the loads that it receives.
type fakeBalancer struct {
	own   map[policy.ServerID]policy.OwnLoad
	loads []policy.Load
}

func (c *fakeBalancer) ExchangeLoads(exchange func(policy.Time, map[policy.ServerID]policy.OwnLoad) []policy.Load) {
	c.loads = exchange(time.Second, c.own)
}

// fakeMembership is a fixed list of servers.
type fakeMembership map[policy.ServerID]discovery.Incarnation

func (l fakeMembership) Incarnations() map[policy.ServerID]discovery.Incarnation { return l }

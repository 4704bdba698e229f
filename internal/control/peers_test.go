package control

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"sprucelane.example/sprucelane/internal/control/liveness"
	"sprucelane.example/sprucelane/internal/protocol"
)

// TestPollersDelta reports random sets of gateways over a connection that is occasionally replaced, which the two
// sides may notice at different times. After each report the receiver must have the sender's set.
func TestPollersDelta(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		receiver := &Control{liveness: liveness.New()}
		sender := &peer{gateways: map[string]protocol.Process{}}
		known := &peerSession{gateways: map[string]protocol.Process{}}
		for range 30 {
			switch rapid.IntRange(0, 8).Draw(t, "event") {
			case 0: // the sender notices a new connection, possibly after it has sent reports over it
				sender.sentAll = false
				clear(sender.gateways)
				continue
			case 1: // both sides notice a new connection
				sender.sentAll = false
				clear(sender.gateways)
				known = &peerSession{gateways: map[string]protocol.Process{}}
				continue
			}
			gateways := map[string]protocol.Process{}
			for _, id := range rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 0, 5, rapid.ID[int]).Draw(t, "gateways") {
				name := fmt.Sprint("front-", id)
				gateways[name] = protocol.Process{
					Node:        name,
					Role:        protocol.RoleGateway,
					Incarnation: fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "incarnation")),
				}
			}
			report := sender.pollersDelta(gateways)
			sender.markSent(&report)
			receiver.mergePollers(known, &report, 0)
			if !maps.Equal(known.gateways, gateways) {
				t.Fatalf("the receiver has gateways %v, want %v", known.gateways, gateways)
			}
		}
	})
}

package control

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"sprucelane.example/sprucelane/internal/control/liveness"
	"sprucelane.example/sprucelane/internal/protocol"
)

// TestPollersDelta reports random sets of gateways over a connection that ends now and then, noticed by
// either side first. After each report the receiver must have the sender's set.
func TestPollersDelta(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		receiver := &Control{liveness: liveness.New()}
		sender := &peer{gateways: map[string]protocol.Process{}}
		known := &peerSession{gateways: map[string]protocol.Process{}}
		for range 30 {
			switch rapid.IntRange(0, 8).Draw(t, "event") {
			case 0: // the sender sees a new connection, whatever it has sent over it already
				sender.sentAll = false
				clear(sender.gateways)
				continue
			case 1: // a new connection at both
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
				t.Fatalf("the receiver has %v, not %v", known.gateways, gateways)
			}
		}
	})
}

package replica

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// TestHandOverReachesTheOthers checks that a node that leaves and closes at once has told the others of the view without it: no
// member that stays comes to propose one, which would take as long as after a crash.
func TestHandOverReachesTheOthers(t *testing.T) {
	var machines []*machine
	var seeds []string
	for i := range 3 {
		m := &machine{name: fmt.Sprintf("control-%d", i+1), address: freeAddress(t), dir: t.TempDir()}
		machines = append(machines, m)
		seeds = append(seeds, m.address)
	}
	for _, m := range machines {
		m.start(t, seeds, true)
		defer m.node.Close()
	}
	machines[0].propose(t, "first")
	for _, leaving := range machines {
		if !leaving.node.IsHead() {
			continue
		}
		before := leaving.node.View().Epoch
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		err := leaving.node.HandOver(ctx)
		cancel()
		if err != nil {
			t.Fatal(err)
		}
		for _, other := range machines {
			if epoch := other.node.View().Epoch; epoch <= before {
				t.Errorf("%s is in epoch %d as %s ends, which left epoch %d", other.name, epoch, leaving.name, before)
			}
		}
		return
	}
	t.Fatal("nobody is the head")
}

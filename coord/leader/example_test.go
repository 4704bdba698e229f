package leader_test

import (
	"context"
	"fmt"
	"time"

	"sprucelane.example/sprucelane/coord/leader"
)

// alwaysLeader is a source whose node is the leader in epoch 7 until HandOver is called.
type alwaysLeader struct{ handedOver chan struct{} }

func (a *alwaysLeader) LeaderLease() (uint64, time.Time, bool) {
	select {
	case <-a.handedOver:
		return 0, time.Time{}, false
	default:
		return 7, time.Now().Add(time.Minute), true
	}
}

func (a *alwaysLeader) HandOver(context.Context) error {
	close(a.handedOver)
	return nil
}

// A role runs in its term, checks the term before each act, and ends when the runner resigns.
func Example() {
	started := make(chan struct{})
	role := func(ctx context.Context, term *leader.Term) {
		fmt.Println("epoch", term.Epoch(), "valid", term.Valid())
		close(started)
		<-ctx.Done()
		fmt.Println("over, valid", term.Valid())
	}
	runner := leader.Run(&alwaysLeader{handedOver: make(chan struct{})}, role, leader.Options{})
	<-started
	fmt.Println("resign:", runner.Resign(context.Background()))
	runner.Close()
	// Output:
	// epoch 7 valid true
	// over, valid false
	// resign: <nil>
}

package lease_test

import (
	"fmt"
	"time"

	"sprucelane.example/sprucelane/coord/lease"
)

// A holder requests a lease of one second, which starts at the time of the request, and checks the lease directly
// before each operation.
func Example() {
	granter := lease.NewFirstGranter(lease.GranterOptions{
		Epoch:          1,
		MaxDuration:    5 * time.Second,
		DriftAllowance: 50 * time.Millisecond,
	})
	holder := lease.NewHolder(100 * time.Millisecond)

	requestedAt := 10 * time.Second
	answeredAt := requestedAt + 30*time.Millisecond
	grant, err := granter.Acquire(answeredAt, "discovery/huron", "front-huron-1", time.Second)
	if err != nil {
		fmt.Println(err)
		return
	}
	holder.OnGrant(requestedAt, grant)

	_, valid := holder.Valid(requestedAt + 850*time.Millisecond)
	fmt.Println("after 850 ms:", valid)
	_, valid = holder.Valid(requestedAt + 950*time.Millisecond)
	fmt.Println("after 950 ms:", valid)
	_, err = granter.Acquire(requestedAt+950*time.Millisecond, "discovery/huron", "front-huron-2", time.Second)
	fmt.Println("another, after 950 ms:", err)
	// Output:
	// after 850 ms: true
	// after 950 ms: false
	// another, after 950 ms: lease: held by another
}

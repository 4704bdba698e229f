package simulation_test

import (
	"fmt"
	"time"

	"sprucelane.example/sprucelane/coord/slots"
	"sprucelane.example/sprucelane/internal/simulation"
)

// Messages over a link that is cut in one direction, in a world whose time passes only as events come due.
func ExampleWorld() {
	world := simulation.NewWorld(1)
	world.Links.Default = simulation.Link{Delay: 5 * time.Millisecond}
	world.Links.Cut("b", "a")
	world.Send("a", "b", "ping", func() {
		fmt.Println("ping arrives after", world.Elapsed())
		if !world.Send("b", "a", "pong", func() { fmt.Println("pong arrives") }) {
			fmt.Println("pong is lost")
		}
	})
	world.Run(time.Second)
	fmt.Println("the world is", world.Elapsed(), "old")
	// Output:
	// ping arrives after 5ms
	// pong is lost
	// the world is 1s old
}

// A store on a disk that loses power in the middle of an append keeps what was acknowledged.
func ExampleDisk() {
	disk := simulation.NewDisk(simulation.NewRand(1))
	store, _, err := slots.Open(disk, slots.Options{})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(store.Append([]byte("acknowledged")))
	disk.FailAt(1)
	fmt.Println(store.Append([]byte("in flight")) == nil)
	disk.PowerLoss()
	_, recovered, err := slots.Open(disk, slots.Options{})
	fmt.Printf("%s %v\n", recovered.Records[0], err)
	// Output:
	// <nil>
	// false
	// acknowledged <nil>
}

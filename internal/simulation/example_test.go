package simulation_test

import (
	"fmt"
	"time"

	"sprucelane.example/sprucelane/coord/slots"
	"sprucelane.example/sprucelane/internal/simulation"
)

// Two machines exchange messages over a link that is partitioned in one direction, in virtual time.
func ExampleSimulation() {
	sim := simulation.New(1)
	sim.Links.Default = simulation.Link{Delay: 5 * time.Millisecond}
	sim.Links.Partition("b", "a")
	sim.Send("a", "b", "ping", func() {
		fmt.Println("ping arrives after", sim.Elapsed())
		if !sim.Send("b", "a", "pong", func() { fmt.Println("pong arrives") }) {
			fmt.Println("pong is lost")
		}
	})
	sim.Run(time.Second)
	fmt.Println("elapsed:", sim.Elapsed())
	// Output:
	// ping arrives after 5ms
	// pong is lost
	// elapsed: 1s
}

// A store on a disk that loses power during an append keeps the records that were acknowledged.
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
	disk.LosePower()
	_, recovered, err := slots.Open(disk, slots.Options{})
	fmt.Printf("%s %v\n", recovered.Records[0], err)
	// Output:
	// <nil>
	// false
	// acknowledged <nil>
}

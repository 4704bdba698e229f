package slots_test

import (
	"fmt"
	"os"

	"sprucelane.example/sprucelane/coord/slots"
)

// A state machine appends its commands as records, and replaces them by a snapshot from time to time.
func Example() {
	folder, err := os.MkdirTemp("", "slots")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer os.RemoveAll(folder)
	store, _, err := slots.Open(slots.Directory(folder), slots.Options{})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(store.Append([]byte("one"), []byte("two")))
	fmt.Println(store.Compact([]byte("one two")))
	fmt.Println(store.Append([]byte("three")))
	fmt.Println(store.Close())

	_, recovered, err := slots.Open(slots.Directory(folder), slots.Options{})
	fmt.Printf("%q %q %v\n", recovered.Snapshot, recovered.Records, err)
	// Output:
	// <nil>
	// <nil>
	// <nil>
	// <nil>
	// "one two" ["three"] <nil>
}

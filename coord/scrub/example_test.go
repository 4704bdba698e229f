package scrub_test

import (
	"fmt"
	"time"

	"sprucelane.example/sprucelane/coord/scrub"
)

// table is a store that holds a single key.
type table struct{ entry scrub.Entry }

func (t *table) Scan(from string, visit func(scrub.Entry) bool) error {
	if t.entry.Key >= from {
		visit(t.entry)
	}
	return nil
}

func (t *table) Get(key string) (scrub.Entry, bool, error) {
	return t.entry, t.entry.Key == key, nil
}

func (t *table) Repair(entry scrub.Entry) error {
	t.entry = entry
	return nil
}

// newTable returns a store with the given value and the checksum of the correct value.
func newTable(value string) *table {
	checksum := scrub.Checksum("key", 1, false, []byte("value"))
	return &table{scrub.Entry{Key: "key", Version: 1, Value: []byte(value), Checksum: checksum}}
}

// The second of two replicas has a corrupt value, which is found and repaired. The caller delivers the messages.
func Example() {
	now := time.Unix(0, 0)
	stores := map[string]*table{"a": newTable("value"), "b": newTable("vaLue")}
	nodes := make(map[string]*scrub.Node)
	for name, store := range stores {
		nodes[name] = scrub.New(scrub.Config{}, store, now)
	}
	nodes["a"].SetPeers([]string{"b"})
	nodes["b"].SetPeers([]string{"a"})

	var deliver func(from string, output scrub.Output)
	deliver = func(from string, output scrub.Output) {
		for _, finding := range output.Findings {
			fmt.Println(from, finding.Key, finding.Problem, finding.Repaired)
		}
		for _, envelope := range output.Messages {
			deliver(envelope.To, nodes[envelope.To].Receive(now, from, envelope.Message))
		}
	}
	deliver("a", nodes["a"].Tick(now))
	fmt.Printf("%s\n", stores["b"].entry.Value)
	// Output:
	// b key corrupt true
	// value
}

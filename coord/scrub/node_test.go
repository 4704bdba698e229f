package scrub

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/simulation"
)

// memoryStore is an in-memory Store.
type memoryStore struct {
	entries   map[string]Entry
	err       error // returned by all operations if not nil
	bytesRead int   // bytes of values read by Scan
}

// newMemoryStore returns an empty store.
func newMemoryStore() *memoryStore {
	return &memoryStore{entries: make(map[string]Entry)}
}

// put writes a value with its checksum.
func (m *memoryStore) put(key string, version uint64, value []byte) {
	entry := Entry{Key: key, Version: version, Value: slices.Clone(value)}
	entry.Checksum = Checksum(key, version, false, value)
	m.entries[key] = entry
}

// flipBit inverts a bit of a value and keeps the checksum, as a failing medium does.
func (m *memoryStore) flipBit(key string) {
	entry := m.entries[key]
	entry.Value = slices.Clone(entry.Value)
	entry.Value[len(entry.Value)/2] ^= 4
	m.entries[key] = entry
}

func (m *memoryStore) Scan(from string, visit func(Entry) bool) error {
	if m.err != nil {
		return m.err
	}
	var keys []string
	for key := range m.entries {
		if key >= from {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		m.bytesRead += len(m.entries[key].Value)
		if !visit(m.entries[key]) {
			break
		}
	}
	return nil
}

func (m *memoryStore) Get(key string) (Entry, bool, error) {
	entry, ok := m.entries[key]
	return entry, ok, m.err
}

func (m *memoryStore) Repair(entry Entry) error {
	if m.err != nil {
		return m.err
	}
	if own, ok := m.entries[entry.Key]; ok && own.Valid() && own.Version > entry.Version {
		return errors.New("repair would replace a newer valid entry by an older one")
	}
	m.entries[entry.Key] = entry
	return nil
}

// replicas is a simulated group of replicas.
type replicas struct {
	simulation *simulation.Simulation
	names      []string
	stores     map[string]*memoryStore
	nodes      map[string]*Node
	findings   map[string][]Finding
}

// newReplicas returns three replicas with the same entries.
func newReplicas(seed uint64, keys int, config Config) *replicas {
	r := &replicas{
		simulation: simulation.New(seed),
		names:      []string{"a", "b", "c"},
		stores:     make(map[string]*memoryStore),
		nodes:      make(map[string]*Node),
		findings:   make(map[string][]Finding),
	}
	for _, name := range r.names {
		r.stores[name] = newMemoryStore()
		r.nodes[name] = New(config, r.stores[name], r.simulation.Now())
		r.nodes[name].SetPeers(slices.DeleteFunc(slices.Clone(r.names), func(other string) bool { return other == name }))
	}
	for i := range keys {
		r.putAll(fmt.Sprintf("key-%05d", i), 1, r.simulation.Random.Bytes(20+r.simulation.Random.IntN(200)))
	}
	for _, name := range r.names {
		r.simulation.AfterOn(name, r.simulation.Random.Between(0, time.Second), func() { r.tick(name) })
	}
	return r
}

// putAll writes a value on all replicas.
func (r *replicas) putAll(key string, version uint64, value []byte) {
	for _, name := range r.names {
		r.stores[name].put(key, version, value)
	}
}

// tick calls a node's Tick and schedules the next call: when it is due, after 100 ms at the latest.
func (r *replicas) tick(name string) {
	node := r.nodes[name]
	r.handle(name, node.Tick(r.simulation.Now()))
	delay := max(node.NextTick().Sub(r.simulation.Now()), time.Millisecond)
	r.simulation.AfterOn(name, min(delay, 100*time.Millisecond), func() { r.tick(name) })
}

// handle sends the messages and records the findings of a step.
func (r *replicas) handle(name string, output Output) {
	r.findings[name] = append(r.findings[name], output.Findings...)
	for _, envelope := range output.Messages {
		r.simulation.Send(name, envelope.To, envelope.Message, func() {
			r.handle(envelope.To, r.nodes[envelope.To].Receive(r.simulation.Now(), name, envelope.Message))
		})
	}
}

// found reports whether a replica reported a problem with a key, repaired or not as given.
func (r *replicas) found(name, key string, problem Problem, repaired bool) bool {
	return slices.ContainsFunc(r.findings[name], func(finding Finding) bool {
		return finding.Key == key && finding.Problem == problem && finding.Repaired == repaired
	})
}

// consistent reports whether all replicas hold the same valid entries.
func (r *replicas) consistent() bool {
	first := r.stores[r.names[0]].entries
	for _, name := range r.names {
		entries := r.stores[name].entries
		if len(entries) != len(first) {
			return false
		}
		for key, entry := range entries {
			other, ok := first[key]
			if !ok || !entry.Valid() || entry.Version != other.Version || !bytes.Equal(entry.Value, other.Value) {
				return false
			}
		}
	}
	return true
}

// quickConfig is the configuration of most tests, with short passes.
var quickConfig = Config{PassInterval: 5 * time.Second, RangeEntries: 50, BytesPerSecond: 1 << 20}

func TestScrub(t *testing.T) {
	Convey("Given three replicas with the same entries", t, func() {
		r := newReplicas(1, 1000, quickConfig)
		So(r.consistent(), ShouldBeTrue)

		Convey("no findings are reported if all entries are valid and the same", func() {
			r.simulation.Run(30 * time.Second)
			for _, name := range r.names {
				So(r.findings[name], ShouldBeEmpty)
				So(r.nodes[name].Passes(), ShouldBeGreaterThan, 2)
			}
		})

		Convey("a flipped bit is found and repaired", func() {
			r.stores["b"].flipBit("key-00700")
			r.simulation.Run(10 * time.Second)
			So(r.consistent(), ShouldBeTrue)
			So(r.found("b", "key-00700", Corrupt, true), ShouldBeTrue)
		})

		Convey("a missing and a stale entry are found and repaired", func() {
			delete(r.stores["a"].entries, "key-00001")
			delete(r.stores["c"].entries, "key-00999")
			r.putAll("key-00500", 2, []byte("newer"))
			r.stores["c"].put("key-00500", 1, []byte("older"))
			r.simulation.Run(10 * time.Second)
			So(r.consistent(), ShouldBeTrue)
			So(r.found("a", "key-00001", Missing, true), ShouldBeTrue)
			So(r.found("c", "key-00999", Missing, true), ShouldBeTrue)
			So(r.found("c", "key-00500", Stale, true), ShouldBeTrue)
		})

		Convey("a replica that lost all entries gets them back even if messages are lost", func() {
			r.simulation.Links.Default.Loss = 0.1
			clear(r.stores["c"].entries)
			r.simulation.Run(120 * time.Second)
			So(r.consistent(), ShouldBeTrue)
			So(len(r.stores["c"].entries), ShouldEqual, 1000)
		})

		Convey("a conflict is reported and not repaired", func() {
			r.stores["b"].put("key-00300", 1, []byte("another value of the same version"))
			r.simulation.Run(20 * time.Second)
			So(r.found("a", "key-00300", Conflict, false), ShouldBeTrue)
			So(string(r.stores["b"].entries["key-00300"].Value), ShouldEqual, "another value of the same version")
		})

		Convey("two corrupt copies are repaired from the third", func() {
			r.stores["a"].flipBit("key-00042")
			r.stores["b"].flipBit("key-00042")
			r.simulation.Run(30 * time.Second)
			So(r.consistent(), ShouldBeTrue)
		})

		Convey("three corrupt copies are reported as lost", func() {
			for _, name := range r.names {
				r.stores[name].flipBit("key-00042")
			}
			r.simulation.Run(10 * time.Second)
			So(r.found("a", "key-00042", Lost, false), ShouldBeTrue)
		})

		Convey("a value that a reader found corrupt is repaired at once", func() {
			r.stores["b"].flipBit("key-00900")
			r.handle("b", r.nodes["b"].ReadRepair("key-00900"))
			r.simulation.Run(10 * time.Millisecond)
			So(r.stores["b"].entries["key-00900"].Valid(), ShouldBeTrue)
		})

		Convey("an error of the store is reported and the scrub goes on after it", func() {
			r.stores["a"].err = errors.New("disk")
			r.simulation.Run(5 * time.Second)
			So(r.findings["a"], ShouldNotBeEmpty)
			So(errors.Is(r.findings["a"][0].Err, r.stores["a"].err), ShouldBeTrue)
			r.stores["a"].err = nil
			passes := r.nodes["a"].Passes()
			r.simulation.Run(20 * time.Second)
			So(r.nodes["a"].Passes(), ShouldBeGreaterThan, passes)
		})
	})

	Convey("The scrub reads no faster than BytesPerSecond", t, func() {
		r := newReplicas(1, 2000, Config{BytesPerSecond: 10_000, PassInterval: time.Second})
		for _, name := range []string{"b", "c"} {
			r.simulation.Stop(name)
			r.simulation.Start(name) // from here on only a starts comparisons; b and c still answer
		}
		r.simulation.Run(time.Second)
		before := r.stores["a"].bytesRead
		r.simulation.Run(10 * time.Second)
		So(r.stores["a"].bytesRead-before, ShouldBeBetween, 30_000, 110_000)
	})

	Convey("Entries above the stable version are not compared", t, func() {
		config := quickConfig
		config.StableVersion = func() uint64 { return 5 }
		r := newReplicas(1, 100, config)
		r.stores["a"].put("key-00010", 6, []byte("on its way"))
		r.stores["a"].put("new", 7, []byte("on its way"))
		r.simulation.Run(20 * time.Second)
		So(r.stores["b"].entries["key-00010"].Version, ShouldEqual, 1)
		So(r.stores["b"].entries, ShouldNotContainKey, "new")
		So(r.stores["a"].entries["key-00010"].Version, ShouldEqual, 6)
	})
}

// TestRandomCorruption corrupts and removes random entries while entries are written and messages are lost. It
// checks that all entries are repaired in the end.
func TestRandomCorruption(t *testing.T) {
	for seed := range uint64(30) {
		r := newReplicas(seed, 200, quickConfig)
		r.simulation.Links.Default.Loss = 0.05
		random := r.simulation.Random
		for range 60 {
			key := fmt.Sprintf("key-%05d", random.IntN(200))
			victim := r.names[random.IntN(len(r.names))]
			switch random.IntN(4) {
			case 0:
				if _, ok := r.stores[victim].entries[key]; ok {
					r.stores[victim].flipBit(key)
				}
			case 1:
				delete(r.stores[victim].entries, key)
			case 2, 3:
				r.putAll(key, uint64(r.simulation.Elapsed())+2, random.Bytes(50))
			}
			r.simulation.Run(random.Between(0, 2*time.Second))
			// The copies of a key are never all corrupt at once: each fault is repaired before the next one.
			for range 100 {
				if r.consistent() {
					break
				}
				r.simulation.Run(time.Second)
			}
		}
		if !r.consistent() {
			t.Fatalf("seed %d: the replicas still differ or have corrupt entries at the end", seed)
		}
	}
}

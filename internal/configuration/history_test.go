package configuration

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// plainModel is what the operator expects: lists by name, without any of the code under test.
type plainModel struct {
	generation uint64
	tenants    []map[string]any
	taken      map[string]bool
}

func (m *plainModel) patch(generation uint64, upsert []map[string]any, remove []string) {
	m.generation = generation
	m.tenants = slices.DeleteFunc(slices.Clone(m.tenants), func(t map[string]any) bool { return slices.Contains(remove, t["name"].(string)) })
	for _, one := range upsert {
		at := slices.IndexFunc(m.tenants, func(t map[string]any) bool { return t["name"] == one["name"] })
		if at < 0 {
			m.tenants = append(m.tenants, one)
		} else {
			m.tenants[at] = one
		}
	}
}

func drawTenants(t *rapid.T) []map[string]any {
	names := rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 0, 4, rapid.ID[int]).Draw(t, "names")
	tenants := make([]map[string]any, 0, len(names))
	for _, name := range names {
		rate := rapid.IntRange(0, 100).Draw(t, "rate")
		tenants = append(tenants, map[string]any{"name": fmt.Sprint("t", name), "api-keys": []any{fmt.Sprint("k", name)},
			"rate-per-s": float64(rate), "kept": "as it came"})
	}
	return tenants
}

func encode(t *rapid.T, value any) []byte {
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// TestHistories drives a state, a replica restored now and then, and a follower that misses updates, through random orders,
// and holds all three to the model.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &plainModel{taken: map[string]bool{}}
		state, replica, follower := NewState(), NewState(), NewState()
		var sent []Order
		for index := uint64(1); index < 40; index++ {
			order := drawOrder(t, model, sent)
			sent = append(sent, order)
			expected := model.verdict(order)
			if told := state.Evaluate(order); told.Status != expected {
				t.Fatalf("evaluated as %d, the model says %d", told.Status, expected)
			}
			result := state.Apply(index, order)
			if result.Status != expected {
				t.Fatalf("order %d: %d, the model says %d: %v", index, result.Status, expected, result.Findings)
			}
			if other := replica.Apply(index, order); !reflect.DeepEqual(other, result) {
				t.Fatalf("a replica says %v, not %v", other, result)
			}
			model.compare(t, state)
			if rapid.IntRange(0, 5).Draw(t, "restore") == 0 {
				replica = restored(t, replica)
			}
			if rapid.Bool().Draw(t, "follow") {
				follow(t, state, follower)
			}
		}
	})
}

func restored(t *rapid.T, s *State) *State {
	raw, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	other, err := DecodeState(raw)
	if err != nil {
		t.Fatal(err)
	}
	return other
}

func follow(t *rapid.T, state, follower *State) {
	update := state.Since(follower.Current().Index)
	if update == nil {
		return
	}
	version, err := follower.Follow(update)
	if errors.Is(err, ErrGap) {
		t.Fatal("an update made for this follower has a gap")
	}
	if err != nil {
		t.Fatal(err)
	}
	if version.Index != state.Current().Index || !reflect.DeepEqual(version.Document(), state.Current().Document()) {
		t.Fatalf("the follower has %s, not %s", version.JSON(), state.Current().JSON())
	}
}

type drawnBody struct {
	Generation uint64                      `json:"generation"`
	Routes     []any                       `json:"routes,omitempty"`
	Backends   []any                       `json:"backends,omitempty"`
	Tenants    []map[string]any            `json:"tenants,omitempty"`
	Upsert     map[string][]map[string]any `json:"upsert,omitempty"`
	Delete     map[string][]string         `json:"delete,omitempty"`
}

func drawOrder(t *rapid.T, model *plainModel, sent []Order) Order {
	if len(sent) > 0 && rapid.IntRange(0, 4).Draw(t, "again") == 0 {
		return rapid.SampledFrom(sent).Draw(t, "earlier")
	}
	order := Order{IfMatch: model.generation, Patch: model.generation > 0 && rapid.IntRange(0, 3).Draw(t, "patch") > 0}
	if rapid.IntRange(0, 5).Draw(t, "stale") == 0 {
		order.IfMatch = rapid.Uint64Range(0, model.generation+2).Draw(t, "if-match")
	}
	generation := model.generation + uint64(rapid.IntRange(0, 3).Draw(t, "rise"))
	if order.Patch {
		remove := rapid.SliceOfN(rapid.SampledFrom([]string{"t0", "t1", "t2", "t9"}), 0, 2).Draw(t, "remove")
		order.Body = encode(t, drawnBody{Generation: generation, Upsert: map[string][]map[string]any{"tenants": drawTenants(t)},
			Delete: map[string][]string{"tenants": remove}})
		return order
	}
	whole := map[string]any{"generation": generation, "routes": []any{}, "backends": []any{}, "tenants": drawTenants(t)}
	order.Body = encode(t, whole)
	return order
}

func (m *plainModel) key(order Order) string {
	return fmt.Sprint(order.IfMatch, order.Patch, string(order.Body))
}

// verdict gives the status that an order must get, and carries it out where it is taken.
func (m *plainModel) verdict(order Order) Status {
	if m.taken[m.key(order)] {
		return StatusTaken
	}
	if order.IfMatch != m.generation {
		return StatusStale
	}
	var body drawnBody
	if err := json.Unmarshal(order.Body, &body); err != nil || body.Generation <= m.generation {
		return StatusInvalid
	}
	m.taken[m.key(order)] = true
	if order.Patch {
		m.patch(body.Generation, body.Upsert["tenants"], body.Delete["tenants"])
		return StatusTaken
	}
	m.generation, m.tenants = body.Generation, body.Tenants
	return StatusTaken
}

func (m *plainModel) compare(t *rapid.T, s *State) {
	if s.Current().Generation != m.generation {
		t.Fatalf("generation %d, not %d", s.Current().Generation, m.generation)
	}
	if m.generation == 0 {
		return
	}
	var got drawnBody
	if err := json.Unmarshal(s.Current().JSON(), &got); err != nil {
		t.Fatal(err)
	}
	if got.Generation != m.generation || len(got.Tenants) != len(m.tenants) || len(m.tenants) > 0 && !reflect.DeepEqual(got.Tenants, m.tenants) {
		t.Fatalf("the document is %s, the model has %v", s.Current().JSON(), m.tenants)
	}
}

func FuzzOrders(f *testing.F) {
	f.Add([]byte(firstDocument), false)
	f.Add([]byte(`{"generation":9,"upsert":{"routes":[{"name":"r1"}],"limits":{}},"delete":{"tenants":["t1"]}}`), true)
	f.Add([]byte(`{"generation":9e0,"upsert":{"novel":[{"name":"\u0000\\"}]},"delete":{"novel":["x"]}}`), true)
	f.Add([]byte(`{"generation":1,"routes":[],"backends":[],"x":[[],{},"\""]}`), false)
	f.Fuzz(func(t *testing.T, body []byte, patch bool) {
		state := NewState()
		if first := state.Apply(1, Order{Body: []byte(firstDocument)}); first.Status != StatusTaken {
			t.Fatal(first)
		}
		result := state.Apply(2, Order{IfMatch: 7, Patch: patch, Body: body})
		if result.Status != StatusTaken {
			return
		}
		again, err := ParseDocument(state.Current().JSON(), 2)
		if err != nil {
			t.Fatalf("what was taken can't be read again: %v", err)
		}
		if !reflect.DeepEqual(again.Document(), state.Current().Document()) {
			t.Fatalf("read again it is another: %s", state.Current().JSON())
		}
	})
}

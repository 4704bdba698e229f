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

// referenceModel is the configuration that the operator expects, computed without the code under test: a list of
// tenants by name.
type referenceModel struct {
	generation uint64
	tenants    []map[string]any
	accepted   map[string]bool
}

// patch applies a PATCH to the model.
func (m *referenceModel) patch(generation uint64, upsert []map[string]any, remove []string) {
	m.generation = generation
	m.tenants = slices.DeleteFunc(slices.Clone(m.tenants), func(t map[string]any) bool {
		return slices.Contains(remove, t["name"].(string))
	})
	for _, one := range upsert {
		at := slices.IndexFunc(m.tenants, func(t map[string]any) bool { return t["name"] == one["name"] })
		if at < 0 {
			m.tenants = append(m.tenants, one)
		} else {
			m.tenants[at] = one
		}
	}
}

// drawTenants returns a random selection of six tenants, with random rates and a member that the program doesn't
// know.
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

// TestHistories applies random change requests to a state, a replica that is restored at random times, and a
// follower that misses updates. It compares all three with the reference model.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &referenceModel{accepted: map[string]bool{}}
		state, replica, follower := NewState(), NewState(), NewState()
		var sent []ChangeRequest
		for index := uint64(1); index < 40; index++ {
			request := drawRequest(t, model, sent)
			sent = append(sent, request)
			expected := model.applyRequest(request)
			if evaluated := state.Evaluate(request); evaluated.Status != expected {
				t.Fatalf("Evaluate returned status %d, want %d", evaluated.Status, expected)
			}
			result := state.Apply(index, request)
			if result.Status != expected {
				t.Fatalf("request %d: status %d, want %d; findings: %v", index, result.Status, expected, result.Findings)
			}
			if other := replica.Apply(index, request); !reflect.DeepEqual(other, result) {
				t.Fatalf("the replica returned %v, want %v", other, result)
			}
			model.compare(t, state)
			if rapid.IntRange(0, 5).Draw(t, "restore") == 0 {
				replica = encodeAndDecode(t, replica)
			}
			if rapid.Bool().Draw(t, "follow") {
				follow(t, state, follower)
			}
		}
	})
}

// encodeAndDecode returns a copy of a state, made by encoding and decoding it.
func encodeAndDecode(t *rapid.T, s *State) *State {
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

// follow updates a follower to the current version and compares their documents.
func follow(t *rapid.T, state, follower *State) {
	update := state.UpdateSince(follower.Current().Index)
	if update == nil {
		return
	}
	version, err := follower.ApplyUpdate(update)
	if errors.Is(err, ErrGap) {
		t.Fatal("an update since the follower's version was rejected with ErrGap")
	}
	if err != nil {
		t.Fatal(err)
	}
	if version.Index != state.Current().Index || !reflect.DeepEqual(version.Document(), state.Current().Document()) {
		t.Fatalf("the follower has document %s, want %s", version.JSON(), state.Current().JSON())
	}
}

// drawnBody is the body of a document or a patch.
type drawnBody struct {
	Generation uint64                      `json:"generation"`
	Routes     []any                       `json:"routes,omitempty"`
	Backends   []any                       `json:"backends,omitempty"`
	Tenants    []map[string]any            `json:"tenants,omitempty"`
	Upsert     map[string][]map[string]any `json:"upsert,omitempty"`
	Delete     map[string][]string         `json:"delete,omitempty"`
}

// drawRequest returns a random request: valid, stale, invalid, or a repeated earlier one.
func drawRequest(t *rapid.T, model *referenceModel, sent []ChangeRequest) ChangeRequest {
	if len(sent) > 0 && rapid.IntRange(0, 4).Draw(t, "again") == 0 {
		return rapid.SampledFrom(sent).Draw(t, "earlier")
	}
	request := ChangeRequest{
		IfMatch: model.generation,
		Patch:   model.generation > 0 && rapid.IntRange(0, 3).Draw(t, "patch") > 0,
	}
	if rapid.IntRange(0, 5).Draw(t, "stale") == 0 {
		request.IfMatch = rapid.Uint64Range(0, model.generation+2).Draw(t, "if-match")
	}
	generation := model.generation + uint64(rapid.IntRange(0, 3).Draw(t, "rise"))
	if request.Patch {
		remove := rapid.SliceOfN(rapid.SampledFrom([]string{"t0", "t1", "t2", "t9"}), 0, 2).Draw(t, "remove")
		request.Body = encode(t, drawnBody{
			Generation: generation,
			Upsert:     map[string][]map[string]any{"tenants": drawTenants(t)},
			Delete:     map[string][]string{"tenants": remove},
		})
		return request
	}
	whole := map[string]any{"generation": generation, "routes": []any{}, "backends": []any{}, "tenants": drawTenants(t)}
	request.Body = encode(t, whole)
	return request
}

// key returns an identifier of a request that doesn't depend on the Digest under test.
func (m *referenceModel) key(request ChangeRequest) string {
	return fmt.Sprint(request.IfMatch, request.Patch, string(request.Body))
}

// applyRequest returns the expected status of a request, and applies the request to the model if it is accepted.
func (m *referenceModel) applyRequest(request ChangeRequest) Status {
	if m.accepted[m.key(request)] {
		return StatusAccepted
	}
	if request.IfMatch != m.generation {
		return StatusStale
	}
	var body drawnBody
	if err := json.Unmarshal(request.Body, &body); err != nil || body.Generation <= m.generation {
		return StatusInvalid
	}
	m.accepted[m.key(request)] = true
	if request.Patch {
		m.patch(body.Generation, body.Upsert["tenants"], body.Delete["tenants"])
		return StatusAccepted
	}
	m.generation, m.tenants = body.Generation, body.Tenants
	return StatusAccepted
}

// compare checks that a state's document equals the model's.
func (m *referenceModel) compare(t *rapid.T, s *State) {
	if s.Current().Generation != m.generation {
		t.Fatalf("generation %d, want %d", s.Current().Generation, m.generation)
	}
	if m.generation == 0 {
		return
	}
	var got drawnBody
	if err := json.Unmarshal(s.Current().JSON(), &got); err != nil {
		t.Fatal(err)
	}
	if got.Generation != m.generation || len(got.Tenants) != len(m.tenants) ||
		len(m.tenants) > 0 && !reflect.DeepEqual(got.Tenants, m.tenants) {
		t.Fatalf("the document is %s, want tenants %v", s.Current().JSON(), m.tenants)
	}
}

// FuzzChangeRequests checks that an accepted configuration can be parsed again from its JSON, with the same content.
func FuzzChangeRequests(f *testing.F) {
	f.Add([]byte(firstDocument), false)
	f.Add([]byte(`{"generation":9,"upsert":{"routes":[{"name":"r1"}],"limits":{}},"delete":{"tenants":["t1"]}}`), true)
	f.Add([]byte(`{"generation":9e0,"upsert":{"novel":[{"name":"\u0000\\"}]},"delete":{"novel":["x"]}}`), true)
	f.Add([]byte(`{"generation":1,"routes":[],"backends":[],"x":[[],{},"\""]}`), false)
	f.Fuzz(func(t *testing.T, body []byte, patch bool) {
		state := NewState()
		if first := state.Apply(1, ChangeRequest{Body: []byte(firstDocument)}); first.Status != StatusAccepted {
			t.Fatal(first)
		}
		result := state.Apply(2, ChangeRequest{IfMatch: 7, Patch: patch, Body: body})
		if result.Status != StatusAccepted {
			return
		}
		again, err := ParseDocument(state.Current().JSON(), 2)
		if err != nil {
			t.Fatalf("the accepted document can't be parsed again: %v", err)
		}
		if !reflect.DeepEqual(again.Document(), state.Current().Document()) {
			t.Fatalf("the accepted document has other content when parsed again: %s", state.Current().JSON())
		}
	})
}

package configuration

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const firstDocument = `{"generation":7, "routes":[
 {"name":"r1","hostname":"a.example","path-prefix":"/x/","route-type":"streaming","timeout-ms":3000,"backend":"b1","max-attempts":2,"later":[1, 2]},
 {"name":"r2","hostname":"a.example","path-prefix":"/y/","route-type":"batch","timeout-ms":4000,"traffic-split":[{"backend":"b1","weight":90},{"backend":"b1","weight":10}],"max-attempts":1}],
 "backends":[{"name":"b1","health-path":"/healthz","max-conns":190.0,"engine":{"slots":16,"kv-bytes":327680}}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304},
 "tenants":[{"name":"t1","api-keys":["k1","k2"],"priority":1,"rate-per-s":61,"burst":61}], "novel":{"a":1.50}}`

// apply applies a change request with a base generation, method and body.
func apply(s *State, index, ifMatch uint64, patch bool, body string) Result {
	return s.Apply(index, ChangeRequest{IfMatch: ifMatch, Patch: patch, Body: []byte(body)})
}

// assertSameJSON asserts that two JSON texts have the same value.
func assertSameJSON(t *testing.T, got []byte, want string) {
	var a, b any
	So(json.Unmarshal(got, &a), ShouldBeNil)
	So(json.Unmarshal([]byte(want), &b), ShouldBeNil)
	So(a, ShouldResemble, b)
}

// TestChangeRequests checks the effects and results of change requests, including repeated and stale ones.
func TestChangeRequests(t *testing.T) {
	Convey("A first document is accepted and read back as it was sent", t, func() {
		s := NewState()
		So(apply(s, 1, 0, false, firstDocument).Status, ShouldEqual, StatusAccepted)
		assertSameJSON(t, s.Current().JSON(), firstDocument)
		So(string(s.Current().JSON()), ShouldContainSubstring, `"novel":{"a":1.50}`)
		So(s.Current().Document().Backends[0].MaxConns, ShouldEqual, 190)

		Convey("the same request gets the same answer, however often, and after others", func() {
			So(apply(s, 2, 0, false, firstDocument).Status, ShouldEqual, StatusAccepted)
			So(s.Current().Index, ShouldEqual, 1)
			So(apply(s, 3, 7, true, `{"generation":9}`).Status, ShouldEqual, StatusAccepted)
			again := apply(s, 4, 0, false, firstDocument)
			So(again.Status, ShouldEqual, StatusAccepted)
			So(again.Repeated, ShouldBeTrue)
			So(again.Generation, ShouldEqual, 9)
			So(s.Current().Generation, ShouldEqual, 9)
		})
		Convey("other bytes, another method or another base are other requests", func() {
			So(apply(s, 2, 0, false, firstDocument+" ").Status, ShouldEqual, StatusStale)
			So(apply(s, 2, 0, true, firstDocument).Status, ShouldEqual, StatusStale)
			So(apply(s, 2, 7, false, firstDocument).Status, ShouldEqual, StatusInvalid)
			So(apply(s, 2, 8, true, `{"generation":9}`).Status, ShouldEqual, StatusStale)
		})
		Convey("a patch adds, replaces in place and removes by name", func() {
			patch := `{"generation":12,"upsert":{"routes":[{"name":"r3","hostname":"b.example","path-prefix":"/","timeout-ms":1,"backend":"b1"},
				{"name":"r1","hostname":"a.example","path-prefix":"/z/","timeout-ms":5,"backend":"b1"}],"limits":{"max-body-bytes":5}},
				"delete":{"routes":["r2","never"],"tenants":["t1"]}}`
			So(apply(s, 2, 7, true, patch).Status, ShouldEqual, StatusAccepted)
			assertSameJSON(t, s.Current().JSON(), `{"generation":12,"routes":[
				{"name":"r1","hostname":"a.example","path-prefix":"/z/","timeout-ms":5,"backend":"b1"},
				{"name":"r3","hostname":"b.example","path-prefix":"/","timeout-ms":1,"backend":"b1"}],
				"backends":[{"name":"b1","health-path":"/healthz","max-conns":190,"engine":{"slots":16,"kv-bytes":327680}}],
				"limits":{"max-body-bytes":5},"tenants":[],"novel":{"a":1.5}}`)
			snapshot := s.Current().Snapshot()
			So(snapshot.RouteFor("A.example:80", "/z/1").Name, ShouldEqual, "r1")
			So(snapshot.RouteFor("a.example", "/y/1"), ShouldBeNil)
			So(snapshot.TenantByKey("k1"), ShouldBeNil)
			So(snapshot.Limits.MaxBodyBytes, ShouldEqual, 5)
		})
		Convey("a state has the same content and history after encoding and decoding", func() {
			apply(s, 3, 7, true, `{"generation":9,"delete":{"routes":["r2"]}}`)
			raw, err := s.Encode()
			So(err, ShouldBeNil)
			other, err := DecodeState(raw)
			So(err, ShouldBeNil)
			So(other.Current().JSON(), ShouldResemble, s.Current().JSON())
			So(other.Current().Index, ShouldEqual, 3)
			So(apply(other, 5, 0, false, firstDocument).Repeated, ShouldBeTrue)
		})
		Convey("a repeated request that is older than the history has an unknown status", func() {
			generation := uint64(7)
			for i := range uint64(maxHistory + 1) {
				patch := fmt.Sprintf(`{"generation":%d}`, generation+1)
				So(apply(s, 10+i, generation, true, patch).Status, ShouldEqual, StatusAccepted)
				generation++
			}
			So(apply(s, 9000, 0, false, firstDocument).Status, ShouldEqual, StatusUnknown)
			So(apply(s, 9000, generation-1, true, `{"generation":1}`).Status, ShouldEqual, StatusStale)
		})
	})
}

// TestInvalid checks that each kind of error in a document is found and reported with its location.
func TestInvalid(t *testing.T) {
	change := func(old, replacement string) string {
		changed := strings.Replace(firstDocument, old, replacement, 1)
		if changed == firstDocument {
			t.Fatalf("%q is not in the document", old)
		}
		return changed
	}
	cases := map[string]struct{ body, place, text string }{
		"truncated":                {firstDocument[:len(firstDocument)-20], "line 6", "cannot be read"},
		"empty":                    {"", "line 1, column 1", "cannot be read"},
		"trailing data":            {firstDocument + "{}", "line 6", "cannot be read"},
		"not an object":            {"[1]", "line 1, column 1", "must be an object"},
		"unknown service":          {change(`"backend":"b1","max`, `"backend":"b9","max`), `routes[0] "r1".backend`, `"b9"`},
		"unknown service in split": {change(`{"backend":"b1","weight":10}`, `{"backend":"b8","weight":10}`), `routes[1] "r2".traffic-split[1].backend`, `"b8"`},
		"no service":               {change(`"backend":"b1","max`, `"max`), `routes[0] "r1".backend`, "names no service"},
		"same host and prefix":     {change(`"hostname":"a.example","path-prefix":"/y/"`, `"hostname":"A.example","path-prefix":"/x/"`), `routes[1] "r2"`, `"r1"`},
		"weights of 0":             {change(`"weight":90},{"backend":"b1","weight":10}`, `"weight":0},{"backend":"b1","weight":0}`), "traffic-split", "add up to 0"},
		"timeout of 0":             {change(`"timeout-ms":3000`, `"timeout-ms":0`), "timeout-ms", "above 0"},
		"generation missing":       {change(`"generation":7, `, ``), "generation", "missing"},
		"generation of 0":          {change(`"generation":7, `, `"generation":0,`), "generation", "above 0"},
		"generation twice":         {change(`"generation":7, `, `"generation":7,"generation":8,`), "generation", "twice"},
		"a key of two tenants":     {change(`"tenants":[`, `"tenants":[{"name":"t0","api-keys":["k2"]},`), `tenants[1] "t1".api-keys[1]`, `"t0"`},
		"a name twice":             {change(`"name":"r2"`, `"name":"r1"`), "routes[1].name", "routes[0]"},
		"a name missing":           {change(`"name":"r2",`, ``), "routes[1]", "name"},
		"a wrong type":             {change(`"max-attempts":2`, `"max-attempts":"2"`), `routes[0] "r1"`, "whole number"},
		"negative limit":           {change(`"max-attempts":1}`, `"max-attempts":1,"max-queued-tokens":-1}`), `routes[1] "r2".max-queued-tokens`, "from 0"},
		"limit too large":          {change(`"max-attempts":1}`, `"max-attempts":1,"max-queued-tokens":1e18}`), `routes[1] "r2".max-queued-tokens`, "from 0"},
		"limit with a fraction":    {change(`"max-attempts":1}`, `"max-attempts":1,"max-queued-tokens":1.5}`), `routes[1] "r2"`, "whole number"},
		"limit beyond int64":       {change(`"max-attempts":1}`, `"max-attempts":1,"max-queued-tokens":1e30}`), `routes[1] "r2"`, "whole number"},
		"not a list":               {`{"generation":7,"routes":[],"backends":{}}`, "backends", "must be a list"},
		"no routes":                {`{"generation":7,"backends":[]}`, "routes", "missing"},
	}
	for name, one := range cases {
		Convey(name+" is reported with its location", t, func() {
			s := NewState()
			result := apply(s, 1, 0, false, one.body)
			So(result.Status, ShouldEqual, StatusInvalid)
			So(result.Findings.Error(), ShouldContainSubstring, one.place)
			So(result.Findings.Error(), ShouldContainSubstring, one.text)
			So(s.Current().Generation, ShouldEqual, 0)
		})
	}
	Convey("All findings are reported together", t, func() {
		body := strings.NewReplacer(
			`"timeout-ms":3000`, `"timeout-ms":0`,
			`"path-prefix":"/y/"`, `"path-prefix":"/y"`,
			`"weight":10`, `"weight":-1`,
		).Replace(firstDocument)
		So(apply(NewState(), 1, 0, false, body).Findings, ShouldHaveLength, 3)
	})
	Convey("A patch that leaves a route without its backend is rejected as a whole", t, func() {
		s := NewState()
		apply(s, 1, 0, false, firstDocument)
		result := apply(s, 2, 7, true, `{"generation":8,"delete":{"backends":["b1"],"routes":["r1"]}}`)
		So(result.Status, ShouldEqual, StatusInvalid)
		assertSameJSON(t, s.Current().JSON(), firstDocument)
	})
	Convey("A patch before the first document is rejected", t, func() {
		So(apply(NewState(), 1, 0, true, `{"generation":8}`).Status, ShouldEqual, StatusInvalid)
	})
}

// TestMaxQueuedTokens checks that max-queued-tokens is decoded from each notation of a whole number.
func TestMaxQueuedTokens(t *testing.T) {
	Convey("A limit of queued tokens may be written in any notation of a whole number, and is 0 by default", t, func() {
		cases := map[string]int64{
			`,"max-queued-tokens":3200000`: 3_200_000,
			`,"max-queued-tokens":3.2e6`:   3_200_000,
			"":                             0,
		}
		for text, want := range cases {
			var route Route
			So(decode([]byte(`{"name":"r"`+text+`}`), &route), ShouldBeNil)
			So(route.MaxQueuedTokens, ShouldEqual, want)
		}
	})
}

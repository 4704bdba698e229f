package schema

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func patchOf(routes int) []byte {
	var out bytes.Buffer
	out.WriteString(`{"generation":9,"upsert":{"routes":[`)
	for i := range routes {
		if i > 0 {
			out.WriteString(",")
		}
		fmt.Fprintf(&out, `{"name":"r%d","hostname":"h%d.example","path-prefix":"/p%d/","route-type":"streaming","timeout-ms":5000,"target-latency-ms":200,"priority":0,"traffic-split":[{"backend":"b","weight":90},{"backend":"b","weight":10}],"max-attempts":1,"public":false,"sticky":true,"resumable":false,"gap_aim_ms":300}`, i, i, i)
	}
	out.WriteString(`]},"delete":{"routes":["r-old"]}}`)
	return out.Bytes()
}

func BenchmarkPatch(b *testing.B) {
	for _, routes := range []int{0, 1, 10, 100} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			body := patchOf(routes)
			b.ReportAllocs()
			for b.Loop() {
				if found := Check(body, true); len(found) > 0 {
					b.Fatal(found)
				}
			}
		})
	}
}

func TestCheck(t *testing.T) {
	Convey("A valid document has no findings, even with fields of later versions", t, func() {
		So(Check(patchOf(3), true), ShouldBeEmpty)
		So(Check([]byte(`{"generation":3,"routes":[],"backends":[{"name":"b","later":{"a":[1]}}],"later":1}`), false), ShouldBeEmpty)
		So(Check([]byte(`{"generation":3.0,"routes":[{"name":"r","hostname":"h","path-prefix":"/","backend":null,"traffic-split":null}],"backends":[]}`), false), ShouldBeEmpty)
	})
	Convey("Each finding has a path, line and column", t, func() {
		body := `{"generation":0,
"routes":[{"name":"r1","hostname":"a","timeout-ms":0,"path-prefix":"x"},
{"name":3,"hostname":"a","path-prefix":"/","traffic-split":[{"backend":"b","weight":-1}]}],
"backends":{}, "tenants":[{"name":"x","api-keys":[""],"burst":"1"}]}`
		places := []string{}
		for _, one := range Check([]byte(body), false) {
			places = append(places, one.Place)
		}
		So(places, ShouldResemble, []string{
			"generation (line 1, column 15)",
			"routes[0].timeout-ms (line 2, column 52)",
			"routes[0].path-prefix (line 2, column 68)",
			"routes[1].name (line 3, column 9)",
			"routes[1].traffic-split[0].weight (line 3, column 85)",
			"backends (line 4, column 12)",
			"tenants[0].api-keys[0] (line 4, column 51)",
			"tenants[0].burst (line 4, column 63)",
		})
	})
	Convey("A missing field is named", t, func() {
		So(Check([]byte(`{"generation":1,"backends":[]}`), false).Error(), ShouldContainSubstring, "routes")
	})
}

func FuzzCheck(f *testing.F) {
	f.Add(patchOf(2), true)
	f.Add([]byte(`{"generation":1,"routes":[],"backends":[]}`), false)
	f.Fuzz(func(t *testing.T, body []byte, patch bool) { Check(body, patch) })
}

package serverload

import (
	"reflect"
	"testing"
	"time"

	"sprucelane.example/sprucelane/internal/golden"
)

// TestGolden checks that the encoding of a datagram of reports is that of earlier versions.
func TestGolden(t *testing.T) {
	reports := []Report{
		{Server: 0x0102030405060708, Load: Load{Running: 1, Waiting: 2, Slots: 3}, Age: 4 * time.Millisecond, Results: Results{Served: 5, Failed: 6}},
		{Server: 9, Load: Load{Running: 500, Waiting: 501, Slots: 502}, Age: 503 * time.Millisecond, Results: Results{Served: 50, Failed: 51}},
	}
	k, decoded, ok := decode(golden.Bytes(t, "datagram", encode(nil, kindZone, reports)))
	if !ok || k != kindZone || !reflect.DeepEqual(decoded, reports) {
		t.Errorf("the recorded datagram decodes to %v, %+v, %v; want %+v", k, decoded, ok, reports)
	}
	golden.Bytes(t, "kinds", []byte{byte(kindObserved), byte(kindZone), byte(kindRemote)})
}

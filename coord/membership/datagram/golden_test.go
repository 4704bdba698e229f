package datagram

import (
	"reflect"
	"testing"

	"sprucelane.example/sprucelane/coord/membership"
	"sprucelane.example/sprucelane/internal/golden"
)

// TestGolden checks that a datagram has the format that earlier versions send and decodes to the same message.
func TestGolden(t *testing.T) {
	const tag = 0x0102030405060708
	var message membership.Message
	golden.Fill(&message)
	datagrams := encode(tag, message)
	if len(datagrams) != 1 {
		t.Fatalf("encode returned %d datagrams; want one", len(datagrams))
	}
	decoded, err := decode(tag, golden.Bytes(t, "message", datagrams[0]))
	if err != nil || !reflect.DeepEqual(decoded, message) {
		t.Errorf("the recorded datagram decodes to %+v, %v; want %+v", decoded, err, message)
	}
}

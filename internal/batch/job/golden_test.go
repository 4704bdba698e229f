package job

import (
	"reflect"
	"testing"

	"sprucelane.example/sprucelane/internal/golden"
)

// TestGolden checks that content is encoded byte for byte as by earlier versions, whose logs and messages contain
// it.
func TestGolden(t *testing.T) {
	var content Content
	golden.Fill(&content)
	decoded, _, err := Decode(golden.Bytes(t, "content", content.Encode()))
	if err != nil || !reflect.DeepEqual(decoded, &content) {
		t.Errorf("the recorded content decodes to %+v, %v; want %+v", decoded, err, content)
	}
	golden.Bytes(t, "states", []byte{byte(Completed), byte(DeadLetter)})
}

package job

import (
	"reflect"
	"testing"

	"sprucelane.example/sprucelane/internal/golden"
)

// TestGolden holds the content of a batch job, in logs and between stores, to the form that earlier versions wrote.
func TestGolden(t *testing.T) {
	var content Content
	golden.Fill(&content)
	decoded, _, err := Decode(golden.Bytes(t, "content", content.Encode()))
	if err != nil || !reflect.DeepEqual(decoded, &content) {
		t.Errorf("the recorded content decodes to %+v, %v; want %+v", decoded, err, content)
	}
	golden.Bytes(t, "states", []byte{byte(Completed), byte(DeadLetter)})
}

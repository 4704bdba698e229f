package protocol

import (
	"testing"

	"sprucelane.example/sprucelane/internal/golden"
)

// TestGolden checks that the messages between control processes, gateways and batch processes still have the format
// that earlier versions send.
func TestGolden(t *testing.T) {
	golden.Message(t, "poll", Poll{})
	golden.Message(t, "update", Update{})
	golden.Message(t, "quota-request", QuotaRequest{})
	golden.Message(t, "quota-reply", QuotaReply{})
	golden.Message(t, "batch-call", BatchCall{})
	golden.Message(t, "batch-answer", BatchAnswer{})
	golden.Bytes(t, "numbers", []byte{
		byte(BatchSubmit), byte(BatchRead), byte(BatchBody), byte(BatchEnd),
		byte(StoreActive), byte(StoreRetiring), byte(StoreRetired),
	})
}

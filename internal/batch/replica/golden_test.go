package replica

import (
	"fmt"
	"testing"

	"sprucelane.example/sprucelane/internal/golden"
	"sprucelane.example/sprucelane/internal/protocol"
)

// TestGoldenMessages compares the messages between stores with the encoding that earlier versions send.
func TestGoldenMessages(t *testing.T) {
	for number, named := range wireTypes() {
		golden.Message(t, fmt.Sprintf("message-%02d", number), named.Sample)
	}
}

// TestGoldenRecords compares the records of a store's log with the encoding that earlier versions wrote.
func TestGoldenRecords(t *testing.T) {
	var replicas []protocol.Process
	golden.Fill(&replicas)
	var results []Result
	golden.Fill(&results)
	content := []byte("content")
	golden.Bytes(t, "record-copy", encodeCopy("job-1", 7, replicas, true, content, results))
	golden.Bytes(t, "record-result", encodeResult("job-1", 3, &results[0]))
	golden.Bytes(t, "record-ended", encodeEnded("job-1"))
	golden.Bytes(t, "record-replicas", encodeReplicas("job-1", 9, replicas))
	golden.Bytes(t, "record-dropped", encodeDropped("job-1"))
	view := departureSet{actedEpoch: 11, memberSince: 5}
	golden.Bytes(t, "record-view", view.encode())
	golden.Bytes(t, "record-kinds", []byte{
		recordCopy, recordResult, recordEnded, recordReplicas, recordDropped, recordView, recordProgress,
	})
}

package replica

import (
	"encoding/binary"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/wal"
)

// This file owns what is kept of items that run: the events that came, on this store's disk only. A start of the process
// takes the streams up from there; a server that didn't hear of the end would otherwise have run the item for nothing.

// Progress is what came of an item that isn't listed.
type Progress struct {
	Last   int64          // id of the last event, -1: none
	Events []wal.Location // data of the events, in order
}

// Progress keeps events of a running item: those that follow the event with the id after, up to the one with the id last.
func (m *StateMachine) SaveProgress(id string, index int, after, last int64, events [][]byte) {
	j := m.jobs[id]
	if j == nil || !j.owned || j.ended || j.items[index].finished {
		return
	}
	record := job.AppendString([]byte{recordProgress}, id)
	record = binary.AppendUvarint(record, uint64(index))
	record = binary.AppendVarint(record, after)
	record = binary.AppendVarint(record, last)
	record = binary.AppendUvarint(record, uint64(len(events)))
	for _, event := range events {
		record = binary.AppendUvarint(record, uint64(len(event)))
		record = append(record, event...)
	}
	m.write(record, false, func() {})
}

// replayProgress takes events up that follow those known; others are of a run that nothing came of.
func (j *storedJob) replayProgress(r *job.Decoder, at wal.Location, record []byte) *Finding {
	item := r.Uvarint()
	after, last := r.Varint(), r.Varint()
	count := r.Uvarint()
	if r.Failed || item >= uint64(len(j.items)) {
		return &Finding{Problem: ProblemRecord}
	}
	index := int(item)
	if j.items[index].finished {
		return nil
	}
	known, started := j.progress[index]
	if !started || after < 0 {
		known = Progress{Last: -1}
	}
	if after != known.Last {
		return nil
	}
	for i := uint64(0); i < count && !r.Failed; i++ {
		event := r.Bytes()
		end := len(record) - len(r.Remaining)
		known.Events = append(known.Events, at.Part(uint32(end-len(event)), uint32(len(event))))
	}
	if r.Failed {
		return &Finding{Problem: ProblemRecord}
	}
	known.Last = last
	if j.progress == nil {
		j.progress = map[int]Progress{}
	}
	j.progress[index] = known
	return nil
}

package replica

import (
	"encoding/binary"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/wal"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file contains the encoding of the records of a store's log.

// The kinds of records, which are their first bytes. They are part of the stored format: the values must not change.
const (
	recordCopy     = 1 // a whole batch job, which replaces an earlier copy
	recordResult   = 2
	recordEnded    = 3
	recordReplicas = 4 // a new version and its replica set
	recordDropped  = 5
	recordView     = 6 // the epoch that the store acted in; doesn't belong to a batch job
	recordProgress = 7 // events of an unfinished item
)

// encodeCopy encodes a whole batch job, which replaces an earlier copy.
func encodeCopy(
	id string, version Version, replicas []protocol.Process, ended bool, content []byte, results []Result,
) []byte {
	size := len(content) + 256
	for i := range results {
		size += len(results[i].Text) + 16
	}
	out := make([]byte, 0, size)
	out = append(out, recordCopy)
	out = job.AppendString(out, id)
	out = appendReplicas(out, version, replicas)
	out = append(out, boolByte(ended))
	out = binary.AppendUvarint(out, uint64(len(content)))
	out = append(out, content...)
	out = binary.AppendUvarint(out, uint64(len(results)))
	for i := range results {
		out = appendResult(out, &results[i])
	}
	return out
}

// encodeResult encodes a result at a position of a batch job's list. The record ends with the result's text.
func encodeResult(id string, position int, result *Result) []byte {
	out := make([]byte, 0, len(result.Text)+len(id)+24)
	out = append(out, recordResult)
	out = job.AppendString(out, id)
	out = binary.AppendUvarint(out, uint64(position))
	return appendResult(out, result)
}

// encodeEnded encodes the record that a client ended a batch job.
func encodeEnded(id string) []byte { return job.AppendString([]byte{recordEnded}, id) }

// encodeDropped encodes the record that a batch job isn't stored any more.
func encodeDropped(id string) []byte { return job.AppendString([]byte{recordDropped}, id) }

// encodeReplicas encodes a new version of a batch job with its replica set.
func encodeReplicas(id string, version Version, replicas []protocol.Process) []byte {
	return appendReplicas(job.AppendString([]byte{recordReplicas}, id), version, replicas)
}

// encodeProgress encodes events of an unfinished item: the events that follow the event with the id after, up to and
// including the event with the id last.
func encodeProgress(id string, index int, after, last int64, events [][]byte) []byte {
	record := job.AppendString([]byte{recordProgress}, id)
	record = binary.AppendUvarint(record, uint64(index))
	record = binary.AppendVarint(record, after)
	record = binary.AppendVarint(record, last)
	record = binary.AppendUvarint(record, uint64(len(events)))
	for _, event := range events {
		record = binary.AppendUvarint(record, uint64(len(event)))
		record = append(record, event...)
	}
	return record
}

// encodeView encodes the view record: the newest epoch that this store acted in, the epoch since which it has been a
// member, and the findings that have been accounted for.
func (m *StateMachine) encodeView() []byte { return m.findingPlaces.appendTo(m.departures.encode()) }

// encode encodes the newest epoch that this store acted in and the epoch since which it has been a member. The fields
// that are empty here held the departed stores in earlier versions.
func (d *departureSet) encode() []byte {
	out := binary.AppendUvarint([]byte{recordView}, 0)
	out = append(out, 0)
	out = binary.AppendUvarint(out, 0)
	out = binary.AppendUvarint(out, d.actedEpoch)
	return binary.AppendUvarint(out, d.memberSince)
}

// skipKeys skips a list of keys, which earlier versions wrote.
func skipKeys(r *job.Decoder) {
	count := r.Uvarint()
	for i := uint64(0); i < count && !r.Failed; i++ {
		r.Text()
	}
}

// appendReplicas appends a version and its replica set.
func appendReplicas(out []byte, version Version, replicas []protocol.Process) []byte {
	out = binary.AppendUvarint(out, uint64(version))
	out = binary.AppendUvarint(out, uint64(len(replicas)))
	for _, replica := range replicas {
		for _, text := range []string{replica.Node, replica.Role, replica.Zone, replica.IP, replica.Incarnation} {
			out = job.AppendString(out, text)
		}
	}
	return out
}

// readReplicas reads what appendReplicas wrote.
func readReplicas(r *job.Decoder) (Version, []protocol.Process) {
	version := Version(r.Uvarint())
	count := r.Uvarint()
	var replicas []protocol.Process
	for i := uint64(0); i < count && !r.Failed; i++ {
		replicas = append(replicas, protocol.Process{
			Node: r.Text(), Role: r.Text(), Zone: r.Text(), IP: r.Text(), Incarnation: r.Text(),
		})
	}
	return version, replicas
}

// appendResult appends a result, which ends with its text.
func appendResult(out []byte, result *Result) []byte {
	out = binary.AppendUvarint(out, uint64(result.Item))
	out = append(out, result.State)
	out = binary.AppendUvarint(out, uint64(len(result.Text)))
	return append(out, result.Text...)
}

// readResult reads a result and locates its text, which is part of a record at a location.
func readResult(r *job.Decoder, record []byte, at wal.Location) storedResult {
	result := storedResult{item: int32(r.Uvarint())}
	state := r.Take(1)
	text := r.Bytes()
	if r.Failed {
		return result
	}
	result.state = job.State(state[0])
	result.at = locateRead(r, text, record, at)
	return result
}

// locateCopy returns the locations of the content and of the results within a copy record that is written at a
// location.
func locateCopy(record []byte, at wal.Location) (wal.Location, []storedResult) {
	r := &job.Decoder{Remaining: record[1:]}
	_ = r.Text()
	readReplicas(r)
	_ = r.Take(1)
	content := r.Bytes()
	contentAt := locateRead(r, content, record, at)
	count := r.Uvarint()
	results := make([]storedResult, 0, count)
	for range count {
		results = append(results, readResult(r, record, at))
	}
	return contentAt, results
}

// storedResultOf returns the form of a result that is kept in memory, with the location of its text.
func storedResultOf(result *Result, at wal.Location) storedResult {
	return storedResult{item: int32(result.Item), state: job.State(result.State), at: at}
}

// locateRead returns the location of data that a decoder has read last from a record.
func locateRead(r *job.Decoder, data, record []byte, at wal.Location) wal.Location {
	end := len(record) - len(r.Remaining)
	return at.Part(uint32(end-len(data)), uint32(len(data)))
}

// locateLast returns the location of data that a record ends with.
func locateLast(data, record []byte, at wal.Location) wal.Location {
	return at.Part(uint32(len(record)-len(data)), uint32(len(data)))
}

// boolByte encodes a bool as one byte, 1 or 0.
func boolByte(set bool) byte {
	if set {
		return 1
	}
	return 0
}

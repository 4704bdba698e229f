package replica

import (
	"encoding/binary"
	"fmt"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/journal"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file owns how a store's records stand in its log.

const (
	recordCopy     = 1 // a whole batch job, in place of what was held of it
	recordResult   = 2
	recordEnded    = 3
	recordReplicas = 4 // a new version's replica set
	recordDropped  = 5
	recordView     = 6 // of no batch job
	recordProgress = 7 // events of an item that is running
)

func encodeCopy(id string, version Version, replicas []protocol.Process, ended bool, content []byte, results []Result) []byte {
	size := len(content) + 256
	for i := range results {
		size += len(results[i].Text) + 16
	}
	out := make([]byte, 0, size)
	out = append(out, recordCopy)
	out = job.AppendText(out, id)
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

func encodeResult(id string, position int, result *Result) []byte {
	out := make([]byte, 0, len(result.Text)+len(id)+24)
	out = append(out, recordResult)
	out = job.AppendText(out, id)
	out = binary.AppendUvarint(out, uint64(position))
	return appendResult(out, result)
}

func encodeEnded(id string) []byte { return job.AppendText([]byte{recordEnded}, id) }

func encodeDropped(id string) []byte { return job.AppendText([]byte{recordDropped}, id) }

func encodeReplicas(id string, version Version, replicas []protocol.Process) []byte {
	return appendReplicas(job.AppendText([]byte{recordReplicas}, id), version, replicas)
}

func appendReplicas(out []byte, version Version, replicas []protocol.Process) []byte {
	out = binary.AppendUvarint(out, uint64(version))
	out = binary.AppendUvarint(out, uint64(len(replicas)))
	for _, replica := range replicas {
		for _, text := range []string{replica.Node, replica.Role, replica.Zone, replica.IP, replica.Incarnation} {
			out = job.AppendText(out, text)
		}
	}
	return out
}

func readReplicas(r *job.Reader) (Version, []protocol.Process) {
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

func appendResult(out []byte, result *Result) []byte {
	out = binary.AppendUvarint(out, uint64(result.Item))
	out = append(out, result.State)
	out = binary.AppendUvarint(out, uint64(len(result.Text)))
	return append(out, result.Text...)
}

// readResult reads a result and says where its text stands; whole is the record that it is read from.
func readResult(r *job.Reader, whole []byte, at journal.Location) heldResult {
	result := heldResult{item: int32(r.Uvarint())}
	state := r.Take(1)
	text := r.Bytes()
	if r.Failed {
		return result
	}
	result.state = job.State(state[0])
	end := len(whole) - len(r.Rest)
	result.at = at.Part(uint32(end-len(text)), uint32(len(text)))
	return result
}

func boolByte(set bool) byte {
	if set {
		return 1
	}
	return 0
}

// replay applies a record of the log to what is held.
func (m *Machine) replay(at journal.Location, record []byte) error {
	if len(record) == 0 {
		return fmt.Errorf("%w: empty record", job.ErrCorrupt)
	}
	if record[0] == recordView {
		return m.departed.replay(record)
	}
	r := &job.Reader{Rest: record[1:]}
	id := r.Text()
	switch record[0] {
	case recordCopy:
		return m.replayCopy(r, id, at, record)
	case recordDropped:
		m.drop(id)
		return nil
	}
	held := m.jobs[id]
	if held == nil {
		return nil // its beginning went with a released segment
	}
	switch record[0] {
	case recordResult:
		return held.replayResult(r, at, record)
	case recordProgress:
		return held.replayProgress(r, at, record)
	case recordEnded:
		held.ended, held.endDurable = true, true
	case recordReplicas:
		held.version, held.replicas = readReplicas(r)
	default:
		return fmt.Errorf("%w: record of kind %d", job.ErrCorrupt, record[0])
	}
	if r.Failed {
		return job.ErrCorrupt
	}
	return nil
}

func (m *Machine) replayCopy(r *job.Reader, id string, at journal.Location, record []byte) error {
	version, replicas := readReplicas(r)
	ended := r.Take(1)
	content := r.Bytes()
	end := len(record) - len(r.Rest)
	if r.Failed {
		return job.ErrCorrupt
	}
	held, err := newHeld(content, at.Part(uint32(end-len(content)), uint32(len(content))))
	if err != nil || held.id != id {
		return job.ErrCorrupt
	}
	held.version, held.replicas = version, replicas
	held.ended, held.endDurable = ended[0] == 1, ended[0] == 1
	held.copyDurable = true
	count := int(r.Uvarint())
	for range count {
		result := readResult(r, record, at)
		if r.Failed {
			return job.ErrCorrupt
		}
		held.list(result)
	}
	held.durable = len(held.results)
	m.keep(held)
	return nil
}

func (h *held) replayResult(r *job.Reader, at journal.Location, record []byte) error {
	position := int(r.Uvarint())
	result := readResult(r, record, at)
	if r.Failed || position != len(h.results) || int(result.item) >= len(h.items) {
		return fmt.Errorf("%w: result at position %d of %d", job.ErrCorrupt, position, len(h.results))
	}
	h.list(result)
	h.durable = len(h.results)
	return nil
}

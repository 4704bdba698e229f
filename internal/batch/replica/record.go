package replica

import (
	"encoding/binary"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/wal"
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

func encodeResult(id string, position int, result *Result) []byte {
	out := make([]byte, 0, len(result.Text)+len(id)+24)
	out = append(out, recordResult)
	out = job.AppendString(out, id)
	out = binary.AppendUvarint(out, uint64(position))
	return appendResult(out, result)
}

func encodeEnded(id string) []byte { return job.AppendString([]byte{recordEnded}, id) }

func encodeDropped(id string) []byte { return job.AppendString([]byte{recordDropped}, id) }

func encodeReplicas(id string, version Version, replicas []protocol.Process) []byte {
	return appendReplicas(job.AppendString([]byte{recordReplicas}, id), version, replicas)
}

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

func appendResult(out []byte, result *Result) []byte {
	out = binary.AppendUvarint(out, uint64(result.Item))
	out = append(out, result.State)
	out = binary.AppendUvarint(out, uint64(len(result.Text)))
	return append(out, result.Text...)
}

// readResult reads a result and says where its text stands; whole is the record that it is read from.
func readResult(r *job.Decoder, whole []byte, at wal.Location) storedResult {
	result := storedResult{item: int32(r.Uvarint())}
	state := r.Take(1)
	text := r.Bytes()
	if r.Failed {
		return result
	}
	result.state = job.State(state[0])
	end := len(whole) - len(r.Remaining)
	result.at = at.Part(uint32(end-len(text)), uint32(len(text)))
	return result
}

func boolByte(set bool) byte {
	if set {
		return 1
	}
	return 0
}

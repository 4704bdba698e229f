package replica

import (
	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/wal"
)

// This file owns the start: how the records of earlier lives make up what is held, and what follows from those that can't
// be used. Such a record never costs more than its own batch job: of that one the sound prefix of results stays, and it is
// marked as damaged until a new copy is written.

// Replay applies a record of the log of earlier lives, in order. An error is a *Finding: the record could not be used. It
// has been dealt with, and Replay goes on with the next record.
func (m *Machine) Replay(at wal.Location, record []byte) error {
	finding := m.replay(at, record)
	if finding == nil {
		return nil
	}
	finding.At = at
	m.note(finding)
	return finding
}

// Skipped tells, between two records, that a part of the log in between can't be read at all. Whatever is held may have gone on
// in it, and counts as damaged, also where nothing of it follows.
func (m *Machine) Skipped(at wal.Location) *Finding {
	for _, h := range m.order {
		h.damaged = true
	}
	finding := &Finding{Problem: ProblemSkipped, At: at}
	m.note(finding)
	return finding
}

// Damage counts the parts of the log that this start could not use, and the batch jobs that are still damaged for them.
func (m *Machine) Damage() (findings, damaged int) {
	for _, h := range m.order {
		if h.damaged {
			damaged++
		}
	}
	return m.findings, damaged
}

// note draws what follows from a record that can't be used for what this store may claim.
func (m *Machine) note(finding *Finding) {
	m.findings++
	if finding.hides() {
		m.obscured = true
	}
	if h := m.jobs[finding.Job]; h != nil && finding.damages() {
		h.damaged = true
	}
}

func (m *Machine) replay(at wal.Location, record []byte) *Finding {
	if len(record) == 0 {
		return &Finding{Problem: ProblemKind}
	}
	if record[0] == recordView {
		return m.departed.replay(at, record)
	}
	r := &job.Reader{Rest: record[1:]}
	id := r.Text()
	if r.Failed {
		return &Finding{Problem: ProblemRecord, Kind: record[0]}
	}
	finding := m.replayOf(r, id, at, record)
	if finding != nil {
		finding.Job, finding.Kind = id, record[0]
	}
	return finding
}

// replayOf applies a record of a batch job.
func (m *Machine) replayOf(r *job.Reader, id string, at wal.Location, record []byte) *Finding {
	switch record[0] {
	case recordCopy:
		return m.replayCopy(r, id, at, record)
	case recordDropped:
		m.drop(id)
		return nil
	case recordResult, recordProgress, recordEnded, recordReplicas:
	default:
		return &Finding{Problem: ProblemKind}
	}
	held := m.jobs[id]
	if held == nil {
		return nil // its beginning went with a released segment
	}
	return held.replay(r, at, record)
}

// replay applies a record that goes on from a copy.
func (h *held) replay(r *job.Reader, at wal.Location, record []byte) *Finding {
	if record[0] == recordEnded {
		h.ended, h.endDurable = true, true // no matter of which copy: an end is for good
		return nil
	}
	if h.damaged {
		return nil // it may be of a copy that isn't here
	}
	switch record[0] {
	case recordResult:
		return h.replayResult(r, at, record)
	case recordProgress:
		return h.replayProgress(r, at, record)
	default:
		return h.replayReplicas(r)
	}
}

func (h *held) replayReplicas(r *job.Reader) *Finding {
	version, replicas := readReplicas(r)
	if r.Failed {
		return &Finding{Problem: ProblemRecord}
	}
	h.version, h.replicas = version, replicas
	return nil
}

func (m *Machine) replayCopy(r *job.Reader, id string, at wal.Location, record []byte) *Finding {
	version, replicas := readReplicas(r)
	ended := r.Take(1)
	content := r.Bytes()
	end := len(record) - len(r.Rest)
	if r.Failed {
		return &Finding{Problem: ProblemRecord}
	}
	h, err := newHeld(content, at.Part(uint32(end-len(content)), uint32(len(content))))
	if err != nil || h.id != id {
		return &Finding{Problem: ProblemContent}
	}
	h.version, h.replicas = version, replicas
	h.ended, h.endDurable = ended[0] == 1, ended[0] == 1
	h.copyDurable = true
	m.keep(h)
	count := r.Uvarint()
	for position := uint64(0); position < count && !r.Failed; position++ {
		result := readResult(r, record, at)
		if r.Failed || !h.mayList(result) {
			return &Finding{Problem: ProblemResult, Position: int(position), Held: len(h.results)}
		}
		h.list(result)
		h.durable = len(h.results)
	}
	if r.Failed {
		return &Finding{Problem: ProblemRecord, Held: len(h.results)}
	}
	return nil
}

func (h *held) replayResult(r *job.Reader, at wal.Location, record []byte) *Finding {
	position := r.Uvarint()
	result := readResult(r, record, at)
	switch {
	case r.Failed:
		return &Finding{Problem: ProblemRecord, Held: len(h.results)}
	case position != uint64(len(h.results)):
		return &Finding{Problem: ProblemGap, Position: int(position), Held: len(h.results)}
	case !h.mayList(result):
		return &Finding{Problem: ProblemResult, Position: int(position), Held: len(h.results)}
	}
	h.list(result)
	h.durable = len(h.results)
	return nil
}

// mayList tells whether a result is of an item that there is and that isn't listed.
func (h *held) mayList(result heldResult) bool {
	return result.item >= 0 && int(result.item) < len(h.items) && !h.items[result.item].listed
}

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
func (m *StateMachine) Replay(at wal.Location, record []byte) error {
	finding := m.replay(at, record)
	if finding == nil {
		return nil
	}
	finding.At = at
	m.noteFinding(finding)
	return finding
}

// Skipped tells, between two records, that a part of the log in between can't be read at all. Whatever is held may have gone on
// in it, and counts as damaged, also where nothing of it follows.
func (m *StateMachine) ReplaySkipped(at wal.Location) *Finding {
	for _, h := range m.order {
		h.corrupt = true
	}
	finding := &Finding{Problem: ProblemSkipped, At: at}
	m.noteFinding(finding)
	return finding
}

// Damage counts the parts of the log that this start could not use, and the batch jobs that are still damaged for them.
func (m *StateMachine) Corruption() (findings, damaged int) {
	for _, h := range m.order {
		if h.corrupt {
			damaged++
		}
	}
	return m.findings, damaged
}

// note draws what follows from a record that can't be used for what this store may claim.
func (m *StateMachine) noteFinding(finding *Finding) {
	m.findings++
	if finding.mayHideJobs() {
		m.incompleteLog = true
	}
	if h := m.jobs[finding.Job]; h != nil && finding.corruptsJob() {
		h.corrupt = true
	}
}

func (m *StateMachine) replay(at wal.Location, record []byte) *Finding {
	if len(record) == 0 {
		return &Finding{Problem: ProblemKind}
	}
	if record[0] == recordView {
		return m.departures.replay(at, record)
	}
	r := &job.Decoder{Remaining: record[1:]}
	id := r.Text()
	if r.Failed {
		return &Finding{Problem: ProblemRecord, Kind: record[0]}
	}
	finding := m.replayJobRecord(r, id, at, record)
	if finding != nil {
		finding.Job, finding.Kind = id, record[0]
	}
	return finding
}

// replayOf applies a record of a batch job.
func (m *StateMachine) replayJobRecord(r *job.Decoder, id string, at wal.Location, record []byte) *Finding {
	switch record[0] {
	case recordCopy:
		return m.replayCopy(r, id, at, record)
	case recordDropped:
		m.removeJob(id)
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
func (h *storedJob) replay(r *job.Decoder, at wal.Location, record []byte) *Finding {
	if record[0] == recordEnded {
		h.ended, h.endedDurable = true, true // no matter of which copy: an end is for good
		return nil
	}
	if h.corrupt {
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

func (h *storedJob) replayReplicas(r *job.Decoder) *Finding {
	version, replicas := readReplicas(r)
	if r.Failed {
		return &Finding{Problem: ProblemRecord}
	}
	h.version, h.replicas = version, replicas
	return nil
}

func (m *StateMachine) replayCopy(r *job.Decoder, id string, at wal.Location, record []byte) *Finding {
	version, replicas := readReplicas(r)
	ended := r.Take(1)
	content := r.Bytes()
	end := len(record) - len(r.Remaining)
	if r.Failed {
		return &Finding{Problem: ProblemRecord}
	}
	h, err := newStoredJob(content, at.Part(uint32(end-len(content)), uint32(len(content))))
	if err != nil || h.id != id {
		return &Finding{Problem: ProblemContent}
	}
	h.version, h.replicas = version, replicas
	h.ended, h.endedDurable = ended[0] == 1, ended[0] == 1
	h.versionDurable = true
	m.putJob(h)
	count := r.Uvarint()
	for position := uint64(0); position < count && !r.Failed; position++ {
		result := readResult(r, record, at)
		if r.Failed || !h.acceptsResult(result) {
			return &Finding{Problem: ProblemResult, Position: int(position), SoundResults: len(h.results)}
		}
		h.appendResult(result)
		h.durableResults = len(h.results)
	}
	if r.Failed {
		return &Finding{Problem: ProblemRecord, SoundResults: len(h.results)}
	}
	return nil
}

func (h *storedJob) replayResult(r *job.Decoder, at wal.Location, record []byte) *Finding {
	position := r.Uvarint()
	result := readResult(r, record, at)
	switch {
	case r.Failed:
		return &Finding{Problem: ProblemRecord, SoundResults: len(h.results)}
	case position != uint64(len(h.results)):
		return &Finding{Problem: ProblemGap, Position: int(position), SoundResults: len(h.results)}
	case !h.acceptsResult(result):
		return &Finding{Problem: ProblemResult, Position: int(position), SoundResults: len(h.results)}
	}
	h.appendResult(result)
	h.durableResults = len(h.results)
	return nil
}

// mayList tells whether a result is of an item that there is and that isn't listed.
func (h *storedJob) acceptsResult(result storedResult) bool {
	return result.item >= 0 && int(result.item) < len(h.items) && !h.items[result.item].finished
}

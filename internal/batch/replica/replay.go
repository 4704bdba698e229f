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
	for _, j := range m.order {
		j.corrupt = true
	}
	finding := &Finding{Problem: ProblemSkipped, At: at}
	m.noteFinding(finding)
	return finding
}

// Damage counts the parts of the log that this start could not use, and the batch jobs that are still damaged for them.
func (m *StateMachine) Corruption() (findings, damaged int) {
	for _, j := range m.order {
		if j.corrupt {
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
	if j := m.jobs[finding.Job]; j != nil && finding.corruptsJob() {
		j.corrupt = true
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
func (j *storedJob) replay(r *job.Decoder, at wal.Location, record []byte) *Finding {
	if record[0] == recordEnded {
		j.ended, j.endedDurable = true, true // no matter of which copy: an end is for good
		return nil
	}
	if j.corrupt {
		return nil // it may be of a copy that isn't here
	}
	switch record[0] {
	case recordResult:
		return j.replayResult(r, at, record)
	case recordProgress:
		return j.replayProgress(r, at, record)
	default:
		return j.replayReplicas(r)
	}
}

func (j *storedJob) replayReplicas(r *job.Decoder) *Finding {
	version, replicas := readReplicas(r)
	if r.Failed {
		return &Finding{Problem: ProblemRecord}
	}
	j.version, j.replicas = version, replicas
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
	j, err := newStoredJob(content, at.Part(uint32(end-len(content)), uint32(len(content))))
	if err != nil || j.id != id {
		return &Finding{Problem: ProblemContent}
	}
	j.version, j.replicas = version, replicas
	j.ended, j.endedDurable = ended[0] == 1, ended[0] == 1
	j.versionDurable = true
	m.putJob(j)
	count := r.Uvarint()
	for position := uint64(0); position < count && !r.Failed; position++ {
		result := readResult(r, record, at)
		if r.Failed || !j.acceptsResult(result) {
			return &Finding{Problem: ProblemResult, Position: int(position), SoundResults: len(j.results)}
		}
		j.appendResult(result)
		j.durableResults = len(j.results)
	}
	if r.Failed {
		return &Finding{Problem: ProblemRecord, SoundResults: len(j.results)}
	}
	return nil
}

func (j *storedJob) replayResult(r *job.Decoder, at wal.Location, record []byte) *Finding {
	position := r.Uvarint()
	result := readResult(r, record, at)
	switch {
	case r.Failed:
		return &Finding{Problem: ProblemRecord, SoundResults: len(j.results)}
	case position != uint64(len(j.results)):
		return &Finding{Problem: ProblemGap, Position: int(position), SoundResults: len(j.results)}
	case !j.acceptsResult(result):
		return &Finding{Problem: ProblemResult, Position: int(position), SoundResults: len(j.results)}
	}
	j.appendResult(result)
	j.durableResults = len(j.results)
	return nil
}

// mayList tells whether a result is of an item that there is and that isn't listed.
func (j *storedJob) acceptsResult(result storedResult) bool {
	return result.item >= 0 && int(result.item) < len(j.items) && !j.items[result.item].finished
}

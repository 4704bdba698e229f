package replica

import (
	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/wal"
)

// This file rebuilds the state at the start of a process from the records of earlier incarnations, and handles records
// that can't be used.
//
// An unusable record affects only its own batch job: the sound prefix of that job's results is kept, and the copy
// counts as corrupt until a new one is written.

// Replay applies a record of the log of earlier incarnations. Records must be replayed in order. An error is a
// *Finding: the record can't be used. The state machine has recorded the consequences, and the caller may replay the
// next record.
func (m *StateMachine) Replay(at wal.Location, record []byte) error {
	finding := m.replay(at, record)
	if finding == nil {
		return nil
	}
	finding.At = at
	m.noteFinding(finding)
	return finding
}

// ReplaySkipped is called between two records when a part of the log between them can't be read at all. All batch jobs
// replayed so far count as corrupt, including those that have no further records, because records of each may be
// missing.
func (m *StateMachine) ReplaySkipped(at wal.Location) *Finding {
	for _, j := range m.jobsInOrder {
		j.corrupt = true
	}
	finding := &Finding{Problem: ProblemSkipped, At: at}
	m.noteFinding(finding)
	return finding
}

// Corruption returns the number of findings in the log that was replayed at the start of the process, and the number
// of batch jobs whose copies are still corrupt.
func (m *StateMachine) Corruption() (findings, corrupt int) {
	for _, j := range m.jobsInOrder {
		if j.corrupt {
			corrupt++
		}
	}
	return m.findings, corrupt
}

// noteFinding records the consequences of a finding: the log may be incomplete, and the copy of a batch job corrupt.
func (m *StateMachine) noteFinding(finding *Finding) {
	m.findings++
	if finding.mayHideJobs() {
		m.findingPlaces.add(finding.At)
		m.incompleteLog = m.findingPlaces.open()
	}
	if j := m.jobs[finding.Job]; j != nil && finding.corruptsJob() {
		j.corrupt = true
	}
}

// replay applies a record, or returns a finding if it can't be used.
func (m *StateMachine) replay(at wal.Location, record []byte) *Finding {
	if len(record) == 0 {
		return &Finding{Problem: ProblemKind}
	}
	if record[0] == recordView {
		return m.replayView(at, record)
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

// replayJobRecord applies a record of a batch job.
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
	j := m.jobs[id]
	if j == nil {
		return nil // its copy record was in a segment that was released
	}
	return j.replay(r, at, record)
}

// replay applies a record that continues a copy.
func (j *storedJob) replay(r *job.Decoder, at wal.Location, record []byte) *Finding {
	if record[0] == recordEnded {
		j.ended, j.endedDurable = true, true // also if the copy that it continues is missing: an end is final
		return nil
	}
	if j.corrupt {
		return nil // the record may continue a copy whose record is missing
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

// replayReplicas applies a new version of a copy.
func (j *storedJob) replayReplicas(r *job.Decoder) *Finding {
	version, replicas := readReplicas(r)
	if r.Failed {
		return &Finding{Problem: ProblemRecord}
	}
	j.version, j.replicas = version, replicas
	return nil
}

// replayCopy stores a batch job, replacing an earlier copy, with its results up to the first that can't be used.
func (m *StateMachine) replayCopy(r *job.Decoder, id string, at wal.Location, record []byte) *Finding {
	version, replicas := readReplicas(r)
	ended := r.Take(1)
	content := r.Bytes()
	if r.Failed {
		return &Finding{Problem: ProblemRecord}
	}
	j, err := newStoredJob(content, locateRead(r, content, record, at))
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

// replayResult appends a result if its position is the next one.
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

// replayProgress adds events that follow the known ones. Events that don't follow them belong to an abandoned run, and
// are ignored.
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
		known.Events = append(known.Events, locateRead(r, event, record, at))
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

// replayView applies a view record, and the list of accounted findings in it.
func (m *StateMachine) replayView(at wal.Location, record []byte) *Finding {
	r := &job.Decoder{Remaining: record[1:]}
	if finding := m.departures.replay(at, r); finding != nil {
		return finding
	}
	if len(r.Remaining) == 0 { // earlier versions end here
		return nil
	}
	m.findingPlaces.read(r)
	if r.Failed {
		return &Finding{Problem: ProblemRecord, Kind: recordView}
	}
	m.incompleteLog = m.findingPlaces.open()
	return nil
}

// replay applies the part of a view record that departureSet.encode wrote.
func (d *departureSet) replay(at wal.Location, r *job.Decoder) *Finding {
	skipKeys(r)
	if !r.Failed && len(r.Remaining) > 0 { // the earliest versions end here
		r.Take(1)
		skipKeys(r)
	}
	var epoch, memberSince uint64
	if !r.Failed && len(r.Remaining) > 0 {
		epoch, memberSince = r.Uvarint(), r.Uvarint()
	}
	if r.Failed {
		return &Finding{Problem: ProblemRecord, Kind: recordView}
	}
	d.viewRecordAt = &at
	d.actedEpoch, d.memberSince = epoch, memberSince
	return nil
}

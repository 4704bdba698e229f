package replica

// This file replaces an owner's corrupt copy.

// rewriteCopy writes the sound part of a corrupt copy as a full copy of the batch job's present version.
func (m *StateMachine) rewriteCopy(j *storedJob) {
	message := ReplicationRequest{}
	if !m.fillFullCopy(j, &message, len(j.results)) {
		return // the content or a result can't be read: while this store owns the batch job, calls wait and are rejected
	}
	j.corrupt = false
	j.versionDurable = false
	version := j.version
	record := encodeCopy(j.id, version, j.replicas, j.ended, message.Content, message.Results)
	j.previousAt = j.oldestLocation()
	at := m.write(record, true, func() {
		j.previousAt = nil
		if j.version == version {
			j.versionDurable = true
			m.replicateJob(j)
			m.maybeCommit(j)
		}
	})
	j.contentAt, j.results = locateCopy(record, at)
	j.progress = nil // the locations of the events are in segments that may be released now
}

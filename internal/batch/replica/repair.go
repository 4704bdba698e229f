package replica

// How is a corrupt copy replaced at its owner?

// rewriteCopy writes the sound part of a corrupt copy as a whole copy of a new version.
func (m *StateMachine) rewriteCopy(j *storedJob) {
	message := ReplicationRequest{}
	if !m.fillFullCopy(j, &message, len(j.results)) {
		return // its content or its results can't be read: calls wait and are rejected while this store owns it
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
	j.progress = nil // its locations are in segments that may be released now
}

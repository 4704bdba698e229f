package replica

import (
	"encoding/binary"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/wal"
)

// Which findings of the log need no further account?
//
// A finding that may hide batch jobs makes the log incomplete (StateMachine.incompleteLog) until all members have
// reconciled with that known: what it held is known again by then, or lost. But it stays in its segment, and each start
// finds it again. So the places of findings that have been accounted for are recorded with the view. Damage that comes
// about later is at another place, also in a segment from before, and counts.

// findingPlace is where in the log a finding is.
type findingPlace struct{ segment, offset uint32 }

// maxAccountedFindings bounds what is recorded. A log with more findings counts as incomplete after each start.
const maxAccountedFindings = 64

// accountedFindings is the findings of this start that may hide batch jobs, and those that were accounted for.
type accountedFindings struct {
	hiding    []findingPlace
	accounted map[findingPlace]bool
}

// note takes in a finding of this start that may hide batch jobs.
func (a *accountedFindings) note(at wal.Location) {
	a.hiding = append(a.hiding, findingPlace{segment: at.Segment, offset: at.Offset})
}

// open reports whether some finding hasn't been accounted for.
func (a *accountedFindings) open() bool {
	for _, place := range a.hiding {
		if !a.accounted[place] {
			return true
		}
	}
	return false
}

// close notes that all findings of this start are accounted for.
func (a *accountedFindings) close() {
	a.accounted = map[findingPlace]bool{}
	for _, place := range a.hiding {
		a.accounted[place] = true
	}
}

// appendTo encodes the findings that this start found again or accounted for.
func (a *accountedFindings) appendTo(out []byte) []byte {
	var list []findingPlace
	for _, place := range a.hiding {
		if a.accounted[place] && len(list) < maxAccountedFindings {
			list = append(list, place)
		}
	}
	out = binary.AppendUvarint(out, uint64(len(list)))
	for _, place := range list {
		out = binary.AppendUvarint(out, uint64(place.segment))
		out = binary.AppendUvarint(out, uint64(place.offset))
	}
	return out
}

// read takes in what appendTo has written, in place of what an earlier record said.
func (a *accountedFindings) read(r *job.Decoder) {
	a.accounted = map[findingPlace]bool{}
	for count := r.Uvarint(); count > 0 && !r.Failed; count-- {
		place := findingPlace{segment: uint32(r.Uvarint()), offset: uint32(r.Uvarint())}
		a.accounted[place] = true
	}
}

package replica

import (
	"encoding/binary"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/wal"
)

// This file keeps track of the findings in the log that have been accounted for and don't make the log incomplete any
// more.
//
// A finding that may hide batch jobs makes the log incomplete (StateMachine.incompleteLog) until all members have
// reconciled with that known: by then the batch jobs that it hid are known again, or lost. But the finding stays in its
// segment, and is found again at each start. Therefore the places of accounted findings are written to the view record.
// Later damage counts, because it is at another place, even if it is in an older segment.

// findingPlace is the place of a finding in the log.
type findingPlace struct{ segment, offset uint32 }

// maxAccountedFindings limits the number of places in a view record. A log with more findings counts as incomplete
// after each start.
const maxAccountedFindings = 64

// accountedFindings contains the places of the findings in the replayed log that may hide batch jobs (hiding), and the
// places that have been accounted for, from the newest view record or since close (accounted).
type accountedFindings struct {
	hiding    []findingPlace
	accounted map[findingPlace]bool
}

// add records a finding of the replayed log that may hide batch jobs.
func (a *accountedFindings) add(at wal.Location) {
	a.hiding = append(a.hiding, findingPlace{segment: at.Segment, offset: at.Offset})
}

// open reports whether a finding of the replayed log has not been accounted for.
func (a *accountedFindings) open() bool {
	for _, place := range a.hiding {
		if !a.accounted[place] {
			return true
		}
	}
	return false
}

// close marks all findings of the replayed log as accounted for.
func (a *accountedFindings) close() {
	a.accounted = map[findingPlace]bool{}
	for _, place := range a.hiding {
		a.accounted[place] = true
	}
}

// appendTo appends the encoded places of the findings that are in the log and accounted for, at most
// maxAccountedFindings.
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

// read decodes the places that appendTo wrote. They replace those of an earlier record.
func (a *accountedFindings) read(r *job.Decoder) {
	a.accounted = map[findingPlace]bool{}
	for count := r.Uvarint(); count > 0 && !r.Failed; count-- {
		place := findingPlace{segment: uint32(r.Uvarint()), offset: uint32(r.Uvarint())}
		a.accounted[place] = true
	}
}

package replica

import (
	"fmt"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/wal"
)

// This file describes records of the log that can't be used, and their consequences.

// Problem describes why a record of the log can't be used.
type Problem string

// The problems of records. None of them is caused by a killed process, a loss of power or a full disk.
const (
	ProblemRecord  Problem = "a record can't be decoded"
	ProblemKind    Problem = "a record is of no known kind"
	ProblemContent Problem = "a batch job can't be decoded"
	ProblemResult  Problem = "a result can't be one of its batch job"
	ProblemGap     Problem = "what was listed before a result is missing"
	ProblemSkipped Problem = "a part of the log doesn't match its checksums"
)

// Finding is a record of the log that can't be used, or a part of the log that can't be read. It wraps
// job.ErrCorrupt.
type Finding struct {
	Problem      Problem
	At           wal.Location
	Kind         byte   // kind of the record
	Job          string // id of the batch job, empty if it isn't known
	Position     int    // position of the result, for ProblemGap and ProblemResult
	SoundResults int    // number of sound results of the batch job
}

// Error describes the finding with its location.
func (f *Finding) Error() string {
	text := job.ErrCorrupt.Error()
	if f.Problem == ProblemGap || f.Problem == ProblemResult {
		text += fmt.Sprintf(": result at position %d of %d", f.Position, f.SoundResults)
	}
	text += fmt.Sprintf(": %s: segment %d, byte %d", f.Problem, f.At.Segment, f.At.Offset)
	if f.Job != "" {
		text += ", batch job " + f.Job
	}
	return text
}

// Unwrap returns job.ErrCorrupt.
func (f *Finding) Unwrap() error { return job.ErrCorrupt }

// mayHideJobs reports whether the log may have held a batch job, or a version of one, that isn't known here.
func (f *Finding) mayHideJobs() bool {
	switch f.Problem {
	case ProblemKind, ProblemContent, ProblemSkipped:
		return true
	case ProblemRecord:
		return f.Kind == recordCopy || f.Kind == recordReplicas || f.Kind == recordView || f.Job == ""
	default:
		return false
	}
}

// corruptsJob reports whether the finding makes the batch job's copy corrupt. An unusable progress record doesn't, as a
// copy is complete without the events of unfinished items.
func (f *Finding) corruptsJob() bool { return f.Kind != recordProgress }

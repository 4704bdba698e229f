package configuration

import (
	"errors"
	"slices"

	"sprucelane.example/sprucelane/internal/protocol"
)

// Limits of the change log. A follower whose version is older than the log gets the whole document.
const (
	maxLoggedSteps = 512
	maxLoggedBytes = 2 << 20
)

// changeLog holds the last patches, the oldest first.
//
// Invariant: applied in order, the steps lead from the version at baseIndex to the current one without gaps.
type changeLog struct {
	steps     []protocol.ConfigurationStep
	bytes     int    // summed size of the steps' bodies
	baseIndex uint64 // index of the version that the steps apply to; 0: nothing is logged
}

// add logs a step that has made a new current version.
func (l *changeLog) add(step protocol.ConfigurationStep) {
	if !step.Patch { // followers get the whole document, so no earlier step is needed
		*l = changeLog{baseIndex: step.Index}
		return
	}
	l.steps = append(l.steps, step)
	l.bytes += len(step.Body)
	for len(l.steps) > maxLoggedSteps || l.bytes > maxLoggedBytes {
		l.baseIndex = l.steps[0].Index
		l.bytes -= len(l.steps[0].Body)
		l.steps = slices.Delete(l.steps, 0, 1)
	}
}

// since returns the steps from the version at an index to the current one. It returns false if they aren't all
// logged.
func (l *changeLog) since(index uint64) (steps []protocol.ConfigurationStep, found bool) {
	if l.baseIndex == 0 || index < l.baseIndex {
		return nil, false
	}
	if index == l.baseIndex {
		return slices.Clone(l.steps), true
	}
	at := slices.IndexFunc(l.steps, func(step protocol.ConfigurationStep) bool { return step.Index == index })
	if at < 0 {
		return nil, false
	}
	return slices.Clone(l.steps[at+1:]), true
}

// UpdateSince returns the update from the version at an index to the current one: the logged steps if they reach back
// to that version, otherwise the whole document. It returns nil if there is no newer version.
func (s *State) UpdateSince(index uint64) *protocol.ConfigurationUpdate {
	if index >= s.current.Index {
		return nil
	}
	if steps, found := s.changes.since(index); found {
		return &protocol.ConfigurationUpdate{Index: s.current.Index, From: index, Steps: steps}
	}
	return &protocol.ConfigurationUpdate{Index: s.current.Index, Whole: s.current.JSON()}
}

// ErrGap is returned by ApplyUpdate if the steps of an update don't lead from the current version, or an older one,
// to the version of the update. The receiver must ask again with the index of its current version.
var ErrGap = errors.New("configuration: the update does not apply to the current version")

// ApplyUpdate applies an update from a control process, in a gateway or batch process. Updates to older versions
// change nothing. After an error the state is unchanged, and the caller must ask for another update: from the current
// version after ErrGap, or the whole document after any other error (Poll.Configuration 0).
func (s *State) ApplyUpdate(update *protocol.ConfigurationUpdate) (*Version, error) {
	if update.Index <= s.current.Index {
		return s.current, nil
	}
	if update.Whole != nil {
		version, err := ParseDocument(update.Whole, update.Index)
		if err != nil {
			return nil, err
		}
		s.current = version
		return version, nil
	}
	if update.From > s.current.Index || s.current.Index == 0 {
		return nil, ErrGap
	}
	next := s.current
	for _, step := range update.Steps {
		if step.Index <= next.Index {
			continue
		}
		version, err := next.next(step.Index, step.Patch, step.Body)
		if err != nil {
			return nil, err
		}
		next = version
	}
	if next.Index != update.Index {
		return nil, ErrGap
	}
	s.current = next
	return next, nil
}

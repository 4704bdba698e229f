package configuration

import (
	"errors"
	"slices"

	"sprucelane.example/sprucelane/internal/protocol"
)

// Steps are kept so that who is a little behind gets only what is new.
const (
	maxLoggedSteps = 512
	maxLoggedBytes = 2 << 20
)

// steps are the last changes, oldest first.
type changeLog struct {
	steps     []protocol.ConfigurationStep
	bytes     int
	baseIndex uint64 // index of the version that the first step applies to
}

func (s *changeLog) add(step protocol.ConfigurationStep) {
	if !step.Patch { // a whole document supersedes all before it, and is sent as such
		*s = changeLog{baseIndex: step.Index}
		return
	}
	s.steps = append(s.steps, step)
	s.bytes += len(step.Body)
	for len(s.steps) > maxLoggedSteps || s.bytes > maxLoggedBytes {
		s.baseIndex = s.steps[0].Index
		s.bytes -= len(s.steps[0].Body)
		s.steps = slices.Delete(s.steps, 0, 1)
	}
}

// Since gives what leads from the version with an index to the current one: nil where that is the current one or a later one, steps where
// they are kept and shorter, and else the whole document.
func (s *State) UpdateSince(index uint64) *protocol.ConfigurationUpdate {
	if index >= s.current.Index {
		return nil
	}
	if steps, kept := s.changes.since(index); kept {
		return &protocol.ConfigurationUpdate{Index: s.current.Index, From: index, Steps: steps}
	}
	return &protocol.ConfigurationUpdate{Index: s.current.Index, Whole: s.current.JSON()}
}

func (s *changeLog) since(index uint64) ([]protocol.ConfigurationStep, bool) {
	if s.baseIndex == 0 || index < s.baseIndex {
		return nil, false
	}
	if index == s.baseIndex {
		return slices.Clone(s.steps), true
	}
	at := slices.IndexFunc(s.steps, func(step protocol.ConfigurationStep) bool { return step.Index == index })
	if at < 0 {
		return nil, false
	}
	return slices.Clone(s.steps[at+1:]), true
}

// ErrGap tells that an update doesn't follow the version held: it must be asked for with the version held.
var ErrGap = errors.New("configuration: the update does not follow the version held")

// Follow brings a state that follows control's up to an update, for gateways and batch processes. Older updates change
// nothing. With ErrGap, and with any other error, the state is as it was; ask again, after an other error for the whole
// document (Poll.Configuration 0).
func (s *State) ApplyUpdate(update *protocol.ConfigurationUpdate) (*Version, error) {
	if update.Index <= s.current.Index {
		return s.current, nil
	}
	if update.Whole != nil {
		return s.replaceDocument(update.Whole, update.Index)
	}
	if update.From > s.current.Index || s.current.Index == 0 {
		return nil, ErrGap
	}
	next := s.current
	for _, step := range update.Steps {
		if step.Index <= next.Index {
			continue
		}
		version, err := next.step(step)
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

// ApplyStep brings the state one step further. The step must follow the version held.
func (s *State) ApplyStep(step protocol.ConfigurationStep) (*Version, error) {
	if step.Index <= s.current.Index {
		return s.current, nil
	}
	next, err := s.current.step(step)
	if err != nil {
		return nil, err
	}
	s.current = next
	return next, nil
}

func (v *Version) step(step protocol.ConfigurationStep) (*Version, error) {
	if !step.Patch {
		return ParseDocument(step.Body, step.Index)
	}
	patch, err := ParsePatch(step.Body)
	if err != nil {
		return nil, err
	}
	return v.Apply(patch, step.Index)
}

func (s *State) replaceDocument(whole []byte, index uint64) (*Version, error) {
	version, err := ParseDocument(whole, index)
	if err != nil {
		return nil, err
	}
	s.current = version
	return version, nil
}

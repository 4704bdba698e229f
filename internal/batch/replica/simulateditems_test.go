package replica

import (
	"fmt"
	"strings"
	"time"

	"sprucelane.example/sprucelane/internal/batch/job"
)

// This file runs items at a simulated store. Each item has some events, which are saved as they occur; a run that is
// restarted resumes after the last saved event.

// itemEvents is the number of events of an item.
const itemEvents = 3

// jobRun contains the running items of a batch job, until the batch job is stopped.
type jobRun struct {
	items map[int]bool
}

// Start runs a batch job's items.
func (s *simulatedStore) Start(id string) {
	if s.idle {
		return
	}
	if s.running[id] == nil {
		s.running[id] = &jobRun{items: map[int]bool{}}
	}
	run := s.running[id]
	s.later(time.Millisecond, func() { s.runAll(id, run) })
}

// Stop ends the run of a batch job's items.
func (s *simulatedStore) Stop(id string) { delete(s.running, id) }

func (s *simulatedStore) runAll(id string, run *jobRun) {
	if s.running[id] != run {
		return
	}
	work, ok := s.machine.Work(id)
	if !ok {
		return
	}
	for _, item := range work.Items {
		if run.items[item.Index] {
			continue
		}
		run.items[item.Index] = true
		if lines, ok := s.eventsOf(id, item); ok {
			s.later(s.sim.randomDuration(0, 200*time.Millisecond), func() { s.runItem(id, run, item.Index, lines) })
		}
	}
}

// eventsOf reads the events of an item that an earlier incarnation of the process saved.
func (s *simulatedStore) eventsOf(id string, item JobItem) (lines []string, ok bool) {
	encoded, err := s.Read(item.At)
	if err != nil {
		s.sim.fail("%s: item %d of %s can't be read: %v", s.node, item.Index, id, err)
		return nil, false
	}
	if decoded, err := job.DecodeItem(encoded); err != nil || decoded.ID != s.sim.clients.jobs[id].items[item.Index].ID {
		s.sim.fail("%s: item %d of %s is %q, %v", s.node, item.Index, id, decoded.ID, err)
	}
	for _, at := range item.Events {
		line, err := s.Read(at)
		if err != nil {
			s.sim.fail("%s: an event of item %d of %s can't be read: %v", s.node, item.Index, id, err)
			return nil, false
		}
		lines = append(lines, string(line))
	}
	if item.Last >= 0 && int(item.Last) != len(lines) {
		s.sim.fail("%s: item %d of %s: %d events saved, the last has id %d", s.node, item.Index, id, len(lines), item.Last)
	}
	return lines, true
}

func (s *simulatedStore) runItem(id string, run *jobRun, index int, lines []string) {
	if s.running[id] != run {
		return
	}
	if !s.machine.MayRun(id, index) {
		s.later(300*time.Millisecond, func() { s.runItem(id, run, index, lines) })
		return
	}
	if s.givenUp(id) {
		s.finishItem(id, run, index, job.DeadLetter, "")
		return
	}
	s.sim.clients.itemStarted(s, id)
	s.nextEvent(id, run, index, lines)
}

// nextEvent saves the item's next event after a delay, or finishes the item after the last one.
func (s *simulatedStore) nextEvent(id string, run *jobRun, index int, lines []string) {
	if s.running[id] != run {
		return
	}
	if len(lines) == itemEvents {
		s.sim.clients.jobs[id].done[index] = true
		s.finishItem(id, run, index, job.Completed, strings.Join(lines, "\n"))
		return
	}
	s.later(s.sim.randomDuration(20*time.Millisecond, 300*time.Millisecond), func() {
		if s.running[id] != run {
			return
		}
		after := int64(len(lines))
		if after == 0 {
			after = -1
		}
		line := fmt.Sprintf("%s/%d event %d by %s at %d", id, index, len(lines)+1, s.node, s.sim.now)
		lines := append(lines[:len(lines):len(lines)], line)
		s.machine.SaveProgress(id, index, after, int64(len(lines)), [][]byte{[]byte(line)})
		s.nextEvent(id, run, index, lines)
	})
}

// givenUp reports whether a batch job's items have exceeded their lifetime by this store's clock, as the runner decides
// it.
func (s *simulatedStore) givenUp(id string) bool {
	work, ok := s.machine.Work(id)
	age := time.Duration(s.WallClock()-work.FirstSent) * time.Millisecond
	return ok && age > s.sim.itemLifetime+maxClockSkew
}

// finishItem lists an item's result as soon as the state machine accepts it.
func (s *simulatedStore) finishItem(id string, run *jobRun, index int, state job.State, text string) {
	if s.running[id] == run && !s.machine.Finish(id, index, state, []byte(text)) {
		s.later(200*time.Millisecond, func() { s.finishItem(id, run, index, state, text) })
	}
}

// isCompleteText reports whether a text is the complete output of an item: each of its events once, in order.
func isCompleteText(text, id string, index int) bool {
	lines := strings.Split(text, "\n")
	if len(lines) != itemEvents {
		return false
	}
	for i, line := range lines {
		if !strings.HasPrefix(line, fmt.Sprintf("%s/%d event %d by ", id, index, i+1)) {
			return false
		}
	}
	return true
}

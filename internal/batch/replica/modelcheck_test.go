package replica

import (
	"fmt"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/batch/wal"
	"sprucelane.example/sprucelane/internal/protocol"
)

// What the model checks after each step.

const modelDataLost = "no surviving copy of the highest version holds all that was acknowledged"

// check checks all stores.
func (w *modelCluster) check() {
	if w.toleratesLoss() {
		w.allowedLosses = w.copies - 1
	}
	runs := ""
	for _, s := range w.stores {
		if !s.up || s.paused {
			continue
		}
		if w.mayRun(s) {
			if runs != "" {
				w.fail("%s and %s may both run items", runs, s.node)
			}
			runs = s.node
		}
		w.read(s)
	}
	w.audit()
}

// mayRun reports whether a store owns the batch job and may act on it.
func (w *modelCluster) mayRun(s *modelStore) bool {
	j := s.machine.jobs[modelJob]
	return j != nil && s.machine.MayAct() && j.owned && j.replicated && !j.ended && len(j.handoverReplicas) == 0
}

// read reads at the owner what it hasn't shown in this incarnation yet.
func (w *modelCluster) read(s *modelStore) {
	j := s.machine.jobs[modelJob]
	if j == nil || !j.owned || !j.replicated || !s.machine.MayAct() {
		return
	}
	if j.committedResults > s.shown || w.client.ended != j.ended {
		s.shown = j.committedResults
		w.seeAll(s, j)
	}
}

func (w *modelCluster) seeAll(s *modelStore, j *storedJob) {
	if w.client.ended && !j.ended {
		w.fail("%s serves an ended batch job as open", s.node)
	}
	if j.committedResults < len(w.client.seen) && j.ended {
		w.fail("%s shows %d results of an ended batch job, %d were", s.node, j.committedResults, len(w.client.seen))
	}
	for position := range j.committedResults {
		result, ok := s.machine.result(j, position)
		if !ok {
			w.fail("%s can't read what it shows", s.node)
			return
		}
		text := fmt.Sprintf("item %d: %s", result.Item, result.Text)
		switch {
		case position < len(w.client.seen) && w.client.seen[position] != text:
			w.fail("%s shows %q at %d, %q was", s.node, text, position, w.client.seen[position])
		case position == len(w.client.seen):
			w.client.seen = append(w.client.seen, text)
		}
	}
}

// audit checks that what was acknowledged is on a surviving copy of the highest version.
func (w *modelCluster) audit() {
	if !w.client.accepted {
		return
	}
	var highest Version
	for _, s := range w.stores {
		if held := s.durableCopy(); held != nil {
			highest = max(highest, held.version)
		}
	}
	for _, s := range w.stores {
		held := s.durableCopy()
		if held != nil && held.version == highest && len(held.results) >= len(w.client.seen) &&
			slices.Equal(held.results[:len(w.client.seen)], w.client.seen) && (held.ended || !w.client.ended) {
			return
		}
	}
	w.fail(modelDataLost)
}

// durableCopy reads what is durable on the store's disk.
func (s *modelStore) durableCopy() *diskCopy {
	if s.audited == s.durable {
		return s.audit
	}
	options := Options{Self: s.process(), ReplicationFactor: s.model.copies, Retention: time.Hour}
	m := New(options, &modelStore{model: s.model})
	for i, record := range s.disk[:s.durable] {
		_ = m.Replay(wal.Location{Segment: uint32(i), Length: uint32(len(record))}, record)
	}
	s.audited, s.audit = s.durable, nil
	if j := m.jobs[modelJob]; j != nil {
		s.audit = &diskCopy{version: j.version, ended: j.endedDurable}
		for _, result := range j.results {
			text, _ := s.Read(result.at)
			s.audit.results = append(s.audit.results, fmt.Sprintf("item %d: %s", result.item, text))
		}
	}
	return s.audit
}

// checkEnd checks that the run came to its end.
func (w *modelCluster) checkEnd() {
	if !w.done() {
		w.fail("not done %d rounds after the last fault: accepted %v, shown %d, ended %v",
			modelMaxRounds, w.client.accepted, len(w.client.seen), w.client.ended)
	}
}

// retire asks for a store to be drained, if enough others are up and remain.
func (w *modelCluster) retire(s *modelStore) bool {
	members := slices.Clone(w.view.Members)
	at := slices.IndexFunc(members, func(m protocol.StoreMember) bool { return m.Process == s.process() })
	active := 0
	for _, member := range members {
		if s := w.storeOf(placement.KeyOf(member.Process)); member.State == protocol.StoreActive && s != nil && s.up {
			active++
		}
	}
	if at < 0 || members[at].State != protocol.StoreActive || active <= w.copies {
		return false
	}
	members[at].State = protocol.StoreRetiring
	w.changeMembers(members, "retires "+s.node)
	return true
}

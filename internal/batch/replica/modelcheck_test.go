package replica

import (
	"fmt"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/batch/wal"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file contains the checks of the model after each step.

const modelDataLost = "no surviving copy of the highest version holds all that was acknowledged"

// check checks, after each step, that at most one store may run items, and that no acknowledged data is lost.
func (sim *modelCluster) check() {
	if sim.toleratesLoss() {
		sim.allowedLosses = sim.replicationFactor - 1
	}
	runs := ""
	for _, s := range sim.stores {
		if !s.up || s.paused {
			continue
		}
		if sim.mayRun(s) {
			if runs != "" {
				sim.fail("%s and %s may both run items", runs, s.node)
			}
			runs = s.node
		}
		sim.read(s)
	}
	sim.audit()
}

// mayRun reports whether a store owns the batch job and may act on it.
func (sim *modelCluster) mayRun(s *modelStore) bool {
	j := s.machine.jobs[modelJob]
	return j != nil && s.machine.MayAct() && j.owned && j.replicated && !j.ended && len(j.handoverReplicas) == 0
}

// read reads, at an owner, the results and the end that it hasn't shown in this incarnation yet.
func (sim *modelCluster) read(s *modelStore) {
	j := s.machine.jobs[modelJob]
	if j == nil || !j.owned || !j.replicated || !s.machine.MayAct() {
		return
	}
	if j.committedResults > s.shown || sim.client.ended != j.ended {
		s.shown = j.committedResults
		sim.checkShown(s, j)
	}
}

// checkShown checks the results and the end that a store shows against those that were shown before.
func (sim *modelCluster) checkShown(s *modelStore, j *storedJob) {
	if sim.client.ended && !j.ended {
		sim.fail("%s serves an ended batch job as open", s.node)
	}
	if j.committedResults < len(sim.client.seen) && j.ended {
		sim.fail("%s shows %d results of an ended batch job, %d were shown before",
			s.node, j.committedResults, len(sim.client.seen))
	}
	for position := range j.committedResults {
		result, ok := s.machine.result(j, position)
		if !ok {
			sim.fail("%s shows a result that it can't read", s.node)
			return
		}
		text := fmt.Sprintf("item %d: %s", result.Item, result.Text)
		switch {
		case position < len(sim.client.seen) && sim.client.seen[position] != text:
			sim.fail("%s shows %q at position %d, %q was shown before", s.node, text, position, sim.client.seen[position])
		case position == len(sim.client.seen):
			sim.client.seen = append(sim.client.seen, text)
		}
	}
}

// audit checks that a surviving copy of the highest version holds all that was acknowledged.
func (sim *modelCluster) audit() {
	if !sim.client.accepted {
		return
	}
	var highest Version
	for _, s := range sim.stores {
		if held := s.durableCopy(); held != nil {
			highest = max(highest, held.version)
		}
	}
	for _, s := range sim.stores {
		held := s.durableCopy()
		if held != nil && held.version == highest && len(held.results) >= len(sim.client.seen) &&
			slices.Equal(held.results[:len(sim.client.seen)], sim.client.seen) && (held.ended || !sim.client.ended) {
			return
		}
	}
	sim.fail(modelDataLost)
}

// durableCopy returns the durable copy on the store's disk, nil if there is none.
func (s *modelStore) durableCopy() *diskCopy {
	if s.audited == s.durable {
		return s.audit
	}
	options := Options{Self: s.process(), ReplicationFactor: s.model.replicationFactor, Retention: time.Hour}
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

// checkEnd checks that the run is done.
func (sim *modelCluster) checkEnd() {
	if !sim.done() {
		sim.fail("not done %d rounds after the last fault: accepted %v, shown %d, ended %v",
			modelMaxRounds, sim.client.accepted, len(sim.client.seen), sim.client.ended)
	}
}

// retire makes a store retire, if enough other active stores are up. It reports whether it did.
func (sim *modelCluster) retire(s *modelStore) bool {
	members := slices.Clone(sim.view.Members)
	at := slices.IndexFunc(members, func(m protocol.StoreMember) bool { return m.Process == s.process() })
	active := 0
	for _, member := range members {
		if s := sim.storeOf(placement.KeyOf(member.Process)); member.State == protocol.StoreActive && s != nil && s.up {
			active++
		}
	}
	if at < 0 || members[at].State != protocol.StoreActive || active <= sim.replicationFactor {
		return false
	}
	members[at].State = protocol.StoreRetiring
	sim.changeMembers(members, "retires "+s.node)
	return true
}

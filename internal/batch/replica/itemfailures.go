package replica

// How often did servers fail an item, over all stores that have owned its batch job?
//
// An item may fail a number of times and is given up then (BUDGET). The owner counts, and a batch job may change its
// owner in between. So the owner sends its replicas each count with what it replicates anyway, and a new owner takes
// the highest counts that its replicas know of before it runs anything (onFullyReplicated follows their responses).
//
// The counts are in memory only. A loss of power at all replicas of a batch job at once forgets them: its items may
// then fail as often again.

// Failures counts the answers of servers that an item failed.
type Failures struct {
	Count         int  // answers of 500
	Unprocessable bool // an answer of 422
}

// merge returns the higher of two counts of one item.
func (f Failures) merge(other Failures) Failures {
	return Failures{Count: max(f.Count, other.Count), Unprocessable: f.Unprocessable || other.Unprocessable}
}

// RecordFailures takes in how often an item that runs here has failed so far, and tells the replicas.
func (m *StateMachine) RecordFailures(id string, index int, failures Failures) {
	j := m.jobs[id]
	if j == nil || index >= len(j.items) || j.items[index].finished {
		return
	}
	if j.mergeFailures([]ItemFailures{{Item: index, Failures: failures}}) && j.owned {
		m.replicateJob(j)
	}
}

// mergeFailures takes in counts, and reports whether one was higher than what is known. Items that have results are
// passed over.
func (j *storedJob) mergeFailures(list []ItemFailures) (changed bool) {
	for _, one := range list {
		if one.Item < 0 || one.Item >= len(j.items) || j.items[one.Item].finished {
			continue
		}
		merged := j.failures[one.Item].merge(one.Failures)
		if merged == j.failures[one.Item] {
			continue
		}
		if j.failures == nil {
			j.failures = map[int]Failures{}
		}
		j.failures[one.Item] = merged
		j.failuresVersion++
		changed = true
	}
	return changed
}

// listFailures returns the counts of unfinished items, in the order of the items.
func (j *storedJob) listFailures() []ItemFailures {
	if len(j.failures) == 0 {
		return nil
	}
	var list []ItemFailures
	for index := range j.items {
		if failures, failed := j.failures[index]; failed && !j.items[index].finished {
			list = append(list, ItemFailures{Item: index, Failures: failures})
		}
	}
	return list
}

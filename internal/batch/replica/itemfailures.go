package replica

// This file counts how often servers failed an item, over all stores that have owned its batch job.
//
// An item that has failed a certain number of times (BUDGET) is not tried again. The owner counts the failures, and
// the owner of a batch job may change in between. Therefore the owner includes each count in the requests that it sends
// to its replicas, and a new owner adopts the highest counts that its replicas know of before it runs any item
// (onFullyReplicated is called only after their responses).
//
// The counts are in memory only. If all replicas of a batch job lose power at once, the counts are lost, and its items
// may fail as often again.

// Failures counts the answers of servers that an item failed.
type Failures struct {
	Count         int  // number of answers with status 500
	Unprocessable bool // a server answered with status 422
}

// Merge returns the higher of two counts of one item.
func (f Failures) Merge(other Failures) Failures {
	return Failures{Count: max(f.Count, other.Count), Unprocessable: f.Unprocessable || other.Unprocessable}
}

// RecordFailures records how often an item that runs here has failed so far, and sends the count to the replicas.
func (m *StateMachine) RecordFailures(id string, index int, failures Failures) {
	j := m.jobs[id]
	if j == nil || index >= len(j.items) || j.items[index].finished {
		return
	}
	if j.mergeFailures([]ItemFailures{{Item: index, Failures: failures}}) && j.owned {
		m.replicateJob(j)
	}
}

// mergeFailures merges counts into the known ones, and reports whether a known count rose. Items that have results are
// skipped.
func (j *storedJob) mergeFailures(list []ItemFailures) (changed bool) {
	for _, one := range list {
		if one.Item < 0 || one.Item >= len(j.items) || j.items[one.Item].finished {
			continue
		}
		merged := j.failures[one.Item].Merge(one.Failures)
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

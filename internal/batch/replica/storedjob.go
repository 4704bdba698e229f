package replica

import (
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/batch/queuedtokens"
	"sprucelane.example/sprucelane/internal/batch/wal"
	"sprucelane.example/sprucelane/internal/protocol"
)

// What does a store hold of a batch job?

// Version orders the replica sets of a batch job. Its high bits are the epoch in which the set was chosen,
// its low versionBits a number within that epoch.
type Version uint64

// versionBits is the number of low bits that count replica sets within an epoch.
const versionBits = 16

// versionOf returns the version with a number within an epoch.
func versionOf(epoch uint64, number uint64) Version { return Version(epoch<<versionBits | number) }

// epoch returns the epoch in which the replica set was chosen.
func (v Version) epoch() uint64 { return uint64(v) >> versionBits }

// next returns a version of an epoch that is above this one.
func (v Version) next(epoch uint64) Version {
	if v.epoch() >= epoch {
		return v + 1
	}
	return versionOf(epoch, 0)
}

// storedJob is a batch job that this store holds. Request bodies and result texts are in its log; the memory
// has their locations.
type storedJob struct {
	id, tenant, route string
	firstSent         int64 // Unix milliseconds of its first submission
	version           Version
	replicas          []protocol.Process // the owner is the first
	contentAt         wal.Location
	previousAt        *wal.Location // content of the copy that this one replaces, until this one is durable
	items             []storedItem
	queuedTokens      int64 // of unfinished items
	results           []storedResult
	durableResults    int  // of results, durable here
	versionDurable    bool // the present version is durable here
	ended             bool // a client ended it
	endedDurable      bool
	corrupt           bool          // some records can't be used: results is a sound prefix
	superseded        bool          // a higher version exists, by the inventories of the epoch
	releasable        bool          // ... and its owner confirmed in this epoch that all of its replicas hold it
	ownerQueriedAt    time.Duration // when that was asked last

	// What an owner knows and does. The first field says whether this store is the owner in
	// the present epoch.
	owned bool
	// replicated: all replicas have reported a copy of the present version. Clients are served and items run
	// from then on. It stays set while a replica whose process restarted has yet to report again;
	// isFullyReplicated is exact.
	replicated        bool
	committedResults  int // of results, durable on all replicas; only these are shown
	peers             []peer
	replaced          []protocol.Process // left the set in this epoch, and may not know that their copies are superseded
	content           []byte             // encoded, in memory until it is replicated
	uncommitted       map[int]*Result    // by position, in memory until they are committed
	notifyReplacedAt  time.Duration      // when those of replaced are told next
	handoverReplicas  []protocol.Process // the set to hand over to, while this store retires
	replaceReplicasAt time.Duration      // when replicas that haven't confirmed a new batch job are replaced; 0 for never
	// capacityUnconfirmed: ownership fell to this store, and the account's counter has not confirmed since that
	// the account is within its limit.
	capacityUnconfirmed bool

	handedOver bool // this store retires, and the successor's set is fully replicated

	progress map[int]Progress // by item, from an earlier incarnation of the process

	failures        map[int]Failures // by item; at replicas as the owner has sent them
	failuresVersion uint64           // counts the changes of failures

	pendingReads       []pendingRead
	pendingSubmissions []CallID // answered once it is on all replicas
	pendingEnds        []CallID
}

// storedItem is one request of a batch job.
type storedItem struct {
	id       string
	span     job.Span // of its encoding within the content
	tokens   int      // of the prompt, and the most that may be generated
	finished bool     // it has a result
}

// storedResult is one result; its text is in the log.
type storedResult struct {
	item  int32 // index
	state job.State
	at    wal.Location // of the text
}

// peer is what an owner knows of another member of the replica set.
type peer struct {
	process        protocol.Process
	reported       bool // the next three are known; until then it is asked for them
	hasCopy        bool // it has the present version on its disk
	durableResults int  // durable there
	ended          bool
	failuresSent   uint64 // storedJob.failuresVersion of the last message
	failuresKnown  uint64 // of the last one that was answered
	awaitsResponse bool   // to the message of sentAt
	sentAt         time.Duration
	copySentAt     time.Duration // a full copy was handed over
}

// pendingRead waits for results from a position on.
type pendingRead struct {
	callID   CallID
	start    int
	deadline time.Duration
}

// newStoredJob decodes the content of a batch job, which is in the log at a location.
func newStoredJob(encoded []byte, at wal.Location) (*storedJob, error) {
	content, spans, err := job.Decode(encoded)
	if err != nil {
		return nil, err
	}
	j := &storedJob{
		id: content.ID, tenant: content.Tenant, route: content.Route, firstSent: content.FirstSent,
		contentAt: at,
		items:     make([]storedItem, len(spans)),
	}
	for i := range spans {
		j.items[i] = storedItem{id: content.Items[i].ID, span: spans[i], tokens: content.Items[i].Tokens}
		j.queuedTokens += int64(content.Items[i].Tokens)
	}
	return j, nil
}

// putJob stores a batch job, in place of an earlier copy.
func (m *StateMachine) putJob(j *storedJob) {
	if old := m.jobs[j.id]; old != nil {
		m.jobsInOrder[slices.Index(m.jobsInOrder, old)] = j
	} else {
		m.jobsInOrder = append(m.jobsInOrder, j)
	}
	m.jobs[j.id] = j
}

// removeJob forgets a batch job.
func (m *StateMachine) removeJob(id string) {
	j := m.jobs[id]
	if j == nil {
		return
	}
	delete(m.jobs, id)
	m.jobsInOrder = slices.DeleteFunc(m.jobsInOrder, func(other *storedJob) bool { return other == j })
}

// appendResult adds a result at the next position. An item has at most one result.
func (j *storedJob) appendResult(result storedResult) {
	if j.items[result.item].finished {
		panic("replica: an item at two positions")
	}
	j.markFinished(int(result.item))
	delete(j.progress, int(result.item))
	j.results = append(j.results, result)
}

// markFinished notes that an item isn't queued any more.
func (j *storedJob) markFinished(index int) {
	item := &j.items[index]
	if !item.finished {
		item.finished = true
		j.queuedTokens -= int64(item.tokens)
	}
}

// acceptsResult reports whether a result is of an existing item that has none yet.
func (j *storedJob) acceptsResult(result storedResult) bool {
	return result.item >= 0 && int(result.item) < len(j.items) && !j.items[result.item].finished
}

// allFinished reports whether all items have results.
func (j *storedJob) allFinished() bool { return len(j.results) == len(j.items) }

// isClosed reports whether a client ended the batch job, or all items are finished.
func (j *storedJob) isClosed() bool { return j.ended || j.allFinished() }

// closedOnAllReplicas reports whether all replicas are known to know that the batch job is closed.
func (j *storedJob) closedOnAllReplicas() bool {
	copied, results, ended := j.onAllReplicas()
	return copied && (ended || results == len(j.items))
}

// account returns the account that limits the batch job's queued tokens.
func (j *storedJob) account() queuedtokens.Account {
	return queuedtokens.Account{Tenant: j.tenant, Route: j.route}
}

// peer returns what is known of a replica, or nil for a store that isn't one.
func (j *storedJob) peer(key placement.Key) *peer {
	for i := range j.peers {
		if placement.KeyOf(j.peers[i].process) == key {
			return &j.peers[i]
		}
	}
	return nil
}

// setReplicas installs a replica set of which self is the owner. Nothing is known of the others yet. Those that
// leave the set may have a copy, or write one later: they are to learn that it is superseded.
func (j *storedJob) setReplicas(version Version, replicas []protocol.Process, self placement.Key) {
	former := append(j.replaced, j.replicas...)
	j.replaced = nil
	for _, replica := range former {
		key := placement.KeyOf(replica)
		if key != self && !placement.Contains(replicas, key) && !placement.Contains(j.replaced, key) {
			j.replaced = append(j.replaced, replica)
		}
	}
	j.version, j.replicas = version, replicas
	j.peers = nil
	for _, replica := range replicas {
		if placement.KeyOf(replica) != self {
			j.peers = append(j.peers, peer{process: replica})
		}
	}
	j.replicated = false
}

// assumePeersEmpty notes that no peer holds a copy, so that they needn't be asked.
func (j *storedJob) assumePeersEmpty() {
	for i := range j.peers {
		j.peers[i].reported = true
	}
}

// awaitsRelease reports whether this copy is superseded, and its owner has not confirmed yet that the newer
// version is fully replicated.
func (j *storedJob) awaitsRelease() bool { return j.superseded && !j.owned && !j.releasable }

// oldestLocation returns the first location in the log that this copy, or the one that it replaces, needs.
func (j *storedJob) oldestLocation() *wal.Location {
	if j.previousAt != nil {
		return j.previousAt
	}
	at := j.contentAt
	return &at
}

// isFullyReplicated reports whether all replicas are known to hold a copy now, with all committed results.
func (j *storedJob) isFullyReplicated() bool {
	copied, results, _ := j.onAllReplicas()
	return j.replicated && copied && results >= j.committedResults
}

// onAllReplicas returns what is durable on all replicas: the content, a number of results, the end.
func (j *storedJob) onAllReplicas() (copied bool, results int, ended bool) {
	copied, results, ended = j.versionDurable, j.durableResults, j.endedDurable
	for i := range j.peers {
		p := &j.peers[i]
		copied = copied && p.reported && p.hasCopy
		if !p.reported || !p.hasCopy {
			results, ended = 0, false
			continue
		}
		results = min(results, p.durableResults)
		ended = ended && p.ended
	}
	return copied, results, ended
}

// progressOfItem returns what an earlier incarnation of the process kept of an item's output.
func (j *storedJob) progressOfItem(index int) Progress {
	if known, started := j.progress[index]; started {
		return known
	}
	return Progress{Last: -1}
}

// itemLocation returns the location of an item's encoding.
func (j *storedJob) itemLocation(index int) wal.Location {
	return j.contentAt.Part(j.items[index].span.Offset, j.items[index].span.Length)
}

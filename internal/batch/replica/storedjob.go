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

// This file contains a batch job as a store holds it, in memory and by its locations in the log.

// Version orders the replica sets of a batch job. Its high bits are the epoch in which the set was chosen, its low
// versionBits bits a number within that epoch.
type Version uint64

// versionBits is the number of low bits that count replica sets within an epoch.
const versionBits = 16

// versionOf returns the version with the given number within an epoch.
func versionOf(epoch uint64, number uint64) Version { return Version(epoch<<versionBits | number) }

// epoch returns the epoch in which the replica set was chosen.
func (v Version) epoch() uint64 { return uint64(v) >> versionBits }

// next returns a higher version, for a set that is chosen in the given epoch.
func (v Version) next(epoch uint64) Version {
	if v.epoch() >= epoch {
		return v + 1
	}
	return versionOf(epoch, 0)
}

// storedJob is a batch job that this store holds. Request bodies and result texts are in the store's log; storedJob
// has only their locations.
type storedJob struct {
	id, tenant, route string
	firstSent         int64 // Unix milliseconds of its first submission
	version           Version
	replicas          []protocol.Process // the owner is the first
	contentAt         wal.Location
	previousAt        *wal.Location // content of the copy that this one replaces, until this one is durable
	items             []storedItem
	queuedTokens      int64 // tokens of unfinished items
	results           []storedResult
	durableResults    int  // number of leading results that are durable here
	versionDurable    bool // the present version is durable here
	ended             bool // a client ended the batch job
	endedDurable      bool
	corrupt           bool          // some records can't be used: results is a sound prefix
	superseded        bool          // a higher version exists, by the inventories of the epoch or a notice of the owner
	releasable        bool          // superseded, and the owner confirmed in this epoch that all its replicas hold it
	ownerQueriedAt    time.Duration // when the owner was last asked about this copy

	// The state that only an owner has. owned reports whether this store is the owner in the present epoch.
	owned bool
	// replicated: all replicas have reported a copy of the present version. Clients are served and items run from
	// then on. It stays set while a replica whose process restarted has yet to report again; isFullyReplicated takes
	// such replicas into account.
	replicated        bool
	committedResults  int // number of leading results that are durable on all replicas; only these are shown
	peers             []peer
	replaced          []protocol.Process // left the set in this epoch, and may not know that their copies are superseded
	content           []byte             // encoded content, in memory until the batch job is replicated
	uncommitted       map[int]*Result    // results by position, in memory until they are committed
	notifyReplacedAt  time.Duration      // when the stores in replaced are notified next
	handoverReplicas  []protocol.Process // the set to hand over to, while this store retires
	replaceReplicasAt time.Duration      // when replicas that haven't confirmed a new batch job are replaced; 0 for never
	// capacityUnconfirmed: this store became the owner of an existing batch job, and since then the account's counter
	// has not confirmed that the account is within its limit.
	capacityUnconfirmed bool

	handedOver bool // this store retires, and the batch job is fully replicated by the successor's set

	progress map[int]Progress // by item, from an earlier incarnation of the process

	failures        map[int]Failures // by item; replicas have the counts that the owner has sent
	failuresVersion uint64           // number of changes of failures

	pendingReads       []pendingRead
	pendingSubmissions []CallID // answered once the batch job is on all replicas and within its account's limit
	pendingEnds        []CallID
}

// storedItem is one request of a batch job.
type storedItem struct {
	id       string
	span     job.Span // position of its encoding within the content
	tokens   int      // tokens of the prompt plus the maximum number that may be generated
	finished bool     // the item has a result
}

// storedResult is one result, whose text is in the log.
type storedResult struct {
	item  int32 // index in the batch job
	state job.State
	at    wal.Location // location of the text
}

// peer is an owner's knowledge of another member of the replica set. durableResults and ended are what is durable at
// that member.
type peer struct {
	process        protocol.Process
	reported       bool // hasCopy, durableResults and ended are known; until then the peer is asked for them
	hasCopy        bool // the peer has the present version on its disk
	durableResults int  // number of results that are durable at the peer
	ended          bool
	failuresSent   uint64 // storedJob.failuresVersion when the last message was sent
	failuresKnown  uint64 // storedJob.failuresVersion of the last message that was answered
	awaitsResponse bool   // the message sent at sentAt has not been answered
	sentAt         time.Duration
	copySentAt     time.Duration // when a full copy was last sent in a handover
}

// pendingRead is a call that waits for results from a position on.
type pendingRead struct {
	callID   CallID
	start    int
	deadline time.Duration
}

// newStoredJob decodes the content of a batch job, whose location in the log is at.
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

// putJob adds a batch job, or replaces an earlier copy of it.
func (m *StateMachine) putJob(j *storedJob) {
	if old := m.jobs[j.id]; old != nil {
		m.jobsInOrder[slices.Index(m.jobsInOrder, old)] = j
	} else {
		m.jobsInOrder = append(m.jobsInOrder, j)
	}
	m.jobs[j.id] = j
}

// removeJob removes a batch job from memory.
func (m *StateMachine) removeJob(id string) {
	j := m.jobs[id]
	if j == nil {
		return
	}
	delete(m.jobs, id)
	m.jobsInOrder = slices.DeleteFunc(m.jobsInOrder, func(other *storedJob) bool { return other == j })
}

// appendResult adds a result at the next position. It panics if the item already has a result.
func (j *storedJob) appendResult(result storedResult) {
	if j.items[result.item].finished {
		panic("replica: second result of an item that already has one")
	}
	j.markFinished(int(result.item))
	delete(j.progress, int(result.item))
	j.results = append(j.results, result)
}

// markFinished marks an item as finished and subtracts its tokens from the queued ones.
func (j *storedJob) markFinished(index int) {
	item := &j.items[index]
	if !item.finished {
		item.finished = true
		j.queuedTokens -= int64(item.tokens)
	}
}

// acceptsResult reports whether a result belongs to an existing item that has no result yet.
func (j *storedJob) acceptsResult(result storedResult) bool {
	return result.item >= 0 && int(result.item) < len(j.items) && !j.items[result.item].finished
}

// allFinished reports whether all items have results.
func (j *storedJob) allFinished() bool { return len(j.results) == len(j.items) }

// isClosed reports whether a client ended the batch job, or all items are finished.
func (j *storedJob) isClosed() bool { return j.ended || j.allFinished() }

// closedOnAllReplicas reports whether all replicas have reported a copy that has the end or the results of all items.
func (j *storedJob) closedOnAllReplicas() bool {
	copied, results, ended := j.onAllReplicas()
	return copied && (ended || results == len(j.items))
}

// account returns the account that limits the batch job's queued tokens.
func (j *storedJob) account() queuedtokens.Account {
	return queuedtokens.Account{Tenant: j.tenant, Route: j.route}
}

// peer returns the peer with a key, or nil if that store isn't another member of the replica set.
func (j *storedJob) peer(key placement.Key) *peer {
	for i := range j.peers {
		if placement.KeyOf(j.peers[i].process) == key {
			return &j.peers[i]
		}
	}
	return nil
}

// setReplicas installs a replica set whose owner is self. Nothing is known of the other members yet. Stores that leave
// the set may have a copy, or write one later, and so have to be notified that it is superseded (replaced).
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

// assumePeersEmpty records that no peer holds a copy, so that the peers needn't be asked for their state.
func (j *storedJob) assumePeersEmpty() {
	for i := range j.peers {
		j.peers[i].reported = true
	}
}

// awaitsRelease reports whether this copy is superseded and the owner has not yet confirmed that the newer version is
// fully replicated.
func (j *storedJob) awaitsRelease() bool { return j.superseded && !j.owned && !j.releasable }

// oldestLocation returns the oldest location in the log that this copy needs, or the copy that it replaces while this
// one isn't durable.
func (j *storedJob) oldestLocation() *wal.Location {
	if j.previousAt != nil {
		return j.previousAt
	}
	at := j.contentAt
	return &at
}

// isFullyReplicated reports whether all replicas have reported a copy with all committed results. A replica whose
// process restarted has to report again.
func (j *storedJob) isFullyReplicated() bool {
	copied, results, _ := j.onAllReplicas()
	return j.replicated && copied && results >= j.committedResults
}

// onAllReplicas returns what is durable on all replicas: whether a copy of the present version is, the number of
// results, and whether the end is.
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

// progressOfItem returns the output of an item that an earlier incarnation of the process saved.
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

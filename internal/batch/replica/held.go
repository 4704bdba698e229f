package replica

import (
	"time"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/batch/wal"
	"sprucelane.example/sprucelane/internal/protocol"
)

// Version orders the replica sets of a batch job: the epoch in which one was chosen, and its number within that epoch.
type Version uint64

const versionBits = 16

func versionOf(epoch uint64, number uint64) Version { return Version(epoch<<versionBits | number) }

// next gives a version of an epoch that is above this one.
func (v Version) next(epoch uint64) Version {
	if uint64(v)>>versionBits >= epoch {
		return v + 1
	}
	return versionOf(epoch, 0)
}

// held is a batch job that this store keeps. Bodies and texts are on its disk.
type storedJob struct {
	id, tenant, route   string
	firstSent           int64 // Unix milliseconds
	version             Version
	replicas            []protocol.Process // the owner first
	contentAt           wal.Location
	previousAt          *wal.Location // the content of an earlier copy, until this one is durable
	items               []storedItem
	queuedTokens        int64 // tokens of items that are not listed
	results             []storedResult
	durableResults      int  // results on this disk
	versionDurable      bool // this version is on this disk
	ended, endedDurable bool
	corrupt             bool          // records of this copy could not be used; its results are a sound prefix
	superseded          bool          // there is a newer version, as the inventories of the epoch say
	releasable          bool          // ... whose owner has told in this epoch that all of its set hold it
	ownerQueriedAt      time.Duration // its owner was asked whether that is so

	owned            bool // this store owns it, in the present epoch
	replicated       bool // all replicas are known to hold it at this version
	committedResults int  // results that are on all replicas
	peers            []peer

	content          []byte             // encoded, until it is whole
	uncommitted      map[int]*Result    // results with their texts, until they are shown
	handoverReplicas []protocol.Process // the set to hand it over to, while this store retires
	handedOver       bool

	progress map[int]Progress // by item, from an earlier life of this process

	pendingReads        []pendingRead
	pendingSubmissions  []CallID
	capacityUnconfirmed bool          // it fell to this store, and the counter has not told since that all that waits is within the bound
	replaceReplicasAt   time.Duration // while it is being accepted: when peers that have not written it are replaced; 0: not
	pendingEnds         []CallID
}

type storedItem struct {
	id       string
	span     job.Span
	tokens   int // of the prompt and the most to come out
	finished bool
}

type storedResult struct {
	item  int32
	state job.State
	at    wal.Location // of the text
}

// peer is what an owner knows of another member of the replica set.
type peer struct {
	process        protocol.Process
	reported       bool // the rest is what it told
	hasCopy        bool
	results        int
	ended          bool
	awaitsResponse bool
	sentAt         time.Duration
	copySentAt     time.Duration // it was sent a whole copy
}

// reader waits for a result.
type pendingRead struct {
	callID   CallID
	start    int
	deadline time.Duration
}

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

// list adds a result at the next position.
func (j *storedJob) appendResult(result storedResult) {
	if j.items[result.item].finished {
		panic("replica: an item at two positions")
	}
	j.markFinished(int(result.item))
	delete(j.progress, int(result.item))
	j.results = append(j.results, result)
}

// markListed notes that an item waits no longer.
func (j *storedJob) markFinished(index int) {
	item := &j.items[index]
	if !item.finished {
		item.finished = true
		j.queuedTokens -= int64(item.tokens)
	}
}

// complete tells whether all items are listed.
func (j *storedJob) allFinished() bool { return len(j.results) == len(j.items) }

func (h *storedJob) peer(key placement.Key) *peer {
	for i := range h.peers {
		if placement.KeyOf(h.peers[i].process) == key {
			return &h.peers[i]
		}
	}
	return nil
}

// setReplicas takes a replica set of which self is the owner; nothing is known of the others.
func (j *storedJob) setReplicas(version Version, replicas []protocol.Process, self placement.Key) {
	j.version, j.replicas = version, replicas
	j.peers = nil
	for _, replica := range replicas {
		if placement.KeyOf(replica) != self {
			j.peers = append(j.peers, peer{process: replica})
		}
	}
	j.replicated = false
}

// awaitsOwner tells that this copy was left behind, and that it isn't known yet whether all of the newer set hold theirs.
func (j *storedJob) awaitsRelease() bool { return j.superseded && !j.owned && !j.releasable }

// oldest gives the first place in the log that this copy, or the one that it replaces, needs.
func (h *storedJob) oldestLocation() *wal.Location {
	if h.previousAt != nil {
		return h.previousAt
	}
	at := h.contentAt
	return &at
}

// stood tells whether all replicas are known to hold it with all that was shown.
func (j *storedJob) isFullyReplicated() bool {
	whole, shown, _ := j.onAllReplicas()
	return j.replicated && whole && shown >= j.committedResults
}

// standing gives what is on all replicas: the content, a count of results, the end.
func (j *storedJob) onAllReplicas() (whole bool, shown int, ended bool) {
	whole, shown, ended = j.versionDurable, j.durableResults, j.endedDurable
	for i := range j.peers {
		p := &j.peers[i]
		whole = whole && p.reported && p.hasCopy
		if !p.reported || !p.hasCopy {
			shown, ended = 0, false
			continue
		}
		shown = min(shown, p.results)
		ended = ended && p.ended
	}
	return whole, shown, ended
}

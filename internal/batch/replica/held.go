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
type held struct {
	id, tenant, route string
	firstSent         int64 // Unix milliseconds
	version           Version
	replicas          []protocol.Process // the owner first
	contentAt         wal.Location
	replaces          *wal.Location // the content of an earlier copy, until this one is durable
	items             []heldItem
	queued            int64 // tokens of items that are not listed
	results           []heldResult
	durable           int  // results on this disk
	copyDurable       bool // this version is on this disk
	ended, endDurable bool
	damaged           bool          // records of this copy could not be used; its results are a sound prefix
	behind            bool          // there is a newer version, as the inventories of the epoch say
	relieved          bool          // ... whose owner has told in this epoch that all of its set hold it
	askedAt           time.Duration // its owner was asked whether that is so

	owner bool // this store owns it, in the present epoch
	whole bool // all replicas are known to hold it at this version
	shown int  // results that are on all replicas
	peers []peer

	content []byte             // encoded, until it is whole
	fresh   map[int]*Result    // results with their texts, until they are shown
	handing []protocol.Process // the set to hand it over to, while this store retires
	handed  bool

	progress map[int]Progress // by item, from an earlier life of this process

	readers    []reader
	submitters []Token
	unfitted   bool          // it fell to this store, and the counter has not told since that all that waits is within the bound
	replaceAt  time.Duration // while it is being accepted: when peers that have not written it are replaced; 0: not
	enders     []Token
}

type heldItem struct {
	id     string
	span   job.Span
	tokens int // of the prompt and the most to come out
	listed bool
}

type heldResult struct {
	item  int32
	state job.State
	at    wal.Location // of the text
}

// peer is what an owner knows of another member of the replica set.
type peer struct {
	process protocol.Process
	known   bool // the rest is what it told
	held    bool
	count   int
	ended   bool
	busy    bool
	sentAt  time.Duration
	fillAt  time.Duration // it was sent a whole copy
}

// reader waits for a result.
type reader struct {
	token Token
	start int
	until time.Duration
}

func newHeld(encoded []byte, at wal.Location) (*held, error) {
	content, spans, err := job.Decode(encoded)
	if err != nil {
		return nil, err
	}
	h := &held{
		id: content.ID, tenant: content.Tenant, route: content.Route, firstSent: content.FirstSent,
		contentAt: at,
		items:     make([]heldItem, len(spans)),
	}
	for i := range spans {
		h.items[i] = heldItem{id: content.Items[i].ID, span: spans[i], tokens: content.Items[i].Tokens}
		h.queued += int64(content.Items[i].Tokens)
	}
	return h, nil
}

// list adds a result at the next position.
func (h *held) list(result heldResult) {
	if h.items[result.item].listed {
		panic("replica: an item at two positions")
	}
	h.markListed(int(result.item))
	delete(h.progress, int(result.item))
	h.results = append(h.results, result)
}

// markListed notes that an item waits no longer.
func (h *held) markListed(index int) {
	item := &h.items[index]
	if !item.listed {
		item.listed = true
		h.queued -= int64(item.tokens)
	}
}

// complete tells whether all items are listed.
func (h *held) complete() bool { return len(h.results) == len(h.items) }

func (h *held) peer(key placement.Key) *peer {
	for i := range h.peers {
		if placement.KeyOf(h.peers[i].process) == key {
			return &h.peers[i]
		}
	}
	return nil
}

// setReplicas takes a replica set of which self is the owner; nothing is known of the others.
func (h *held) setReplicas(version Version, replicas []protocol.Process, self placement.Key) {
	h.version, h.replicas = version, replicas
	h.peers = nil
	for _, replica := range replicas {
		if placement.KeyOf(replica) != self {
			h.peers = append(h.peers, peer{process: replica})
		}
	}
	h.whole = false
}

// awaitsOwner tells that this copy was left behind, and that it isn't known yet whether all of the newer set hold theirs.
func (h *held) awaitsOwner() bool { return h.behind && !h.owner && !h.relieved }

// oldest gives the first place in the log that this copy, or the one that it replaces, needs.
func (h *held) oldest() *wal.Location {
	if h.replaces != nil {
		return h.replaces
	}
	at := h.contentAt
	return &at
}

// stood tells whether all replicas are known to hold it with all that was shown.
func (h *held) stood() bool {
	whole, shown, _ := h.standing()
	return h.whole && whole && shown >= h.shown
}

// standing gives what is on all replicas: the content, a count of results, the end.
func (h *held) standing() (whole bool, shown int, ended bool) {
	whole, shown, ended = h.copyDurable, h.durable, h.endDurable
	for i := range h.peers {
		p := &h.peers[i]
		whole = whole && p.known && p.held
		if !p.known || !p.held {
			shown, ended = 0, false
			continue
		}
		shown = min(shown, p.count)
		ended = ended && p.ended
	}
	return whole, shown, ended
}

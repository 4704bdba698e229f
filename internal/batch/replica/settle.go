package replica

import (
	"maps"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file owns what follows a change of the view: inventories, and who owns what.

const (
	inventoryAgain = 250 * time.Millisecond
)

// View takes a newer agreed set of stores.
func (m *Machine) View(view protocol.StoreView) {
	if !view.Newer(m.view) || m.hasEnded(view) {
		return
	}
	m.checkView(view)
	if view.Epoch == m.view.Epoch {
		m.takeSettled(view)
		return
	}
	m.change(view)
}

// hasEnded tells whether this store acted in a later view, as its disk tells after a start. A process of control that knows less than
// others may still hand the earlier one out.
func (m *Machine) hasEnded(view protocol.StoreView) bool { return view.Epoch < m.departed.epoch }

// takeSettled takes in that all members stood whole in the present epoch, so that nobody who left before is missed.
func (m *Machine) takeSettled(view protocol.StoreView) {
	tooMany := m.tooManyLeft()
	m.view = view
	m.departed.take(view, m.env.Now())
	if tooMany && m.settled {
		m.restart()
	}
}

// change goes on in the view of another epoch.
func (m *Machine) change(view protocol.StoreView) {
	last, wasPresent := m.view, m.present
	m.view = view
	member, present := placement.MemberOf(view, m.self)
	m.departed.follow(view.Epoch, present)
	m.departed.take(view, m.env.Now())
	m.writeView()
	m.present = present
	m.retiring = present && member.State != protocol.StoreActive
	next := wasPresent && present && view.Epoch == last.Epoch+1
	for _, h := range m.order {
		h.handed, h.relieved = false, false
		if h.owner && !(next && m.stands(h)) {
			m.disown(h)
		}
		if !present {
			m.leave(h)
		}
	}
	for id, owner := range m.directory {
		if _, present := placement.MemberOf(view, owner); !present {
			delete(m.directory, id)
		}
	}
	m.forgetClaims()
	clear(m.reservations)
	clear(m.lookups)
	clear(m.concession)
	for _, a := range m.acceptances {
		a.askedAt = 0
		clear(a.votes)
	}
	if present {
		m.restart()
	}
}

// stands tells whether a replica set is good in the present view as it is.
func (m *Machine) stands(h *held) bool {
	if len(h.replicas) < m.options.Copies || len(h.handing) > 0 {
		return false
	}
	return m.allActive(h.replicas)
}

func (m *Machine) allActive(stores []protocol.Process) bool {
	for _, store := range stores {
		member, present := placement.MemberOf(m.view, placement.KeyOf(store))
		if !present || member.State != protocol.StoreActive {
			return false
		}
	}
	return true
}

// disown gives up a batch job until it is known who owns it. What runs may end, and is taken if this store owns it again.
func (m *Machine) disown(h *held) {
	h.owner, h.whole = false, false
	h.handing = nil
	h.peers = nil
	h.replaceAt = 0
}

// leave stops what this store does for a batch job: it is out of the view.
func (m *Machine) leave(h *held) {
	m.env.Stop(h.id)
	for _, token := range append(h.submitters, h.enders...) {
		m.answer(token, uncertain())
	}
	h.submitters, h.enders = nil, nil
}

// restart asks all other members for their inventories.
func (m *Machine) restart() {
	m.round++
	m.settled = false
	clear(m.inventories)
	m.askInventories()
	m.settle()
}

func (m *Machine) askInventories() {
	m.asked = m.env.Now()
	m.others(func(other protocol.Process) {
		if _, here := m.inventories[placement.KeyOf(other)]; !here {
			m.env.Send(other, InventoryRequest{Stamp: m.stamp(), Round: m.round})
		}
	})
}

func (m *Machine) inventory(round uint64) Inventory {
	entries := make([]Entry, 0, len(m.jobs))
	for _, h := range m.order {
		entries = append(entries, Entry{
			Job: h.id, Version: h.version, Replicas: h.replicas, Count: h.durable, Ended: h.endDurable, Damaged: h.damaged,
		})
	}
	return Inventory{Stamp: m.stamp(), Round: round, Settled: m.settledEpoch, Entries: entries, Obscured: m.obscured}
}

func (m *Machine) takeInventory(from placement.Key, inventory Inventory) {
	if inventory.Round != m.round || m.settled {
		return
	}
	m.inventories[from] = inventory
	m.departed.settled[from] = inventory.Settled
	m.departed.noteObscured(from, inventory.Obscured, m.env.Now())
	m.settle()
}

// copies is what is known of a batch job's copies of the highest version.
type copies struct {
	version  Version
	replicas []protocol.Process
	holders  []placement.Key
	damaged  map[placement.Key]int // those of them whose copies are not whole, with their sound results
}

// settle decides who owns what, once all inventories are here.
func (m *Machine) settle() {
	if m.settled || !m.present {
		return
	}
	if len(m.awaited()) > 0 {
		return
	}
	m.settled = true
	m.departed.noteObscured(m.self, m.obscured, m.env.Now())
	all := m.gather()
	clear(m.inventories)
	m.forgetDirectory(all)
	m.unowned = 0
	for _, id := range slices.Sorted(maps.Keys(all)) {
		if h := m.jobs[id]; h != nil {
			h.behind = h.version < all[id].version
		}
		if !m.isNewest(all[id]) {
			m.unowned++
			continue // until those that left are back
		}
		owner := m.ownerOf(all[id])
		if owner == m.self {
			m.takeOrConcede(id, all[id])
			continue
		}
		m.directory[id] = owner
		if h := m.jobs[id]; h != nil {
			m.pass(h)
		}
	}
	m.unpark()
	m.checkSettled()
}

// gather joins the inventories with what is held here.
func (m *Machine) gather() map[string]*copies {
	all := make(map[string]*copies, len(m.jobs))
	for _, entry := range m.inventory(0).Entries {
		join(all, m.self, entry)
	}
	for key, inventory := range m.inventories {
		for _, entry := range inventory.Entries {
			join(all, key, entry)
		}
	}
	return all
}

func join(all map[string]*copies, holder placement.Key, entry Entry) {
	found := all[entry.Job]
	if found == nil || found.version < entry.Version {
		found = &copies{version: entry.Version, replicas: entry.Replicas, damaged: map[placement.Key]int{}}
		all[entry.Job] = found
	}
	if found.version != entry.Version {
		return
	}
	found.holders = append(found.holders, holder)
	if entry.Damaged {
		found.damaged[holder] = entry.Count
	}
}

// forgetDirectory drops what was told of batch jobs that nobody holds, reservations of this epoch apart.
func (m *Machine) forgetDirectory(all map[string]*copies) {
	for id := range m.directory {
		if _, reserved := m.reservations[id]; all[id] == nil && !reserved {
			delete(m.directory, id)
		}
	}
}

// ownerOf gives the owner of the highest version: the first of its replica set where that is still there, as it had its
// copy on its disk before it sent one; else the first that is there and listed a copy. All stores of an epoch come to the
// same answer, though their inventories are not of one moment: what changes within the epoch is only that the owner raises
// the version, and the new set begins with it.
func (m *Machine) ownerOf(found *copies) placement.Key {
	for i, replica := range found.replicas {
		key := placement.KeyOf(replica)
		_, present := placement.MemberOf(m.view, key)
		if present && (i == 0 || slices.Contains(found.holders, key)) {
			return key
		}
	}
	return slices.Min(found.holders)
}

// take owns a batch job, with a replica set that is good in the present view.
func (m *Machine) take(h *held) {
	if h.owner {
		for i := range h.peers {
			h.peers[i].busy = false
		}
		m.pump(h)
		return
	}
	delete(m.directory, h.id)
	delete(m.concession, h.id) // what was given away falls to this store again
	h.owner = true
	m.noteInherited(h)
	m.unsettle() // its set has to be made whole first
	switch {
	case m.retiring:
		m.handOver(h)
	case m.stands(h) && placement.KeyOf(h.replicas[0]) == m.self && !h.damaged && m.ownedSince(h.version):
		h.setReplicas(h.version, h.replicas, m.self)
	default:
		m.renew(h)
	}
	m.announce(h.id, m.self)
	m.pump(h)
	m.judge(h)
}

// ownedSince tells that nobody else can have owned a batch job since its version was made here. In a view without this store
// another one may have chosen a higher version, and left before it showed anything: to go on under this one would show what
// that one doesn't hold when it is back.
func (m *Machine) ownedSince(version Version) bool {
	since := m.departed.memberSince
	return since > 0 && version >= versionOf(since, 0)
}

// renew gives a batch job a new replica set: this store, those left of the old one, and others up to the count.
func (m *Machine) renew(h *held) {
	kept := []protocol.Process{m.options.Self}
	for _, replica := range h.replicas {
		key := placement.KeyOf(replica)
		member, present := placement.MemberOf(m.view, key)
		if key != m.self && present && member.State == protocol.StoreActive && len(kept) < m.options.Copies {
			kept = append(kept, replica)
		}
	}
	replicas := m.fillUp(placement.Replicas(h.id, m.view, kept, m.options.Copies))
	h.setReplicas(h.version.next(m.view.Epoch), replicas, m.self)
	m.writeReplicas(h)
}

// fillUp adds stores that are to be emptied to a set that too few active ones are left for: they go once others have come.
func (m *Machine) fillUp(replicas []protocol.Process) []protocol.Process {
	for _, member := range m.view.Members {
		missing := len(replicas) < m.options.Copies && member.State == protocol.StoreRetiring
		if missing && !placement.Contains(replicas, placement.KeyOf(member.Process)) {
			replicas = append(replicas, member.Process)
		}
	}
	return replicas
}

// pass leaves a batch job to its owner. What runs here is stopped.
func (m *Machine) pass(h *held) {
	h.owner, h.whole = false, false
	h.peers = nil
	h.content, h.fresh = nil, nil
	m.env.Stop(h.id)
	m.redirect(h)
}

// announce tells the others who owns a batch job.
func (m *Machine) announce(id string, owner placement.Key) {
	m.others(func(other protocol.Process) {
		m.env.Send(other, Notice{Stamp: m.stamp(), Job: id, Owner: owner})
	})
}

// Report tells control how far this store is.
func (m *Machine) Report() protocol.BatchReport {
	return protocol.BatchReport{
		Epoch:       m.view.Epoch,
		ActedIn:     m.ActedIn(),
		Settled:     m.settledEpoch,
		Missing:     m.departed.missing(),
		BatchJobs:   len(m.jobs),
		FreeBytes:   m.env.Free(),
		DrainedDown: m.drained(),
	}
}

// checkSettled notes once all that this store owns stands whole in the present epoch.
func (m *Machine) checkSettled() {
	if !m.settled || !m.present || m.unowned > 0 || len(m.concession) > 0 || m.settledEpoch == m.view.Epoch {
		return
	}
	for _, h := range m.order {
		if h.owner && !h.stood() || h.awaitsOwner() {
			return
		}
	}
	m.settledEpoch = m.view.Epoch
	m.tellSettled()
	m.checkWhole()
}

// drained tells whether a retiring store keeps nothing that isn't whole on other stores. It waits until all members stand
// whole, so that nobody has yet to choose sets in this epoch, and for one that stays.
func (m *Machine) drained() bool {
	if !m.retiring || !m.settled || len(m.acceptances) > 0 {
		return false
	}
	if !m.allStandWhole() || len(placement.Active(m.view)) == 0 {
		return false
	}
	for _, h := range m.order {
		if !h.handed {
			return false
		}
	}
	return true
}

// askOwners asks the owners of what this store lets go whether their sets are whole: of all that it holds while it retires, else of
// copies that were left behind.
func (m *Machine) askOwners() {
	now := m.env.Now()
	for _, h := range m.order {
		lets := h.awaitsOwner() || h.behind && m.isOver(h) || m.retiring && !h.handed
		if h.owner || !lets || now-h.askedAt < inventoryAgain {
			continue
		}
		h.askedAt = now
		member, present := placement.MemberOf(m.view, m.directory[h.id])
		if present {
			m.env.Send(member.Process, Replicate{Stamp: m.stamp(), Job: h.id, Version: h.version})
		}
	}
}

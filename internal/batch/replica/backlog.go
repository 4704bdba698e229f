package replica

import (
	"maps"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/batch/queuedtokens"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file owns the bound on waiting tokens as a store keeps it: what it claims of the counters of its accounts, and how it counts
// accounts itself. Before a batch job is written the store has room for it: by the level that the account's counter holds for it
// already, or by a new claim. What it inherits from other stores it holds without asking; the counter hears of it and gives no room
// until enough is done. A new view begins with nothing: each store claims anew once it knows what it owns, and a counter gives room
// once it has heard all members. So what was given in an earlier view is in those claims, or with a store whose right to act is over.

const (
	// claimAgain is the time between claims that may have been lost.
	claimAgain = 200 * time.Millisecond
	// claimLess is the least time between claims that only tell that less is used.
	claimLess = 150 * time.Millisecond
	// retryFull is when to come back with a batch job that doesn't fit: a good part of a bound is worked off in that time.
	retryFull = time.Second
)

// room is what became of the question whether a batch job fits.
type room int

const (
	roomOpen room = iota
	roomGiven
	roomRefused
)

// claimed is what a counter was told last.
type claimed struct {
	number uint64
	at     time.Duration
	open   bool // its answer is awaited
	stale  bool // it is to be told anew
}

// claims is a store's part in the bounds, as one that claims and as one that counts.
type claims struct {
	levels   map[queuedtokens.Account]int64 // that the account's counter holds for this store at least
	last     map[placement.Key]*claimed
	counters map[queuedtokens.Account]placement.Key // of the present view
	unasked  map[queuedtokens.Account]int64         // came since the last claim without room that was given for it
	counter  *queuedtokens.Counter[placement.Key]
	asked    time.Duration // other stores were asked for their claims
}

func newClaims() claims {
	return claims{
		levels: map[queuedtokens.Account]int64{}, last: map[placement.Key]*claimed{}, counters: map[queuedtokens.Account]placement.Key{},
		unasked: map[queuedtokens.Account]int64{}, counter: queuedtokens.NewCounter[placement.Key](),
	}
}

// Claim tells a counter what the sender uses and wants of the accounts that it counts.
type Claim struct {
	Stamp
	queuedtokens.Claim
}

// Claimed tells that a claim has come, and answers its wants.
type Claimed struct {
	Stamp
	Number   uint64 // of the claim
	Verdicts []queuedtokens.Verdict
	Over     []queuedtokens.Account // of the claim's: more waits than the bound allows, or that isn't known yet
}

// ClaimRequest asks a store for its claim: the sender counts accounts and has not heard it in this epoch.
type ClaimRequest struct{ Stamp }

// forgetClaims begins with nothing in a new view. What is being accepted asks anew, as nothing of it was written: who gave it room may not
// have known of batch jobs whose stores were away.
func (m *Machine) forgetClaims() {
	clear(m.claims.levels)
	clear(m.claims.last)
	clear(m.claims.counters)
	clear(m.claims.unasked)
	m.claims.counter.Reset()
	m.claims.asked = 0
	for _, a := range m.acceptances {
		a.room = roomOpen
	}
}

// claimsRestarted notes that another store's process has started again: it counts anew, and numbers its claims anew.
func (m *Machine) claimsRestarted(store placement.Key) {
	m.claims.counter.Restarted(store)
	if last := m.claims.last[store]; last != nil {
		last.open, last.stale = false, true
	}
}

func (a *acceptance) account() queuedtokens.Account {
	return queuedtokens.Account{Tenant: a.content.Tenant, Route: a.content.Route}
}

func (h *held) account() queuedtokens.Account {
	return queuedtokens.Account{Tenant: h.tenant, Route: h.route}
}

// counterOf gives the store that counts an account in the present view, empty where none is active.
func (m *Machine) counterOf(account queuedtokens.Account) placement.Key {
	if key, known := m.claims.counters[account]; known {
		return key
	}
	ranked := placement.Rank(account.Tenant+"\x00"+account.Route, placement.Active(m.view))
	if len(ranked) == 0 {
		return ""
	}
	key := placement.KeyOf(ranked[0])
	m.claims.counters[account] = key
	return key
}

// used sums, by account, the tokens of items that no server has finished, in batch jobs that this store answers for: those that it owns
// or gave to a store that has yet to take them, and those that it is accepting with room.
func (m *Machine) used() map[queuedtokens.Account]int64 {
	used := map[queuedtokens.Account]int64{}
	for _, h := range m.order {
		_, conceded := m.concession[h.id]
		if (h.owner || conceded) && !h.ended && h.queued > 0 {
			used[h.account()] += h.queued
		}
	}
	for _, a := range m.acceptances {
		if a.room == roomGiven {
			used[a.account()] += a.tokens
		}
	}
	return used
}

// Queued sums the tokens that wait in the batch jobs that this store answers for.
func (m *Machine) Queued() int64 {
	sum := int64(0)
	for _, tokens := range m.used() {
		sum += tokens
	}
	return sum
}

// seekRoom finds out whether a batch job that is being accepted fits.
func (m *Machine) seekRoom(a *acceptance) {
	if a.room != roomOpen {
		return
	}
	account := a.account()
	bound, known := m.env.QueueLimit(account.Route)
	switch {
	case !known: // a later look finds it
	case bound == 0:
		a.room = roomGiven
		m.claims.unasked[account] += a.tokens
	case a.tokens > bound:
		a.room = roomRefused
	case m.knowsAll() && m.used()[account]+a.tokens <= m.claims.levels[account]:
		a.room = roomGiven
	default:
		m.claim(m.counterOf(account))
	}
}

// knowsAll tells whether this store knows of all batch jobs that it answers for: none is held by stores alone that are away.
func (m *Machine) knowsAll() bool { return m.settled && m.unowned == 0 && !m.tooManyLeft() }

// claim tells a counter anew what this store uses and wants, unless it has yet to answer.
func (m *Machine) claim(counter placement.Key) {
	if counter == "" || !m.knowsAll() || !m.Allowed() {
		return
	}
	last := m.claims.last[counter]
	if last == nil {
		last = &claimed{}
		m.claims.last[counter] = last
	}
	if now := m.env.Now(); last.open && now-last.at < claimAgain {
		last.stale = true
		return
	}
	message := Claim{Stamp: m.stamp(), Claim: queuedtokens.Claim{Entries: m.entriesFor(counter)}}
	last.number++
	message.Number = last.number
	last.at, last.stale, last.open = m.env.Now(), false, true
	if counter == m.self {
		m.takeClaim(m.self, message)
		return
	}
	if member, present := placement.MemberOf(m.view, counter); present {
		m.env.Send(member.Process, message)
	}
}

// entriesFor lists what this store uses and wants of a counter's accounts. From here on the level of each is what is used.
func (m *Machine) entriesFor(counter placement.Key) []queuedtokens.Entry {
	used := m.used()
	wants := map[queuedtokens.Account][]queuedtokens.Want{}
	for _, id := range m.accepting() {
		if a := m.acceptances[id]; a.room == roomOpen {
			wants[a.account()] = append(wants[a.account()], queuedtokens.Want{Job: id, Tokens: a.tokens})
			used[a.account()] += 0
		}
	}
	for account := range m.claims.levels {
		if m.counterOf(account) == counter {
			delete(m.claims.levels, account)
		}
	}
	var entries []queuedtokens.Entry
	for _, account := range slices.SortedFunc(maps.Keys(used), queuedtokens.Compare) {
		if m.counterOf(account) != counter {
			continue
		}
		m.claims.levels[account] = used[account]
		delete(m.claims.unasked, account)
		entries = append(entries, queuedtokens.Entry{Account: account, Used: used[account], Wants: wants[account]})
	}
	return entries
}

// takeClaim takes in, as counter, what a store uses and wants.
func (m *Machine) takeClaim(from placement.Key, message Claim) {
	m.claims.counter.Take(from, message.Claim)
	if !message.Wants() {
		m.answerClaim(from, Claimed{Stamp: m.stamp(), Number: message.Number, Over: m.over(from)})
	}
	m.answerClaims()
}

func (m *Machine) answerClaim(store placement.Key, answer Claimed) {
	if store == m.self {
		m.takeVerdicts(m.self, answer)
		return
	}
	if member, present := placement.MemberOf(m.view, store); present {
		m.env.Send(member.Process, answer)
	}
}

// answerClaims answers what stores want of the accounts that are counted here, once all members were heard.
func (m *Machine) answerClaims() {
	waiting := m.claims.counter.Waiting()
	if len(waiting) == 0 || !m.hasHeardAll() || !m.Allowed() {
		return
	}
	for _, store := range waiting {
		number, verdicts := m.claims.counter.Decide(store, m.queueLimit)
		if len(verdicts) == 0 {
			continue
		}
		m.answerClaim(store, Claimed{Stamp: m.stamp(), Number: number, Verdicts: verdicts, Over: m.over(store)})
	}
}

// over lists the accounts that a store uses of which more waits than the bound allows. As long as not all members were heard, that isn't
// known of any.
func (m *Machine) over(store placement.Key) []queuedtokens.Account {
	unsure := !m.hasHeardAll()
	var list []queuedtokens.Account
	for _, account := range m.claims.counter.Accounts() {
		if m.claims.counter.Level(account, store) == 0 {
			continue
		}
		bound, known := m.queueLimit(account)
		if unsure || !known || bound > 0 && m.claims.counter.Sum(account) > bound {
			list = append(list, account)
		}
	}
	return list
}

func (m *Machine) queueLimit(account queuedtokens.Account) (int64, bool) {
	return m.env.QueueLimit(account.Route)
}

// hasHeardAll tells whether all members have claimed in this epoch, and asks those that have not.
func (m *Machine) hasHeardAll() bool {
	if !m.claims.counter.Heard(m.self) {
		if !m.knowsAll() {
			return false
		}
		m.claim(m.self)
	}
	all := true
	now := m.env.Now()
	ask := m.claims.asked == 0 || now-m.claims.asked >= claimAgain
	m.others(func(other protocol.Process) {
		if m.claims.counter.Heard(placement.KeyOf(other)) {
			return
		}
		all = false
		if ask {
			m.claims.asked = max(now, 1)
			m.env.Send(other, ClaimRequest{Stamp: m.stamp()})
		}
	})
	return all
}

// takeVerdicts takes a counter's answer to this store's newest claim.
func (m *Machine) takeVerdicts(from placement.Key, message Claimed) {
	last := m.claims.last[from]
	if last == nil || last.number != message.Number {
		return
	}
	last.open = false
	for _, verdict := range message.Verdicts {
		a := m.acceptances[verdict.Job]
		switch {
		case a == nil || a.room != roomOpen:
			last.stale = last.stale || verdict.Fits // it isn't wanted any more
		case verdict.Fits:
			a.room = roomGiven
			m.claims.levels[a.account()] += a.tokens
		default:
			a.room = roomRefused
		}
		m.decide(verdict.Job)
	}
	m.fitted(from, message.Over)
	if last.stale {
		m.claim(from)
	}
}

// tendClaims asks again what was not answered, and tells counters of what has changed.
func (m *Machine) tendClaims(now time.Duration) {
	m.answerClaims()
	for _, id := range m.accepting() {
		if a := m.acceptances[id]; a != nil && a.room == roomOpen {
			m.seekRoom(a)
			m.decide(id)
		}
	}
	for _, counter := range m.toldWrong(now) {
		m.claim(counter)
	}
}

// toldWrong lists the counters of bounded accounts that hold another level for this store than it uses: at once where that is less
// than it uses, and for what is done after a while.
func (m *Machine) toldWrong(now time.Duration) []placement.Key {
	if !m.settled {
		return nil
	}
	used := m.used()
	for account := range m.claims.levels {
		used[account] += 0
	}
	wrong := map[placement.Key]bool{}
	for _, h := range m.order {
		if m.awaitsFit(h) {
			counter := m.counterOf(h.account())
			last := m.claims.last[counter]
			wrong[counter] = last == nil || now-last.at >= claimAgain
		}
	}
	for counter, last := range m.claims.last {
		if last.open && now-last.at >= claimAgain { // it may have been lost
			wrong[counter] = true
		}
	}
	for account, tokens := range used {
		level := m.claims.levels[account]
		counter := m.counterOf(account)
		last := m.claims.last[counter]
		stale := last != nil && last.stale
		if level == tokens && !stale {
			continue
		}
		if bound, known := m.env.QueueLimit(account.Route); !known || bound == 0 {
			continue
		}
		if tokens > level || stale || last == nil || now-last.at >= claimLess {
			wrong[counter] = true
		}
	}
	maps.DeleteFunc(wrong, func(_ placement.Key, is bool) bool { return !is })
	return slices.Sorted(maps.Keys(wrong))
}

// noteInherited notes that a batch job fell to this store, for which it asked nobody for room.
func (m *Machine) noteInherited(h *held) {
	m.claims.unasked[h.account()] += h.queued
	h.unfitted = true
}

// exceedsBound tells whether a batch job may not be acknowledged yet: it fell to this store, perhaps without ever having been
// acknowledged, as when all power was lost while it was written; others may have been given its room meanwhile.
func (m *Machine) exceedsBound(h *held) bool {
	if !h.unfitted || h.queued == 0 || h.ended {
		return false
	}
	bound, known := m.queueLimit(h.account())
	return !known || bound > 0
}

// fitted takes a counter's word that all that waits in the accounts of a claim is within their bounds, but for some.
func (m *Machine) fitted(counter placement.Key, over []queuedtokens.Account) {
	for _, h := range m.order {
		account := h.account()
		_, unasked := m.claims.unasked[account]
		if !h.owner || !h.unfitted || unasked || m.counterOf(account) != counter || slices.Contains(over, account) {
			continue
		}
		h.unfitted = false
		m.answerSubmitters(h)
	}
}

// awaitsFit tells whether a batch job's acknowledgement waits for the counter.
func (m *Machine) awaitsFit(h *held) bool {
	return h.owner && h.whole && len(h.submitters) > 0 && m.exceedsBound(h)
}

// checkRoom checks, as a batch job is written, that there is room for it.
func (m *Machine) checkRoom(account queuedtokens.Account) {
	bound, known := m.queueLimit(account)
	if !known || bound == 0 {
		return
	}
	m.must(m.used()[account] <= m.claims.levels[account]+m.claims.unasked[account], InvariantWithinRoom)
}

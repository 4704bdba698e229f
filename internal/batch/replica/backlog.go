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
	claimRetry = 200 * time.Millisecond
	// claimLess is the least time between claims that only tell that less is used.
	decreaseInterval = 150 * time.Millisecond
	// retryFull is when to come back with a batch job that doesn't fit: a good part of a bound is worked off in that time.
	overLimitRetry = time.Second
)

// room is what became of the question whether a batch job fits.
type capacityState int

const (
	capacityUnknown capacityState = iota
	capacityGranted
	capacityDenied
)

// claimed is what a counter was told last.
type sentClaim struct {
	number         uint64
	sentAt         time.Duration
	awaitsResponse bool // its answer is awaited
	outdated       bool // it is to be told anew
}

// claims is a store's part in the bounds, as one that claims and as one that counts.
type claims struct {
	granted   map[queuedtokens.Account]int64 // that the account's counter holds for this store at least
	sent      map[placement.Key]*sentClaim
	counters  map[queuedtokens.Account]placement.Key // of the present view
	unclaimed map[queuedtokens.Account]int64         // came since the last claim without room that was given for it
	counter   *queuedtokens.Counter[placement.Key]
	polledAt  time.Duration // other stores were asked for their claims
}

func newClaims() claims {
	return claims{
		granted: map[queuedtokens.Account]int64{}, sent: map[placement.Key]*sentClaim{}, counters: map[queuedtokens.Account]placement.Key{},
		unclaimed: map[queuedtokens.Account]int64{}, counter: queuedtokens.NewCounter[placement.Key](),
	}
}

// Claim tells a counter what the sender uses and wants of the accounts that it counts.
type Claim struct {
	Stamp
	queuedtokens.Claim
}

// Claimed tells that a claim has come, and answers its wants.
type ClaimResponse struct {
	Stamp
	Number   uint64 // of the claim
	Verdicts []queuedtokens.Decision
	Over     []queuedtokens.Account // of the claim's: more waits than the bound allows, or that isn't known yet
}

// ClaimRequest asks a store for its claim: the sender counts accounts and has not heard it in this epoch.
type ClaimPoll struct{ Stamp }

// forgetClaims begins with nothing in a new view. What is being accepted asks anew, as nothing of it was written: who gave it room may not
// have known of batch jobs whose stores were away.
func (m *StateMachine) resetClaims() {
	clear(m.claims.granted)
	clear(m.claims.sent)
	clear(m.claims.counters)
	clear(m.claims.unclaimed)
	m.claims.counter.Reset()
	m.claims.polledAt = 0
	for _, a := range m.acceptances {
		a.capacity = capacityUnknown
	}
}

// claimsRestarted notes that another store's process has started again: it counts anew, and numbers its claims anew.
func (m *StateMachine) noteClaimantRestart(store placement.Key) {
	m.claims.counter.Restarted(store)
	if last := m.claims.sent[store]; last != nil {
		last.awaitsResponse, last.outdated = false, true
	}
}

func (a *acceptance) account() queuedtokens.Account {
	return queuedtokens.Account{Tenant: a.content.Tenant, Route: a.content.Route}
}

func (j *storedJob) account() queuedtokens.Account {
	return queuedtokens.Account{Tenant: j.tenant, Route: j.route}
}

// counterOf gives the store that counts an account in the present view, empty where none is active.
func (m *StateMachine) counterOf(account queuedtokens.Account) placement.Key {
	if key, known := m.claims.counters[account]; known {
		return key
	}
	ranked := placement.Rank(account.Tenant+"\x00"+account.Route, placement.ActiveMembers(m.view))
	if len(ranked) == 0 {
		return ""
	}
	key := placement.KeyOf(ranked[0])
	m.claims.counters[account] = key
	return key
}

// used sums, by account, the tokens of items that no server has finished, in batch jobs that this store answers for: those that it owns
// or gave to a store that has yet to take them, and those that it is accepting with room.
func (m *StateMachine) usedTokens() map[queuedtokens.Account]int64 {
	used := map[queuedtokens.Account]int64{}
	for _, j := range m.order {
		_, conceded := m.transfers[j.id]
		if (j.owned || conceded) && !j.ended && j.queuedTokens > 0 {
			used[j.account()] += j.queuedTokens
		}
	}
	for _, a := range m.acceptances {
		if a.capacity == capacityGranted {
			used[a.account()] += a.tokens
		}
	}
	return used
}

// Queued sums the tokens that wait in the batch jobs that this store answers for.
func (m *StateMachine) QueuedTokens() int64 {
	sum := int64(0)
	for _, tokens := range m.usedTokens() {
		sum += tokens
	}
	return sum
}

// seekRoom finds out whether a batch job that is being accepted fits.
func (m *StateMachine) requestCapacity(a *acceptance) {
	if a.capacity != capacityUnknown {
		return
	}
	account := a.account()
	bound, known := m.env.QueueLimit(account.Route)
	switch {
	case !known: // a later look finds it
	case bound == 0:
		a.capacity = capacityGranted
		m.claims.unclaimed[account] += a.tokens
	case a.tokens > bound:
		a.capacity = capacityDenied
	case m.knowsOwnJobs() && m.usedTokens()[account]+a.tokens <= m.claims.granted[account]:
		a.capacity = capacityGranted
	default:
		m.sendClaim(m.counterOf(account))
	}
}

// knowsAll tells whether this store knows of all batch jobs that it answers for: none is held by stores alone that are away.
func (m *StateMachine) knowsOwnJobs() bool {
	return m.reconciled && m.unowned == 0 && !m.tooManyDeparted()
}

// claim tells a counter anew what this store uses and wants, unless it has yet to answer.
func (m *StateMachine) sendClaim(counter placement.Key) {
	if counter == "" || !m.knowsOwnJobs() || !m.MayAct() {
		return
	}
	last := m.claims.sent[counter]
	if last == nil {
		last = &sentClaim{}
		m.claims.sent[counter] = last
	}
	if now := m.env.Now(); last.awaitsResponse && now-last.sentAt < claimRetry {
		last.outdated = true
		return
	}
	message := Claim{Stamp: m.stamp(), Claim: queuedtokens.Claim{Entries: m.claimEntries(counter)}}
	last.number++
	message.Number = last.number
	last.sentAt, last.outdated, last.awaitsResponse = m.env.Now(), false, true
	if counter == m.self {
		m.handleClaim(m.self, message)
		return
	}
	if member, present := placement.MemberOf(m.view, counter); present {
		m.env.Send(member.Process, message)
	}
}

// entriesFor lists what this store uses and wants of a counter's accounts. From here on the level of each is what is used.
func (m *StateMachine) claimEntries(counter placement.Key) []queuedtokens.Entry {
	used := m.usedTokens()
	wants := map[queuedtokens.Account][]queuedtokens.Want{}
	for _, id := range m.acceptanceIDs() {
		if a := m.acceptances[id]; a.capacity == capacityUnknown {
			wants[a.account()] = append(wants[a.account()], queuedtokens.Want{Job: id, Tokens: a.tokens})
			used[a.account()] += 0
		}
	}
	for account := range m.claims.granted {
		if m.counterOf(account) == counter {
			delete(m.claims.granted, account)
		}
	}
	var entries []queuedtokens.Entry
	for _, account := range slices.SortedFunc(maps.Keys(used), queuedtokens.CompareAccounts) {
		if m.counterOf(account) != counter {
			continue
		}
		m.claims.granted[account] = used[account]
		delete(m.claims.unclaimed, account)
		entries = append(entries, queuedtokens.Entry{Account: account, Used: used[account], Wants: wants[account]})
	}
	return entries
}

// takeClaim takes in, as counter, what a store uses and wants.
func (m *StateMachine) handleClaim(from placement.Key, message Claim) {
	m.claims.counter.Apply(from, message.Claim)
	if !message.Wants() {
		m.sendClaimResponse(from, ClaimResponse{Stamp: m.stamp(), Number: message.Number, Over: m.accountsOverLimit(from)})
	}
	m.answerWaitingClaims()
}

func (m *StateMachine) sendClaimResponse(store placement.Key, answer ClaimResponse) {
	if store == m.self {
		m.handleClaimResponse(m.self, answer)
		return
	}
	if member, present := placement.MemberOf(m.view, store); present {
		m.env.Send(member.Process, answer)
	}
}

// answerClaims answers what stores want of the accounts that are counted here, once all members were heard.
func (m *StateMachine) answerWaitingClaims() {
	waiting := m.claims.counter.Pending()
	if len(waiting) == 0 || !m.allMembersClaimed() || !m.MayAct() {
		return
	}
	for _, store := range waiting {
		number, verdicts := m.claims.counter.Decide(store, m.queueLimit)
		if len(verdicts) == 0 {
			continue
		}
		m.sendClaimResponse(store, ClaimResponse{Stamp: m.stamp(), Number: number, Verdicts: verdicts, Over: m.accountsOverLimit(store)})
	}
}

// over lists the accounts that a store uses of which more waits than the bound allows. As long as not all members were heard, that isn't
// known of any.
func (m *StateMachine) accountsOverLimit(store placement.Key) []queuedtokens.Account {
	unsure := !m.allMembersClaimed()
	var list []queuedtokens.Account
	for _, account := range m.claims.counter.Accounts() {
		if m.claims.counter.UsedBy(account, store) == 0 {
			continue
		}
		bound, known := m.queueLimit(account)
		if unsure || !known || bound > 0 && m.claims.counter.Total(account) > bound {
			list = append(list, account)
		}
	}
	return list
}

func (m *StateMachine) queueLimit(account queuedtokens.Account) (int64, bool) {
	return m.env.QueueLimit(account.Route)
}

// hasHeardAll tells whether all members have claimed in this epoch, and asks those that have not.
func (m *StateMachine) allMembersClaimed() bool {
	if !m.claims.counter.HasClaimed(m.self) {
		if !m.knowsOwnJobs() {
			return false
		}
		m.sendClaim(m.self)
	}
	all := true
	now := m.env.Now()
	ask := m.claims.polledAt == 0 || now-m.claims.polledAt >= claimRetry
	m.eachOtherMember(func(other protocol.Process) {
		if m.claims.counter.HasClaimed(placement.KeyOf(other)) {
			return
		}
		all = false
		if ask {
			m.claims.polledAt = max(now, 1)
			m.env.Send(other, ClaimPoll{Stamp: m.stamp()})
		}
	})
	return all
}

// takeVerdicts takes a counter's answer to this store's newest claim.
func (m *StateMachine) handleClaimResponse(from placement.Key, message ClaimResponse) {
	last := m.claims.sent[from]
	if last == nil || last.number != message.Number {
		return
	}
	last.awaitsResponse = false
	for _, verdict := range message.Verdicts {
		a := m.acceptances[verdict.Job]
		switch {
		case a == nil || a.capacity != capacityUnknown:
			last.outdated = last.outdated || verdict.Fits // it isn't wanted any more
		case verdict.Fits:
			a.capacity = capacityGranted
			m.claims.granted[a.account()] += a.tokens
		default:
			a.capacity = capacityDenied
		}
		m.countVotes(verdict.Job)
	}
	m.confirmCapacity(from, message.Over)
	if last.outdated {
		m.sendClaim(from)
	}
}

// tendClaims asks again what was not answered, and tells counters of what has changed.
func (m *StateMachine) tickClaims(now time.Duration) {
	m.answerWaitingClaims()
	for _, id := range m.acceptanceIDs() {
		if a := m.acceptances[id]; a != nil && a.capacity == capacityUnknown {
			m.requestCapacity(a)
			m.countVotes(id)
		}
	}
	for _, counter := range m.countersToUpdate(now) {
		m.sendClaim(counter)
	}
}

// toldWrong lists the counters of bounded accounts that hold another level for this store than it uses: at once where that is less
// than it uses, and for what is done after a while.
func (m *StateMachine) countersToUpdate(now time.Duration) []placement.Key {
	if !m.reconciled {
		return nil
	}
	used := m.usedTokens()
	for account := range m.claims.granted {
		used[account] += 0
	}
	wrong := map[placement.Key]bool{}
	for _, j := range m.order {
		if m.awaitsCapacity(j) {
			counter := m.counterOf(j.account())
			last := m.claims.sent[counter]
			wrong[counter] = last == nil || now-last.sentAt >= claimRetry
		}
	}
	for counter, last := range m.claims.sent {
		if last.awaitsResponse && now-last.sentAt >= claimRetry { // it may have been lost
			wrong[counter] = true
		}
	}
	for account, tokens := range used {
		level := m.claims.granted[account]
		counter := m.counterOf(account)
		last := m.claims.sent[counter]
		stale := last != nil && last.outdated
		if level == tokens && !stale {
			continue
		}
		if bound, known := m.env.QueueLimit(account.Route); !known || bound == 0 {
			continue
		}
		if tokens > level || stale || last == nil || now-last.sentAt >= decreaseInterval {
			wrong[counter] = true
		}
	}
	maps.DeleteFunc(wrong, func(_ placement.Key, is bool) bool { return !is })
	return slices.Sorted(maps.Keys(wrong))
}

// noteInherited notes that a batch job fell to this store, for which it asked nobody for room.
func (m *StateMachine) noteInheritedTokens(j *storedJob) {
	m.claims.unclaimed[j.account()] += j.queuedTokens
	j.capacityUnconfirmed = true
}

// exceedsBound tells whether a batch job may not be acknowledged yet: it fell to this store, perhaps without ever having been
// acknowledged, as when all power was lost while it was written; others may have been given its room meanwhile.
func (m *StateMachine) mayExceedLimit(j *storedJob) bool {
	if !j.capacityUnconfirmed || j.queuedTokens == 0 || j.ended {
		return false
	}
	bound, known := m.queueLimit(j.account())
	return !known || bound > 0
}

// fitted takes a counter's word that all that waits in the accounts of a claim is within their bounds, but for some.
func (m *StateMachine) confirmCapacity(counter placement.Key, over []queuedtokens.Account) {
	for _, j := range m.order {
		account := j.account()
		_, unasked := m.claims.unclaimed[account]
		if !j.owned || !j.capacityUnconfirmed || unasked || m.counterOf(account) != counter || slices.Contains(over, account) {
			continue
		}
		j.capacityUnconfirmed = false
		m.acknowledgeSubmissions(j)
	}
}

// awaitsFit tells whether a batch job's acknowledgement waits for the counter.
func (m *StateMachine) awaitsCapacity(j *storedJob) bool {
	return j.owned && j.replicated && len(j.pendingSubmissions) > 0 && m.mayExceedLimit(j)
}

// checkRoom checks, as a batch job is written, that there is room for it.
func (m *StateMachine) checkCapacity(account queuedtokens.Account) {
	bound, known := m.queueLimit(account)
	if !known || bound == 0 {
		return
	}
	m.assert(m.usedTokens()[account] <= m.claims.granted[account]+m.claims.unclaimed[account], InvariantWithinClaim)
}

package replica

import (
	"maps"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/batch/queuedtokens"
)

// This file contains the side of a store that claims capacity for its batch jobs; claimcounter.go has the side of the
// store that grants it.
//
// An account is a tenant's batch jobs on a route. Its queued tokens are limited over all stores
// (internal/batch/queuedtokens). One store, the account's counter, grants capacity. Before a store writes a batch job,
// it has capacity for it: within what the counter has granted already, or by a new claim. Batch jobs that it inherits
// from other stores use capacity without a grant; the next claim includes them, and the counter grants no further
// capacity until enough items are finished. Nothing is granted at the start of a view: each store claims anew once it
// knows which batch jobs it owns, and a counter grants capacity once all members have claimed. So all that was granted
// in an earlier view is either part of those claims, or was granted to a store whose lease has ended.

const (
	// claimRetry is the time after which claims and polls that may have been lost are sent again.
	claimRetry = 200 * time.Millisecond
	// decreaseInterval is the minimum time between claims that only report a lower usage.
	decreaseInterval = 150 * time.Millisecond
	// overLimitRetry is the Retry-After for a batch job over the limit. A considerable part of the queued tokens of a
	// limit is finished in that time.
	overLimitRetry = time.Second
)

// capacityState states whether a batch job that is being accepted fits within its account's limit.
type capacityState int

const (
	capacityUnknown capacityState = iota
	capacityGranted
	capacityDenied
)

// sentClaim is the newest claim to a counter.
type sentClaim struct {
	number         uint64
	sentAt         time.Duration
	awaitsResponse bool
	outdated       bool // a new claim is due as soon as this one is answered
}

// claims is a store's state for the limits of queued tokens, both as a claimant and as a counter.
type claims struct {
	granted   map[queuedtokens.Account]int64         // tokens that the account's counter reserves for this store at least
	sent      map[placement.Key]*sentClaim           // newest claims, by counter
	counters  map[queuedtokens.Account]placement.Key // counters of accounts in the present view
	unclaimed map[queuedtokens.Account]int64         // tokens in use since the last claim without having been granted
	counter   *queuedtokens.Counter[placement.Key]
	polledAt  time.Duration // when other stores were last asked for their claims; 0 for never
}

// newClaims returns a state in which nothing has been claimed or counted.
func newClaims() claims {
	return claims{
		granted:   map[queuedtokens.Account]int64{},
		sent:      map[placement.Key]*sentClaim{},
		counters:  map[queuedtokens.Account]placement.Key{},
		unclaimed: map[queuedtokens.Account]int64{},
		counter:   queuedtokens.NewCounter[placement.Key](),
	}
}

// resetClaims discards all claims and grants when a new view begins. Batch jobs that are being accepted claim anew, as
// nothing of them has been written yet: the counter that granted them capacity may not have known of batch jobs whose
// stores were absent.
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

// noteClaimantRestart handles the restart of another store's process, which has lost its counts and starts to number
// its claims anew.
func (m *StateMachine) noteClaimantRestart(store placement.Key) {
	m.claims.counter.Restarted(store)
	if last := m.claims.sent[store]; last != nil {
		last.awaitsResponse, last.outdated = false, true
	}
}

// account returns the account that limits the batch job's queued tokens.
func (a *acceptance) account() queuedtokens.Account {
	return queuedtokens.Account{Tenant: a.content.Tenant, Route: a.content.Route}
}

// counterOf returns the store that counts an account in the present view, or an empty key if no store is active.
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

// usedTokens returns, by account, the number of tokens of unfinished items for which this store has to claim capacity:
// of the batch jobs that it owns, of those that it transferred to a store that has yet to replicate them fully, and of
// those that it is accepting with capacity granted.
func (m *StateMachine) usedTokens() map[queuedtokens.Account]int64 {
	used := map[queuedtokens.Account]int64{}
	for _, j := range m.jobsInOrder {
		_, transferring := m.transfers[j.id]
		if (j.owned || transferring) && !j.ended && j.queuedTokens > 0 {
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

// QueuedTokens returns the total number of queued tokens of the batch jobs for which this store has to claim capacity.
func (m *StateMachine) QueuedTokens() int64 {
	sum := int64(0)
	for _, tokens := range m.usedTokens() {
		sum += tokens
	}
	return sum
}

// knowsOwnJobs reports whether this store knows all batch jobs for which it has to claim capacity: none is held only by
// stores that are absent.
func (m *StateMachine) knowsOwnJobs() bool {
	return m.reconciled && m.unowned == 0 && !m.tooManyDeparted()
}

// requestCapacity decides whether a batch job that is being accepted fits within its account's limit, or sends a claim
// to find out.
func (m *StateMachine) requestCapacity(a *acceptance) {
	if a.capacity != capacityUnknown {
		return
	}
	account := a.account()
	limit, known := m.env.QueueLimit(account.Route)
	switch {
	case !known: // tickClaims tries again
	case limit == 0:
		a.capacity = capacityGranted
		m.claims.unclaimed[account] += a.tokens
	case a.tokens > limit:
		a.capacity = capacityDenied
	case m.knowsOwnJobs() && m.usedTokens()[account]+a.tokens <= m.claims.granted[account]:
		a.capacity = capacityGranted
	default:
		m.sendClaim(m.counterOf(account))
	}
}

// checkCapacity asserts, when a batch job is written, that capacity for it was claimed (InvariantWithinClaim).
func (m *StateMachine) checkCapacity(account queuedtokens.Account) {
	limit, known := m.queueLimit(account)
	if !known || limit == 0 {
		return
	}
	m.assert(m.usedTokens()[account] <= m.claims.granted[account]+m.claims.unclaimed[account], InvariantWithinClaim)
}

// sendClaim sends a claim to a counter with the tokens that this store uses and wants. While a response is awaited, it
// only records that a newer claim is due.
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

// claimEntries lists the tokens that this store uses and wants of a counter's accounts. From here on, the tokens in use
// count as granted.
func (m *StateMachine) claimEntries(counter placement.Key) []queuedtokens.Entry {
	used := m.usedTokens()
	wants := map[queuedtokens.Account][]queuedtokens.Want{}
	for _, id := range m.acceptanceIDs() {
		if a := m.acceptances[id]; a.capacity == capacityUnknown {
			wants[a.account()] = append(wants[a.account()], queuedtokens.Want{Job: id, Tokens: a.tokens})
			used[a.account()] += 0 // so that the account is listed
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

// handleClaimResponse handles a counter's answer to this store's newest claim. Answers to earlier claims are ignored.
func (m *StateMachine) handleClaimResponse(from placement.Key, message ClaimResponse) {
	last := m.claims.sent[from]
	if last == nil || last.number != message.Number {
		return
	}
	last.awaitsResponse = false
	for _, decision := range message.Verdicts {
		a := m.acceptances[decision.Job]
		switch {
		case a == nil || a.capacity != capacityUnknown:
			last.outdated = last.outdated || decision.Fits // the granted tokens aren't wanted any more
		case decision.Fits:
			a.capacity = capacityGranted
			m.claims.granted[a.account()] += a.tokens
		default:
			a.capacity = capacityDenied
		}
		m.countVotes(decision.Job)
	}
	m.confirmCapacity(from, message.Over)
	if last.outdated {
		m.sendClaim(from)
	}
}

// tickClaims sends claims again that were not answered, and sends new claims for accounts whose usage has changed.
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

// countersToUpdate lists the counters to which a claim is due:
//   - those that have not answered within claimRetry,
//   - those for whose confirmation a submission waits, if no claim was sent yet or the newest is claimRetry old,
//   - those of accounts with a known limit, if the counter reserves another number of tokens for this store than it
//     uses, or the newest claim is outdated. The claim is due at once if it is the first, is for more tokens or
//     replaces an outdated one, and otherwise once the newest claim is decreaseInterval old.
func (m *StateMachine) countersToUpdate(now time.Duration) []placement.Key {
	if !m.reconciled {
		return nil
	}
	used := m.usedTokens()
	for account := range m.claims.granted {
		used[account] += 0 // adds the key, so that accounts that are not used any more are compared as well
	}
	due := map[placement.Key]bool{}
	for _, j := range m.jobsInOrder {
		if m.awaitsCapacity(j) {
			counter := m.counterOf(j.account())
			last := m.claims.sent[counter]
			due[counter] = last == nil || now-last.sentAt >= claimRetry
		}
	}
	for counter, last := range m.claims.sent {
		if last.awaitsResponse && now-last.sentAt >= claimRetry { // the claim or its response may have been lost
			due[counter] = true
		}
	}
	for account, tokens := range used {
		granted := m.claims.granted[account]
		counter := m.counterOf(account)
		last := m.claims.sent[counter]
		outdated := last != nil && last.outdated
		if granted == tokens && !outdated {
			continue
		}
		if limit, known := m.env.QueueLimit(account.Route); !known || limit == 0 {
			continue
		}
		if tokens > granted || outdated || last == nil || now-last.sentAt >= decreaseInterval {
			due[counter] = true
		}
	}
	maps.DeleteFunc(due, func(_ placement.Key, is bool) bool { return !is })
	return slices.Sorted(maps.Keys(due))
}

// noteInheritedTokens records that this store became the owner of an existing batch job, for which it has no capacity
// granted.
func (m *StateMachine) noteInheritedTokens(j *storedJob) {
	m.claims.unclaimed[j.account()] += j.queuedTokens
	j.capacityUnconfirmed = true
}

// mayExceedLimit reports whether a batch job must not be acknowledged yet, because this store became its owner later
// and it may exceed the account's limit. Possibly no store has ever acknowledged it, for example if all power was lost
// while it was written, and its capacity may have been granted to other batch jobs since.
func (m *StateMachine) mayExceedLimit(j *storedJob) bool {
	if !j.capacityUnconfirmed || j.queuedTokens == 0 || j.ended {
		return false
	}
	limit, known := m.queueLimit(j.account())
	return !known || limit > 0
}

// confirmCapacity handles a counter's confirmation that the accounts of a claim are within their limits, except for
// those in over.
func (m *StateMachine) confirmCapacity(counter placement.Key, over []queuedtokens.Account) {
	for _, j := range m.jobsInOrder {
		account := j.account()
		_, unclaimed := m.claims.unclaimed[account]
		if !j.owned || !j.capacityUnconfirmed || unclaimed {
			continue
		}
		if m.counterOf(account) != counter || slices.Contains(over, account) {
			continue
		}
		j.capacityUnconfirmed = false
		m.acknowledgeSubmissions(j)
	}
}

// awaitsCapacity reports whether submissions of a batch job wait only for the counter's confirmation.
func (m *StateMachine) awaitsCapacity(j *storedJob) bool {
	return j.owned && j.replicated && len(j.pendingSubmissions) > 0 && m.mayExceedLimit(j)
}

// queueLimit returns an account's limit, see Environment.QueueLimit.
func (m *StateMachine) queueLimit(account queuedtokens.Account) (int64, bool) {
	return m.env.QueueLimit(account.Route)
}

package replica

import (
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/batch/queuedtokens"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file contains the side of the counter, which grants capacity of accounts to stores; claims.go has the side of
// the stores that claim it.

// handleClaim applies a store's claim to the accounts that are counted here.
func (m *StateMachine) handleClaim(from placement.Key, message Claim) {
	m.claims.counter.Apply(from, message.Claim)
	if !message.Wants() {
		m.sendClaimResponse(from, ClaimResponse{Stamp: m.stamp(), Number: message.Number, Over: m.accountsOverLimit(from)})
	}
	m.answerWaitingClaims()
}

// sendClaimResponse answers a claim, which may be one of this store itself.
func (m *StateMachine) sendClaimResponse(store placement.Key, answer ClaimResponse) {
	if store == m.self {
		m.handleClaimResponse(m.self, answer)
		return
	}
	if member, present := placement.MemberOf(m.view, store); present {
		m.env.Send(member.Process, answer)
	}
}

// answerWaitingClaims decides the requests for tokens in claims and answers them, once all members have claimed.
func (m *StateMachine) answerWaitingClaims() {
	waiting := m.claims.counter.Pending()
	if len(waiting) == 0 || !m.allMembersClaimed() || !m.MayAct() {
		return
	}
	for _, store := range waiting {
		number, decisions := m.claims.counter.Decide(store, m.queueLimit)
		if len(decisions) == 0 {
			continue
		}
		m.sendClaimResponse(store, ClaimResponse{
			Stamp: m.stamp(), Number: number, Verdicts: decisions, Over: m.accountsOverLimit(store),
		})
	}
}

// accountsOverLimit lists the accounts that a store uses and that may be over their limits. Until all members have
// claimed, that is every account that the store uses.
func (m *StateMachine) accountsOverLimit(store placement.Key) []queuedtokens.Account {
	uncertain := !m.allMembersClaimed()
	var list []queuedtokens.Account
	for _, account := range m.claims.counter.Accounts() {
		if m.claims.counter.UsedBy(account, store) == 0 {
			continue
		}
		limit, known := m.queueLimit(account)
		if uncertain || !known || limit > 0 && m.claims.counter.Total(account) > limit {
			list = append(list, account)
		}
	}
	return list
}

// allMembersClaimed reports whether all members have claimed in this epoch. It polls those that have not, at most every
// claimRetry.
func (m *StateMachine) allMembersClaimed() bool {
	if !m.claims.counter.HasClaimed(m.self) {
		if !m.knowsOwnJobs() {
			return false
		}
		m.sendClaim(m.self)
	}
	all := true
	now := m.env.Now()
	pollDue := m.claims.polledAt == 0 || now-m.claims.polledAt >= claimRetry
	m.eachOtherMember(func(other protocol.Process) {
		if m.claims.counter.HasClaimed(placement.KeyOf(other)) {
			return
		}
		all = false
		if pollDue {
			m.claims.polledAt = max(now, 1)
			m.env.Send(other, ClaimPoll{Stamp: m.stamp()})
		}
	})
	return all
}

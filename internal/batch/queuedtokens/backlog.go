// Package queuedtokens owns the bound on the tokens that wait in a tenant's batch jobs on one route, over all stores. Each account (a
// tenant's batch jobs on a route) has one counter among the stores of a view. A store claims what it needs there: its claim tells all
// that waits in the batch jobs that it answers for, and names those that it would accept besides. The counter gives room as long as the
// sum over all stores stays within the bound; it gives none before it has heard each store of the view, so that it may forget
// everything when the view changes or its process starts again.
//
// A claim is a store's whole state, so that lost, repeated and late claims do no harm: the one with the highest number counts. It is
// pure: no clock, no input or output.
package queuedtokens

import (
	"cmp"
	"maps"
	"slices"
)

// Account is what one bound holds for.
type Account struct{ Tenant, Route string }

// Want asks for room for a batch job.
type Want struct {
	Job    string
	Tokens int64
}

// Entry is a store's part of an account.
type Entry struct {
	Account Account
	Used    int64 // tokens that wait in batch jobs that the store answers for, those included for which it was given room
	Wants   []Want
}

// Claim is all that a store uses and wants of the accounts that one counter counts. It uses nothing of those that are not named.
type Claim struct {
	Number  uint64 // rises with each claim of a process to a counter
	Entries []Entry
}

// Wants tells whether a claim wants anything.
func (c *Claim) Wants() bool {
	return slices.ContainsFunc(c.Entries, func(e Entry) bool { return len(e.Wants) > 0 })
}

// Verdict answers a Want.
type Decision struct {
	Job  string
	Fits bool
}

// Limit gives an account's bound in tokens, 0 for none; false where it isn't known.
type LimitFunc func(Account) (tokens int64, known bool)

// Counter counts accounts over the stores of a view, which are told apart by keys.
type Counter[K cmp.Ordered] struct {
	used   map[Account]map[K]int64 // what each store uses at most
	claims map[K]*storeClaim
}

// heard is what is kept of a store's newest claim.
type storeClaim struct {
	number  uint64
	pending []Entry // not answered yet
	stale   bool    // of a life of its process that is over
}

// NewCounter gives a counter that has heard nobody.
func NewCounter[K cmp.Ordered]() *Counter[K] {
	return &Counter[K]{used: map[Account]map[K]int64{}, claims: map[K]*storeClaim{}}
}

// Reset forgets everything: the view has changed.
func (c *Counter[K]) Reset() {
	clear(c.used)
	clear(c.claims)
}

// Restarted notes that a store's process has started again, so that its claims are numbered anew. What it used stands until it claims, for
// which it may have to be asked: it has nothing to tell where it uses nothing.
func (c *Counter[K]) Restarted(store K) {
	if h := c.claims[store]; h != nil {
		*h = storeClaim{stale: true}
	}
}

// Heard tells whether a store has claimed since the view began, in the present life of its process.
func (c *Counter[K]) HasClaimed(store K) bool {
	h := c.claims[store]
	return h != nil && !h.stale
}

// Take takes a store's claim in, unless a newer one was taken before.
func (c *Counter[K]) Apply(store K, claim Claim) {
	h := c.claims[store]
	if h == nil {
		h = &storeClaim{}
		c.claims[store] = h
	}
	if claim.Number <= h.number {
		return
	}
	h.number, h.pending, h.stale = claim.Number, nil, false
	for account, of := range c.used {
		delete(of, store)
		if len(of) == 0 {
			delete(c.used, account)
		}
	}
	for _, entry := range claim.Entries {
		if entry.Used > 0 {
			c.add(entry.Account, store, entry.Used)
		}
		if len(entry.Wants) > 0 {
			h.pending = append(h.pending, entry)
		}
	}
}

func (c *Counter[K]) add(account Account, store K, tokens int64) {
	of := c.used[account]
	if of == nil {
		of = map[K]int64{}
		c.used[account] = of
	}
	of[store] += tokens
}

// Waiting lists the stores that wait for an answer.
func (c *Counter[K]) Pending() []K {
	var list []K
	for store, h := range c.claims {
		if len(h.pending) > 0 {
			list = append(list, store)
		}
	}
	slices.Sort(list)
	return list
}

// Decide answers what a store wants, and gives the number of the claim that is answered. What an unknown bound holds for stays
// unanswered. All stores of the view must have been heard.
func (c *Counter[K]) Decide(store K, limit LimitFunc) (number uint64, verdicts []Decision) {
	h := c.claims[store]
	if h == nil {
		return 0, nil
	}
	var left []Entry
	for _, entry := range h.pending {
		bound, known := limit(entry.Account)
		if !known {
			left = append(left, entry)
			continue
		}
		for _, want := range entry.Wants {
			fits := bound == 0 || c.Total(entry.Account)+want.Tokens <= bound
			if fits {
				c.add(entry.Account, store, want.Tokens)
			}
			verdicts = append(verdicts, Decision{Job: want.Job, Fits: fits})
		}
	}
	h.pending = left
	return h.number, verdicts
}

// Sum gives what waits in an account over all stores, at most.
func (c *Counter[K]) Total(account Account) int64 {
	sum := int64(0)
	for _, level := range c.used[account] {
		sum += level
	}
	return sum
}

// Level gives what waits in an account at one store, at most.
func (c *Counter[K]) UsedBy(account Account, store K) int64 { return c.used[account][store] }

// Accounts lists what is counted here, in a fixed order.
func (c *Counter[K]) Accounts() []Account {
	return slices.SortedFunc(maps.Keys(c.used), CompareAccounts)
}

// Compare orders accounts.
func CompareAccounts(a, b Account) int {
	return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Route, b.Route))
}

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
type Verdict struct {
	Job  string
	Fits bool
}

// Limit gives an account's bound in tokens, 0 for none; false where it isn't known.
type Limit func(Account) (tokens int64, known bool)

// Counter counts accounts over the stores of a view, which are told apart by keys.
type Counter[K cmp.Ordered] struct {
	levels map[Account]map[K]int64 // what each store uses at most
	heard  map[K]*heard
}

// heard is what is kept of a store's newest claim.
type heard struct {
	number uint64
	wants  []Entry // not answered yet
	over   bool    // of a life of its process that is over
}

// NewCounter gives a counter that has heard nobody.
func NewCounter[K cmp.Ordered]() *Counter[K] {
	return &Counter[K]{levels: map[Account]map[K]int64{}, heard: map[K]*heard{}}
}

// Reset forgets everything: the view has changed.
func (c *Counter[K]) Reset() {
	clear(c.levels)
	clear(c.heard)
}

// Restarted notes that a store's process has started again, so that its claims are numbered anew. What it used stands until it claims, for
// which it may have to be asked: it has nothing to tell where it uses nothing.
func (c *Counter[K]) Restarted(store K) {
	if h := c.heard[store]; h != nil {
		*h = heard{over: true}
	}
}

// Heard tells whether a store has claimed since the view began, in the present life of its process.
func (c *Counter[K]) Heard(store K) bool {
	h := c.heard[store]
	return h != nil && !h.over
}

// Take takes a store's claim in, unless a newer one was taken before.
func (c *Counter[K]) Take(store K, claim Claim) {
	h := c.heard[store]
	if h == nil {
		h = &heard{}
		c.heard[store] = h
	}
	if claim.Number <= h.number {
		return
	}
	h.number, h.wants, h.over = claim.Number, nil, false
	for account, of := range c.levels {
		delete(of, store)
		if len(of) == 0 {
			delete(c.levels, account)
		}
	}
	for _, entry := range claim.Entries {
		if entry.Used > 0 {
			c.raise(entry.Account, store, entry.Used)
		}
		if len(entry.Wants) > 0 {
			h.wants = append(h.wants, entry)
		}
	}
}

func (c *Counter[K]) raise(account Account, store K, tokens int64) {
	of := c.levels[account]
	if of == nil {
		of = map[K]int64{}
		c.levels[account] = of
	}
	of[store] += tokens
}

// Waiting lists the stores that wait for an answer.
func (c *Counter[K]) Waiting() []K {
	var list []K
	for store, h := range c.heard {
		if len(h.wants) > 0 {
			list = append(list, store)
		}
	}
	slices.Sort(list)
	return list
}

// Decide answers what a store wants, and gives the number of the claim that is answered. What an unknown bound holds for stays
// unanswered. All stores of the view must have been heard.
func (c *Counter[K]) Decide(store K, limit Limit) (number uint64, verdicts []Verdict) {
	h := c.heard[store]
	if h == nil {
		return 0, nil
	}
	var left []Entry
	for _, entry := range h.wants {
		bound, known := limit(entry.Account)
		if !known {
			left = append(left, entry)
			continue
		}
		for _, want := range entry.Wants {
			fits := bound == 0 || c.Sum(entry.Account)+want.Tokens <= bound
			if fits {
				c.raise(entry.Account, store, want.Tokens)
			}
			verdicts = append(verdicts, Verdict{Job: want.Job, Fits: fits})
		}
	}
	h.wants = left
	return h.number, verdicts
}

// Sum gives what waits in an account over all stores, at most.
func (c *Counter[K]) Sum(account Account) int64 {
	sum := int64(0)
	for _, level := range c.levels[account] {
		sum += level
	}
	return sum
}

// Level gives what waits in an account at one store, at most.
func (c *Counter[K]) Level(account Account, store K) int64 { return c.levels[account][store] }

// Accounts lists what is counted here, in a fixed order.
func (c *Counter[K]) Accounts() []Account {
	return slices.SortedFunc(maps.Keys(c.levels), Compare)
}

// Compare orders accounts.
func Compare(a, b Account) int {
	return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Route, b.Route))
}

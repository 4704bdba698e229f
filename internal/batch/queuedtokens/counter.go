// Package queuedtokens enforces max-queued-tokens: the limit on the tokens that are queued in a tenant's
// batch jobs on one route, over all stores.
//
// # Protocol
//
// Each account (a tenant's batch jobs on a route) is counted by one store of a view, its counter. A store
// claims the capacity that it needs from the counter: its Claim states all tokens that are queued in the batch
// jobs that it answers for, and lists the batch jobs that it wants to accept in addition. The Counter answers
// each Want with a Decision, and grants it as long as the total over all stores stays within the limit.
//
// # Why it is safe
//
//   - A claim states a store's complete usage, not a difference, so that lost, repeated and late claims do no
//     harm: the claim with the highest number counts.
//   - Tokens that a Decision grants are added to the store's usage at once, and count until a newer claim
//     replaces the usage. A store follows only decisions on its newest claim. So the total includes all batch
//     jobs that the stores were allowed to accept.
//   - A counter makes no decision before every store of the view has claimed (Counter.HasClaimed). So it may
//     lose its state when the view changes or its process restarts.
//
// The package is pure: it uses no clock and does no I/O. Package replica sends the messages.
package queuedtokens

import (
	"cmp"
	"maps"
	"slices"
)

// LimitFunc returns an account's limit in tokens, or 0 if there is no limit. known is false while the
// configuration isn't known.
type LimitFunc func(Account) (tokens int64, known bool)

// Counter counts the tokens of accounts over the stores of a view. K identifies a store. A Counter isn't safe
// for concurrent use.
type Counter[K cmp.Ordered] struct {
	used   map[Account]map[K]int64 // upper bound of each store's usage in tokens; contains no empty maps
	claims map[K]*storeClaim
}

// storeClaim is the state that is kept of a store's newest claim.
type storeClaim struct {
	number  uint64
	pending []Entry // entries with wants that are not answered yet
	stale   bool    // the claim is from an earlier incarnation of the store
}

// NewCounter returns a counter that has received no claims.
func NewCounter[K cmp.Ordered]() *Counter[K] {
	return &Counter[K]{used: map[Account]map[K]int64{}, claims: map[K]*storeClaim{}}
}

// Reset drops all claims. It is called when the view has changed.
func (c *Counter[K]) Reset() {
	clear(c.used)
	clear(c.claims)
}

// Restarted records that a store's process has restarted, so that the numbers of its claims start over. Its
// usage counts until it claims again. It may have to be asked to claim: a store that uses nothing has no reason
// to do so by itself.
func (c *Counter[K]) Restarted(store K) {
	if claim := c.claims[store]; claim != nil {
		*claim = storeClaim{stale: true}
	}
}

// HasClaimed reports whether a store's current incarnation has claimed since the view began.
func (c *Counter[K]) HasClaimed(store K) bool {
	claim := c.claims[store]
	return claim != nil && !claim.stale
}

// Apply replaces a store's claim. A claim that isn't newer than the store's last one is ignored.
func (c *Counter[K]) Apply(store K, claim Claim) {
	current := c.claims[store]
	if current == nil {
		current = &storeClaim{}
		c.claims[store] = current
	}
	if claim.Number <= current.number {
		return
	}
	current.number, current.pending, current.stale = claim.Number, nil, false
	for account, stores := range c.used {
		delete(stores, store)
		if len(stores) == 0 {
			delete(c.used, account)
		}
	}
	for _, entry := range claim.Entries {
		if entry.Used > 0 {
			c.add(entry.Account, store, entry.Used)
		}
		if len(entry.Wants) > 0 {
			current.pending = append(current.pending, entry)
		}
	}
}

// add adds tokens to a store's usage of an account.
func (c *Counter[K]) add(account Account, store K, tokens int64) {
	stores := c.used[account]
	if stores == nil {
		stores = map[K]int64{}
		c.used[account] = stores
	}
	stores[store] += tokens
}

// Pending returns the stores that have unanswered wants, in ascending order.
func (c *Counter[K]) Pending() []K {
	var stores []K
	for store, claim := range c.claims {
		if len(claim.pending) > 0 {
			stores = append(stores, store)
		}
	}
	slices.Sort(stores)
	return stores
}

// Decide answers a store's pending wants. It returns the number of the claim that they belong to, and the
// decisions. Wants whose limit isn't known stay pending. The caller must make sure that all stores of the view
// have claimed (see HasClaimed).
func (c *Counter[K]) Decide(store K, limit LimitFunc) (number uint64, decisions []Decision) {
	claim := c.claims[store]
	if claim == nil {
		return 0, nil
	}
	var pending []Entry
	for _, entry := range claim.pending {
		tokens, known := limit(entry.Account)
		if !known {
			pending = append(pending, entry)
			continue
		}
		for _, want := range entry.Wants {
			fits := tokens == 0 || c.Total(entry.Account)+want.Tokens <= tokens
			if fits {
				c.add(entry.Account, store, want.Tokens)
			}
			decisions = append(decisions, Decision{Job: want.Job, Fits: fits})
		}
	}
	claim.pending = pending
	return claim.number, decisions
}

// Total returns an upper bound of the tokens that are queued in an account at all stores together.
func (c *Counter[K]) Total(account Account) int64 {
	total := int64(0)
	for _, tokens := range c.used[account] {
		total += tokens
	}
	return total
}

// UsedBy returns an upper bound of the tokens that are queued in an account at one store.
func (c *Counter[K]) UsedBy(account Account, store K) int64 { return c.used[account][store] }

// Accounts returns the accounts that are in use, in order.
func (c *Counter[K]) Accounts() []Account {
	return slices.SortedFunc(maps.Keys(c.used), CompareAccounts)
}

package queuedtokens

import (
	"cmp"
	"slices"
)

// Account identifies the batch jobs that one limit applies to: those of a tenant on a route.
type Account struct{ Tenant, Route string }

// CompareAccounts orders accounts, for slices.SortFunc.
func CompareAccounts(a, b Account) int {
	return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Route, b.Route))
}

// Claim states a store's complete usage of, and wants on, the accounts that one counter counts. The store uses
// nothing of accounts that have no entry. Stores send claims to each other, encoded by gob, so the fields must
// keep their names.
type Claim struct {
	Number  uint64 // increases with each claim that an incarnation sends to a counter
	Entries []Entry
}

// Entry states a store's usage of, and wants on, one account.
type Entry struct {
	Account Account
	// Used is the number of tokens that are queued in the batch jobs that the store answers for, including
	// batch jobs that a Decision has let it accept.
	Used  int64
	Wants []Want
}

// Want asks for capacity for a batch job.
type Want struct {
	Job    string // id of the batch job
	Tokens int64
}

// Decision answers a Want.
type Decision struct {
	Job  string
	Fits bool // the batch job may be accepted
}

// Wants reports whether a claim has any wants.
func (c *Claim) Wants() bool {
	return slices.ContainsFunc(c.Entries, func(e Entry) bool { return len(e.Wants) > 0 })
}

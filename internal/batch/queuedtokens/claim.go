package queuedtokens

import (
	"cmp"
	"slices"
)

// Account identifies what one limit applies to: a tenant's batch jobs on a route.
type Account struct{ Tenant, Route string }

// CompareAccounts orders accounts, for slices.SortFunc.
func CompareAccounts(a, b Account) int {
	return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Route, b.Route))
}

// Claim is all that a store uses and wants of the accounts that one counter counts. It uses nothing of
// accounts that it doesn't name. Stores send claims to each other, encoded by gob: fields keep their names.
type Claim struct {
	Number  uint64 // rises with each claim of an incarnation to a counter
	Entries []Entry
}

// Entry is a store's part of an account.
type Entry struct {
	Account Account
	// Used is the tokens that are queued in the batch jobs that the store answers for, with those that a
	// Decision has let it accept.
	Used  int64
	Wants []Want
}

// Want asks for capacity for a batch job.
type Want struct {
	Job    string // id
	Tokens int64
}

// Decision answers a Want.
type Decision struct {
	Job  string
	Fits bool // the batch job may be accepted
}

// Wants reports whether a claim wants anything.
func (c *Claim) Wants() bool {
	return slices.ContainsFunc(c.Entries, func(e Entry) bool { return len(e.Wants) > 0 })
}

package quota

import (
	"cmp"
	"slices"
	"time"
)

// Parameters by which floors follow the levels of their pools. Each change is a write to the replicated state, so
// a floor is raised rarely, and lowered far enough that the next change isn't needed soon.
const (
	steadyFloorShare  = 0.25            // the floor of a full pool, as a share of the budget's depth
	fullPoolShare     = 0.9             // share of the pool's depth from which on a pool counts as full
	lowerThreshold    = 1.6             // a floor is lowered when the pool's level falls below this multiple of it
	loweredFloorShare = 1.0 / 3         // a lowered floor, as a share of the pool's level
	minRaiseInterval  = 2 * time.Second // minimum time from a change of a tenant's floor to a raise
	minRaise          = 2 * token
)

// Floor is a recorded lower bound of the level of a tenant's pool: the pool doesn't fall below it while it is
// recorded. An allocator starts its term with that many tokens in the pool, because its predecessor certainly left
// them there. It must lower the floor itself before it grants these tokens.
//
// Floors are part of the replicated state, encoded with gob: the names of the fields are fixed.
type Floor struct {
	Tenant string
	Tokens int64 // whole tokens
}

// poolFloor is the floor of one tenant's pool.
//
// Invariant: the pool's level is at least recorded, because grants leave at least bound in the pool. A raise
// applies from when it is requested, a decrease only once it is recorded: so the level isn't below the floor,
// whether the record has the old or the new one.
type poolFloor struct {
	recorded     amount
	pendingRaise amount // 0, or a raised floor that was requested and may already be recorded
	changedAt    time.Duration
}

// bound returns the level below which grants may not bring the pool.
func (f *poolFloor) bound() amount { return max(f.recorded, f.pendingRaise) }

// needsLowerFloor reports whether the floor prevents grants or soon will.
func (q *tenantQuota) needsLowerFloor() bool {
	bound := q.floor.bound()
	return bound > 0 && q.pool.level.float() < lowerThreshold*bound.float()
}

// allowsHigherFloor reports whether the floor may be raised: the pool is full and its floor is low. A full pool may
// hold less than steadyFloor when much is leased after a limit was lowered, so the level must reach both
// steadyFloor and fullPoolShare.
func (q *tenantQuota) allowsHigherFloor(now time.Duration) bool {
	steady := q.steadyFloor()
	return q.pool.level >= steady && q.pool.level.float() >= fullPoolShare*q.poolDepth().float() &&
		now-q.floor.changedAt >= minRaiseInterval && steady >= q.floor.recorded+minRaise
}

// steadyFloor returns the floor of a full pool.
func (q *tenantQuota) steadyFloor() amount { return amount(steadyFloorShare * float64(q.budget.depth)) }

// FloorChanges returns the floors to be changed in the record, sorted by tenant. The caller records them and then
// calls FloorsRecorded; until the outcome is known it must have no other change in flight.
func (a *Allocator) FloorChanges(now time.Duration) (changes []Floor) {
	if !a.grantees.enabled || a.term == 0 {
		return nil
	}
	a.now = max(a.now, now)
	for _, q := range a.tenants {
		if !q.limited {
			continue
		}
		a.refill(q)
		switch {
		case q.needsLowerFloor():
			q.floor.changedAt = a.now
			lowered := amount(loweredFloorShare * float64(max(0, q.pool.level)))
			changes = append(changes, Floor{q.name, lowered.wholeTokens()})
		case q.allowsHigherFloor(a.now):
			q.floor.changedAt = a.now
			raised := q.steadyFloor().wholeTokens()
			q.floor.pendingRaise = amount(raised) * token
			changes = append(changes, Floor{q.name, raised})
		}
	}
	slices.SortFunc(changes, func(x, y Floor) int { return cmp.Compare(x.Tenant, y.Tenant) })
	return changes
}

// FloorsRecorded informs the allocator that floors have been recorded.
func (a *Allocator) FloorsRecorded(floors []Floor) {
	for _, floor := range floors {
		if a.recordedFloors != nil {
			a.recordedFloors[floor.Tenant] = amount(floor.Tokens) * token
		}
		if q := a.tenants[floor.Tenant]; q != nil {
			q.floor.recorded, q.floor.pendingRaise = amount(floor.Tokens)*token, 0
		}
	}
}

// FloorChangeUrgent reports whether, since the last call, a grant has brought a pool so low that its floor
// prevents grants or soon will. The caller should then call FloorChanges without delay.
func (a *Allocator) FloorChangeUrgent() bool {
	urgent := a.floorChangeUrgent
	a.floorChangeUrgent = false
	return urgent
}

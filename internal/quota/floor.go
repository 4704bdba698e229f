package quota

import (
	"cmp"
	"slices"
	"time"
)

// How floors follow the pools' levels. Each change is a write to the replicated state, so a floor is raised
// seldom, and lowered far enough that the next change isn't needed soon.
const (
	steadyFloorShare  = 0.25            // of the depth: the floor of a pool that is full
	fullPoolShare     = 0.9             // of the depth: from this level on a pool counts as full
	lowerThreshold    = 1.6             // times the floor: at a level below it the floor is to be lowered
	loweredFloorShare = 1.0 / 3         // of the level: a lowered floor
	minRaiseInterval  = 2 * time.Second // between a change of a tenant's floor and a raise
	minRaise          = 2 * token
)

// Floor is a recorded lower bound of a tenant's pool: the pool doesn't fall below it while it is recorded. An
// allocator that starts a term starts with that many tokens in the pool, because its predecessor certainly
// left them there. It must lower the floor itself before it grants them.
//
// Floors are part of the replicated state (gob): the names of the fields are fixed.
type Floor struct {
	Tenant string
	Tokens int64 // whole tokens
}

// poolFloor is the floor of one tenant's pool.
//
// Invariant: the pool's level is at least recorded, because grants leave bound in the pool. A raise applies
// from when it is requested, a decrease only once it is recorded: so whatever of the two the record holds is
// kept.
type poolFloor struct {
	recorded     amount
	pendingRaise amount // requested, and perhaps recorded already
	changedAt    time.Duration
}

// bound is the level that grants may not go below.
func (f *poolFloor) bound() amount { return max(f.recorded, f.pendingRaise) }

// needsLowerFloor reports whether the floor prevents grants or soon will.
func (q *tenantQuota) needsLowerFloor() bool {
	bound := q.floor.bound()
	return bound > 0 && q.pool.level.float() < lowerThreshold*bound.float()
}

// allowsHigherFloor reports whether the pool is full and its floor is low. A full pool may hold less than
// steadyFloor, where much is leased under a limit that was lowered: so the level must reach both.
func (q *tenantQuota) allowsHigherFloor(now time.Duration) bool {
	steady := q.steadyFloor()
	return q.pool.level >= steady && q.pool.level.float() >= fullPoolShare*q.poolDepth().float() &&
		now-q.floor.changedAt >= minRaiseInterval && steady >= q.floor.recorded+minRaise
}

// steadyFloor is the floor of a full pool.
func (q *tenantQuota) steadyFloor() amount { return amount(steadyFloorShare * float64(q.budget.depth)) }

// FloorChanges lists the floors to be changed in the record. The caller records them and then calls
// FloorsRecorded; until the outcome is known it must have no other change in flight.
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

// FloorsRecorded tells the allocator that floors have been recorded.
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
// prevents grants or soon will. FloorChanges should then be called without delay.
func (a *Allocator) FloorChangeUrgent() bool {
	urgent := a.floorChangeUrgent
	a.floorChangeUrgent = false
	return urgent
}

package quota

import (
	"cmp"
	"slices"
	"time"
)

// The figures by which floors follow pools.
const (
	steadyFloorShare  = 0.25            // of the depth: a pool's floor in calm
	fullPoolShare     = 0.9             // of the depth: with so much in it a pool counts as full
	lowerThreshold    = 1.6             // times the floor: below it the floor is to be lowered
	loweredFloorShare = 1.0 / 3         // of the level
	minRaiseInterval  = 2 * time.Second // at most, of one tenant
	minRaise          = 2 * token
)

// Floor is a level, in whole tokens, below which a tenant's pool doesn't fall while it is on record. An allocator that starts
// finds so much in the pool, as the one before surely left it.
type Floor struct {
	Tenant string
	Tokens int64
}

// floor is an account's.
type poolFloor struct {
	recorded     amount
	pendingRaise amount // on its way to the record: it is kept to already
	changedAt    time.Duration
}

// least is what a pool may not fall below.
func (f *poolFloor) bound() amount { return max(f.recorded, f.pendingRaise) }

// free is what may be granted from an account's pool.
func (q *tenantQuota) grantable() amount { return max(0, q.pool.level-q.floor.bound()) }

// lowers tells whether the floor stands in the way, or soon will.
func (q *tenantQuota) needsLowerFloor() bool {
	bound := q.floor.bound()
	return bound > 0 && q.pool.level.float() < lowerThreshold*bound.float()
}

// raises tells whether the pool has been full while the floor was low. Full may be less than the floor to be, where much is lent
// under a limit that was lowered.
func (q *tenantQuota) allowsHigherFloor(now time.Duration) bool {
	return q.pool.level >= q.steadyFloor() && q.pool.level.float() >= fullPoolShare*q.poolDepth().float() && now-q.floor.changedAt >= minRaiseInterval &&
		q.steadyFloor() >= q.floor.recorded+minRaise
}

func (q *tenantQuota) steadyFloor() amount { return amount(steadyFloorShare * float64(q.budget.depth)) }

// Floors gives the floors that are to be changed on the record. Once they are, FloorsRecorded is to be called. Until then there
// must be no other change out.
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
			changes = append(changes, Floor{q.name, wholeTokens(amount(loweredFloorShare * float64(max(0, q.pool.level))))})
		case q.allowsHigherFloor(a.now):
			q.floor.changedAt = a.now
			raised := wholeTokens(q.steadyFloor())
			q.floor.pendingRaise = amount(raised) * token
			changes = append(changes, Floor{q.name, raised})
		}
	}
	slices.SortFunc(changes, func(x, y Floor) int { return cmp.Compare(x.Tenant, y.Tenant) })
	return changes
}

func wholeTokens(level amount) int64 { return int64(level / token) }

// FloorsRecorded takes in that floors have been put on record.
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

// Pressed tells whether a floor stands in the way of a grant, or soon will.
func (a *Allocator) FloorChangeUrgent() bool {
	urgent := a.floorChangeUrgent
	a.floorChangeUrgent = false
	return urgent
}

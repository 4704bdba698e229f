package quota

import (
	"cmp"
	"slices"
	"time"
)

// The figures by which floors follow pools.
const (
	floorShare = 0.25            // of the depth: a pool's floor in calm
	fullShare  = 0.9             // of the depth: with so much in it a pool counts as full
	lowerAt    = 1.6             // times the floor: below it the floor is to be lowered
	lowerTo    = 1.0 / 3         // of the level
	raiseEvery = 2 * time.Second // at most, of one tenant
	leastRaise = 2 * token
)

// Floor is a level, in whole tokens, below which a tenant's pool doesn't fall while it is on record. An allocator that starts
// finds so much in the pool, as the one before surely left it.
type Floor struct {
	Tenant string
	Tokens int64
}

// floor is an account's.
type floor struct {
	recorded amount
	raising  amount // on its way to the record: it is kept to already
	raisedAt time.Duration
}

// least is what a pool may not fall below.
func (f *floor) least() amount { return max(f.recorded, f.raising) }

// free is what may be granted from an account's pool.
func (one *account) free() amount { return max(0, one.pool.level-one.floor.least()) }

// lowers tells whether the floor stands in the way, or soon will.
func (one *account) lowers() bool {
	least := one.floor.least()
	return least > 0 && one.pool.level.float() < lowerAt*least.float()
}

// raises tells whether the pool has been full while the floor was low. Full may be less than the floor to be, where much is lent
// under a limit that was lowered.
func (one *account) raises(now time.Duration) bool {
	return one.pool.level >= one.calmFloor() && one.pool.level.float() >= fullShare*one.poolDepth().float() && now-one.floor.raisedAt >= raiseEvery &&
		one.calmFloor() >= one.floor.recorded+leastRaise
}

func (one *account) calmFloor() amount { return amount(floorShare * float64(one.budget.depth)) }

// Floors gives the floors that are to be changed on the record. Once they are, FloorsRecorded is to be called. Until then there
// must be no other change out.
func (a *Allocator) Floors(now time.Duration) (changes []Floor) {
	if !a.record.kept || a.term == 0 {
		return nil
	}
	a.now = max(a.now, now)
	for _, one := range a.accounts {
		if !one.limited {
			continue
		}
		a.refill(one)
		switch {
		case one.lowers():
			one.floor.raisedAt = a.now
			changes = append(changes, Floor{one.tenant, wholeTokens(amount(lowerTo * float64(max(0, one.pool.level))))})
		case one.raises(a.now):
			one.floor.raisedAt = a.now
			raised := wholeTokens(one.calmFloor())
			one.floor.raising = amount(raised) * token
			changes = append(changes, Floor{one.tenant, raised})
		}
	}
	slices.SortFunc(changes, func(x, y Floor) int { return cmp.Compare(x.Tenant, y.Tenant) })
	return changes
}

func wholeTokens(level amount) int64 { return int64(level / token) }

// FloorsRecorded takes in that floors have been put on record.
func (a *Allocator) FloorsRecorded(floors []Floor) {
	for _, one := range floors {
		if a.floors != nil {
			a.floors[one.Tenant] = amount(one.Tokens) * token
		}
		if of := a.accounts[one.Tenant]; of != nil {
			of.floor.recorded, of.floor.raising = amount(one.Tokens)*token, 0
		}
	}
}

// Pressed tells whether a floor stands in the way of a grant, or soon will.
func (a *Allocator) Pressed() bool {
	pressed := a.pressed
	a.pressed = false
	return pressed
}

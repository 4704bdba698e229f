package control

import (
	"time"
)

// Times of the singleton roles.
const (
	rolesInterval  = 200 * time.Millisecond // between rounds, unless something wakes the loop
	proposeTimeout = 2 * time.Second        // of one command
)

// rolesLoop performs the singleton roles while they fall to this process: keeping the store membership and
// the grant record. Each round decides anew from the present state, so a command whose outcome is unknown
// needs no further care.
func (c *Control) rolesLoop() {
	ticker := time.NewTicker(rolesInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-c.wakeRoles:
		case <-c.ctx.Done():
			return
		}
		for _, command := range c.storeCommands() {
			c.proposeStoreCommand(command)
		}
		c.updateGrants()
	}
}

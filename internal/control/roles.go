package control

import (
	"time"
)

// Timing of the singleton roles.
const (
	rolesInterval  = 200 * time.Millisecond // between rounds, unless wakeRoles is signaled
	proposeTimeout = 2 * time.Second        // for one command
)

// rolesLoop performs the singleton roles while this process holds them: it maintains the store membership and
// the grant record. Each round decides from the current state, so a command whose outcome is unknown needs no
// special handling.
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

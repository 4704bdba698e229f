package control

import (
	"context"
	"errors"
	"time"

	"sprucelane.example/sprucelane/coord/replica"
	"sprucelane.example/sprucelane/internal/control/liveness"
	"sprucelane.example/sprucelane/internal/control/statemachine"
	"sprucelane.example/sprucelane/internal/protocol"
)

// storeCommands returns the commands that are to be proposed for the store membership now. It returns none
// unless this process leads the chain.
func (c *Control) storeCommands() []statemachine.Command {
	epoch, _, leads := c.replica.LeaderLease()
	stores := c.state.Stores()
	others := c.otherControls()
	now := c.now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.liveness.SetLeadership(now, epoch, leads)
	c.liveness.Expire(now)
	var commands []statemachine.Command
	if joins := c.liveness.Joins(now, stores, c.admission); len(joins) > 0 {
		join := &statemachine.Join{Processes: joins, Epoch: stores.Epoch, ActedIn: c.liveness.LastEpochActedIn(joins)}
		commands = append(commands, statemachine.Command{Join: join})
	}
	commands = append(commands, c.evictions(now, stores, others)...)
	if c.liveness.Reconciled(now, stores, c.settings.Tolerance.Machines) {
		commands = append(commands, statemachine.Command{Settle: &statemachine.Settle{Epoch: stores.Epoch}})
	}
	for _, member := range c.liveness.Drained(now, stores) {
		retired := &statemachine.Retired{Node: member.Node, Incarnation: member.Incarnation, Epoch: stores.Epoch}
		commands = append(commands, statemachine.Command{Retired: retired})
	}
	return commands
}

// admission returns whether a batch process may join the membership. A Join without effect must not be
// proposed, because it would be proposed again in every round.
func (c *Control) admission(process protocol.Process) liveness.Admission {
	switch {
	case !c.state.MayJoin(process):
		return liveness.NotAdmitted
	case c.state.Retirement(process.Node) == statemachine.RetirementCompleted:
		return liveness.AdmittedAfterDelay
	}
	return liveness.Admitted
}

// evictions returns the commands for members that have timed out and for suspected members that poll again. An
// eviction takes two steps: a suspicion is committed first, and the member is evicted once the suspicion has
// lasted for the length of a lease. Meanwhile no control process that knows the suspicion grants the member a
// lease. A lease granted by a process that doesn't know the suspicion is shortened by that process's staleness,
// so it also ends within StoreLease after the suspicion.
func (c *Control) evictions(now time.Duration, stores protocol.StoreView, others []string) []statemachine.Command {
	var suspicions []liveness.Suspicion
	expired := map[string]uint64{} // numbers of suspicions that allow an eviction, by node
	for _, member := range stores.Members {
		number := c.state.Suspicion(member.Node, member.Incarnation)
		suspicions = append(suspicions, liveness.Suspicion{Member: member, Number: number})
		if c.liveness.SuspicionExpired(now, number) {
			expired[member.Node] = number
		}
	}
	timedOut, returned := c.liveness.Suspects(now, suspicions, others)
	var commands []statemachine.Command
	for _, member := range returned {
		suspect := &statemachine.Suspect{Node: member.Node, Incarnation: member.Incarnation, Over: true}
		commands = append(commands, statemachine.Command{Suspect: suspect})
	}
	for _, member := range timedOut {
		suspect := &statemachine.Suspect{Node: member.Node, Incarnation: member.Incarnation}
		commands = append(commands, statemachine.Command{Suspect: suspect})
	}
	for _, member := range c.liveness.Evictions(now, stores, others) {
		if number := expired[member.Node]; number != 0 {
			evict := &statemachine.Evict{Node: member.Node, Incarnation: member.Incarnation, Suspicion: number}
			commands = append(commands, statemachine.Command{Evict: evict})
		}
	}
	return commands
}

// proposeStoreCommand proposes a command on the store membership and waits until it is committed, for at most
// proposeTimeout. The log line names the committed command and the current epoch. A command that no longer
// applied to the membership changes nothing, so its log line has the previous epoch.
func (c *Control) proposeStoreCommand(command statemachine.Command) {
	encoded, err := command.Encode()
	if err != nil {
		c.log.Error().Err(err).Msg("store_command_not_encoded")
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, proposeTimeout)
	defer cancel()
	_, err = c.replica.Propose(ctx, "stores-"+randomName(), encoded)
	if errors.Is(err, replica.ErrClosed) {
		return // the process is shutting down
	}
	if err != nil {
		c.log.Warn().Err(err).Msg("store_command_not_committed")
		return
	}
	event := c.log.Info()
	switch {
	case command.Join != nil:
		nodes := make([]string, 0, len(command.Join.Processes))
		for _, process := range command.Join.Processes {
			nodes = append(nodes, process.Node)
		}
		event = event.Strs("joins", nodes)
	case command.Suspect != nil:
		event = event.Str("suspected", command.Suspect.Node).Bool("over", command.Suspect.Over)
	case command.Evict != nil:
		event = event.Str("evicted", command.Evict.Node)
	case command.Retired != nil:
		event = event.Str("retired", command.Retired.Node)
	case command.Settle != nil:
		event = event.Uint64("reconciled", command.Settle.Epoch)
	}
	event.Uint64("epoch", c.state.Stores().Epoch).Msg("store_membership_changed")
}

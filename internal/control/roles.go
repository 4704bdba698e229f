package control

import (
	"context"
	"errors"
	"net"
	"reflect"
	"strconv"
	"time"

	"sprucelane.example/sprucelane/coord/replica"
	"sprucelane.example/sprucelane/internal/control/liveness"
	"sprucelane.example/sprucelane/internal/control/statemachine"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/protocol"
)

// Times of the roles that one process has at a time.
const (
	rolesInterval  = 200 * time.Millisecond
	proposeTimeout = 2 * time.Second
)

// rolesLoop does what falls to the process that leads the chain: it keeps the set of batch processes.
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

// storeCommands gives what the set of batch processes needs now.
func (c *Control) storeCommands() []statemachine.Command {
	epoch, _, leads := c.replica.Lead()
	stores := c.state.Stores()
	others := c.otherControls()
	now := c.now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.liveness.SetLeadership(now, epoch, leads)
	c.liveness.Expire(now)
	var commands []statemachine.Command
	if joins := c.liveness.Joins(now, stores, c.admission); len(joins) > 0 {
		commands = append(commands, statemachine.Command{Join: &statemachine.Join{Processes: joins, Epoch: stores.Epoch, ActedIn: c.liveness.LastEpochActedIn(joins)}})
	}
	commands = append(commands, c.evictions(now, stores, others)...)
	if c.liveness.Reconciled(now, stores, c.settings.Tolerance.Machines) {
		commands = append(commands, statemachine.Command{Settle: &statemachine.Settle{Epoch: stores.Epoch}})
	}
	for _, member := range c.liveness.Drained(now, stores) {
		commands = append(commands, statemachine.Command{Retired: &statemachine.Retired{Node: member.Node, Incarnation: member.Incarnation, Epoch: stores.Epoch}})
	}
	return commands
}

// admission tells whether a batch process may join the set. An order to let one in that may not would do nothing, again and again.
func (c *Control) admission(process protocol.Process) liveness.Admission {
	switch {
	case !c.state.MayJoin(process):
		return liveness.NotAdmitted
	case c.state.Retirement(process.Node) == statemachine.RetirementCompleted:
		return liveness.AdmittedAfterDelay
	}
	return liveness.Admitted
}

// evictions gives what the silence of members calls for, first a suspicion, and an eviction once that has stood for a lease: whoever
// polls again before gets none from a control process that hasn't told the head yet.
func (c *Control) evictions(now time.Duration, stores protocol.StoreView, others []string) []statemachine.Command {
	var suspicions []liveness.Suspicion
	ripe := map[string]uint64{}
	for _, member := range stores.Members {
		number := c.state.Suspicion(member.Node, member.Incarnation)
		suspicions = append(suspicions, liveness.Suspicion{Member: member, Number: number})
		if c.liveness.SuspicionExpired(now, number) {
			ripe[member.Node] = number
		}
	}
	silent, back := c.liveness.Suspects(now, suspicions, others)
	var commands []statemachine.Command
	for _, member := range back {
		commands = append(commands, statemachine.Command{Suspect: &statemachine.Suspect{Node: member.Node, Incarnation: member.Incarnation, Over: true}})
	}
	for _, member := range silent {
		commands = append(commands, statemachine.Command{Suspect: &statemachine.Suspect{Node: member.Node, Incarnation: member.Incarnation}})
	}
	for _, member := range c.liveness.Evictions(now, stores, others) {
		if number := ripe[member.Node]; number != 0 {
			commands = append(commands, statemachine.Command{Evict: &statemachine.Evict{Node: member.Node, Incarnation: member.Incarnation, Suspicion: number}})
		}
	}
	return commands
}

// otherControls gives the addresses of the other members of the chain. Founders' names aren't known to all at first.
func (c *Control) otherControls() []string {
	self := c.replica.Self()
	var list []string
	for _, member := range c.replica.View().Chain {
		if !member.Same(self) {
			list = append(list, hostOf(member.Address))
		}
	}
	return list
}

// hostOf gives the IP of an address, empty where it has none.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return host
}

// keepLending keeps the record of who lends quota to whom.
func (c *Control) updateGrants() {
	change := c.quota.NextChange()
	if change == nil {
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, proposeTimeout)
	defer cancel()
	outcome := c.proposeGrants(ctx, change)
	c.quota.ChangeDone(change, outcome)
	if outcome != nil && outcome.Taken && change.Begin {
		c.log.Info().Str("before", outcome.Before.Member).Int("nodes", len(outcome.Nodes)).Msg("lends-quota")
	}
}

// endLending hands the lending of quota on.
func (c *Control) releaseGrants(ctx context.Context) {
	if change := c.quota.Release(); change != nil {
		c.proposeGrants(ctx, change)
	}
}

// proposeLending proposes a change of the record; nil: what came of it isn't known, and the next round looks again.
func (c *Control) proposeGrants(ctx context.Context, change *statemachine.GrantsChange) *statemachine.GrantsOutcome {
	raw, err := statemachine.Command{Lending: change}.Encode()
	if err != nil {
		c.log.Error().Err(err).Msg("lending-command")
		return nil
	}
	if raw, err = c.replica.Propose(ctx, "lending-"+randomName(), raw); err != nil {
		return nil
	}
	outcome, err := statemachine.DecodeOutcome(raw)
	if err != nil {
		c.log.Error().Err(err).Msg("lending-outcome")
		return nil
	}
	return outcome.Lending
}

// proposeRole proposes a command. Whatever comes of it, the next round looks again at what is needed.
func (c *Control) proposeStoreCommand(command statemachine.Command) {
	raw, err := command.Encode()
	if err != nil {
		c.log.Error().Err(err).Msg("store-set-command")
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, proposeTimeout)
	defer cancel()
	_, err = c.replica.Propose(ctx, "stores-"+randomName(), raw)
	if err != nil && !errors.Is(err, replica.ErrClosed) {
		c.log.Warn().Err(err).Msg("store-set-not-changed")
		return
	}
	event := c.log.Info()
	switch {
	case command.Join != nil:
		for _, process := range command.Join.Processes {
			event = event.Str("joins", process.Node)
		}
	case command.Suspect != nil:
		event = event.Str("suspected", command.Suspect.Node).Bool("over", command.Suspect.Over)
	case command.Evict != nil:
		event = event.Str("evicted", command.Evict.Node)
	case command.Retired != nil:
		event = event.Str("retired", command.Retired.Node)
	case command.Settle != nil:
		event = event.Uint64("settled", command.Settle.Epoch)
	}
	event.Uint64("epoch", c.state.Stores().Epoch).Msg("store-set")
}

// gatewaysPause is the least time between two lists of processes that differ in gateways only: many start together.
const minGatewayListInterval = time.Second

// refreshMembers brings the list of processes up to date.
func (c *Control) refreshMembers() {
	next := protocol.MemberList{Control: c.controlMembers(), QuotaAddress: c.quotaAddress()}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	next.Stores = c.state.Stores()
	next.Gateways = c.memberList.Gateways
	if now := c.now(); c.memberList.Version == 0 || now-c.gatewaysListedAt >= minGatewayListInterval {
		next.Gateways = c.liveness.Gateways(now)
		c.gatewaysListedAt = now
	}
	next.Version = c.memberList.Version
	if next.Version > 0 && reflect.DeepEqual(next, c.memberList) {
		return
	}
	next.Version++
	c.memberList = next
}

// controlMembers gives the control processes that are known. The zone is known of those that are connected.
func (c *Control) controlMembers() []protocol.ControlMember {
	var list []protocol.ControlMember
	for _, ip := range c.controlIPs() {
		list = append(list, c.peers.member(ip))
	}
	return list
}

// member gives what is known of the control process at an address.
func (p *peers) member(ip string) protocol.ControlMember {
	s := p.control.settings
	if ip == s.IP {
		return protocol.ControlMember{Node: s.NodeName, Zone: s.Zone, IP: ip}
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	one := protocol.ControlMember{IP: ip}
	if known := p.byIP[ip]; known != nil {
		remote := known.client.Remote()
		one.Node, one.Zone = remote.Node, remote.Zone
	}
	return one
}

// quotaAddress gives where the allocator of quotas is: at the head of the chain.
func (c *Control) quotaAddress() string {
	ip := hostOf(c.replica.View().Head().Address)
	if ip == "" {
		return ""
	}
	return net.JoinHostPort(ip, strconv.Itoa(c.settings.Port(node.PortControl)))
}

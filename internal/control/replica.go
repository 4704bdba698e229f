package control

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"sprucelane.example/sprucelane/coord/replica"
	"sprucelane.example/sprucelane/coord/view"
	"sprucelane.example/sprucelane/internal/control/operatorapi"
	"sprucelane.example/sprucelane/internal/node"
)

// Replica is the part of a chain member's interface that the control plane uses. *replica.Node implements it
// and documents the methods; tests wrap or replace it.
type Replica interface {
	Propose(ctx context.Context, id string, command []byte) ([]byte, error)
	Read(ctx context.Context) (uint64, error)
	Staleness() (age time.Duration, ok bool)
	View() view.View
	Applied() uint64
	Self() view.Member
	Members() []replica.Peer
	LeaderLease() (epoch uint64, until time.Time, ok bool)
	HeadLease() (until time.Time, ok bool)
	OnView(call func(view.View))
	SetSeeds(seeds []string)
	HandOver(ctx context.Context) error
	Close()
}

// chainEventLevel returns the log level of an event of the chain: error if acknowledged data was lost or data
// can't be written, info otherwise.
func chainEventLevel(event string) zerolog.Level {
	switch event {
	case "disk_corrupt", "disk_write_failed":
		return zerolog.ErrorLevel
	}
	return zerolog.InfoLevel
}

// replicaOptions returns the options of this process's replica.
func (c *Control) replicaOptions() replica.Options {
	s := c.settings
	return replica.Options{
		Identity:     c.identity(),
		Listen:       s.Endpoint(node.PortCoordination),
		Seeds:        s.SeedEndpoints(node.PortCoordination),
		Bootstrap:    s.Bootstrap,
		DataDir:      s.DataDir,
		Bind:         c.environment.bind,
		Dial:         c.environment.dial,
		Disk:         c.environment.disk,
		Tolerance:    s.Tolerance.Machines,
		StateMachine: c.state,
		Log: func(event string, fields ...any) {
			c.log.WithLevel(chainEventLevel(event)).Fields(fields).Str("part", "chain").Msg(event)
		},
	}
}

// viewChanged is called when the chain's view has changed. The singleton roles, the reader of the server list
// and the member list depend on the view.
func (c *Control) viewChanged() {
	wake(c.wakeRoles)
	wake(c.wakeDiscovery)
	wake(c.wakePush)
}

// operatorChain adapts a Replica to the operator's API.
type operatorChain struct{ replica Replica }

// Propose implements operatorapi.Chain.
func (o operatorChain) Propose(ctx context.Context, id string, command []byte) ([]byte, error) {
	result, err := o.replica.Propose(ctx, id, command)
	if errors.Is(err, replica.ErrUnavailable) {
		return nil, fmt.Errorf("%w: %w", operatorapi.ErrUnavailable, err)
	}
	return result, err
}

// Read implements operatorapi.Chain.
func (o operatorChain) Read(ctx context.Context) error {
	_, err := o.replica.Read(ctx)
	return err
}

// controlIPs returns the IPs of all known control processes: the members of the chain, and the other
// processes that the replica knows.
func (c *Control) controlIPs() []string {
	seen := map[string]bool{}
	var list []string
	add := func(address string) {
		if ip := hostOf(address); ip != "" && !seen[ip] {
			seen[ip] = true
			list = append(list, ip)
		}
	}
	for _, member := range c.replica.View().Chain {
		add(member.Address)
	}
	for _, known := range c.replica.Members() {
		add(known.Member.Address)
	}
	return list
}

// otherControls returns the IPs of the chain's other members. They are identified by IP, because the node names
// of the processes that founded the chain aren't known to all members at first.
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

// readerRank returns this process's rank among the chain's members, sorted by address. The member of rank 0
// reads the server list for all.
func (c *Control) readerRank() int {
	self := c.replica.Self()
	rank := 0
	for _, member := range c.replica.View().Chain {
		if !member.Same(self) && member.Address < self.Address {
			rank++
		}
	}
	return rank
}

// hostOf returns the IP of an address; "" if the address isn't of the form IP:port.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return host
}

// quotaAddress returns the address of the quota allocator, which runs at the head of the chain; "" if there
// is no head.
func (c *Control) quotaAddress() string {
	ip := hostOf(c.replica.View().Head().Address)
	if ip == "" {
		return ""
	}
	return net.JoinHostPort(ip, strconv.Itoa(c.settings.Port(node.PortControl)))
}

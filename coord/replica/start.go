package replica

import (
	cryptorand "crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sprucelane.example/sprucelane/coord/view"
)

// Start opens the disk, listens on the coordination address, and joins the system that the seeds belong to. It
// returns before the node is part of a chain. It fails if the disk can't be opened or refuses the first write
// (ErrUnavailable), if it can't listen on the coordination address, or with ErrNoSeeds.
func Start(options Options) (*Node, error) {
	if options.Log == nil {
		options.Log = func(string, ...any) {}
	}
	n := &Node{
		options: options,
		start:   time.Now(),
		inputs:  make(chan func(), inputQueueLength),
		done:    make(chan struct{}),
		closing: make(chan struct{}),
	}
	n.callbacks.Store(&callbacks{})
	recovered, err := n.openDisk()
	if err != nil {
		return nil, err
	}
	if err := n.openCore(recovered); err != nil {
		return nil, n.abort(err)
	}
	n.flush()
	if n.diskUnhealthy {
		return nil, n.abort(fmt.Errorf("replica: the disk refuses the first write: %w", ErrUnavailable))
	}
	listener, err := options.listen()
	if err != nil {
		return nil, n.abort(fmt.Errorf("replica: %w", err))
	}
	n.network.serve(listener)
	n.publish()
	go n.run()
	return n, nil
}

// abort closes the resources that a failed Start has opened, and returns err.
func (n *Node) abort(err error) error {
	if n.network != nil {
		n.network.close()
	}
	if n.store != nil {
		_ = n.store.Close()
	}
	return err
}

// openCore creates the core and the network, from the state recovered from the disk or as a new member.
func (n *Node) openCore(recovered *recoveredState) error {
	member, genesis, err := newMember(&n.options)
	if err != nil {
		return err
	}
	if recovered != nil {
		member = recovered.self
		genesis = nil
	}
	var randomBytes [24]byte
	if _, err := cryptorand.Read(randomBytes[:]); err != nil {
		return fmt.Errorf("replica: %w", err)
	}
	seed := func(i int) uint64 { return binary.LittleEndian.Uint64(randomBytes[8*i:]) }
	n.network = newNetwork(n, member)
	n.core, err = newCore(coreOptions{
		self:          member,
		hasDisk:       n.options.filesystem() != nil,
		tolerance:     n.options.Tolerance,
		limits:        defaultLimits,
		seeds:         n.options.Seeds,
		stateMachine:  n.options.StateMachine,
		random:        rand.New(rand.NewPCG(seed(0), seed(1))),
		incarnation:   seed(2),
		logEvent:      n.options.Log,
		onApply:       n.onApplied,
		onViewAdopted: n.onViewAdopted,
	}, recovered, genesis, n.now())
	return err
}

// newMember returns the member for an empty disk or a process without one, with a random incarnation. With
// Options.Bootstrap it also returns the first view, and the founders get the same well-known incarnation on every
// machine.
func newMember(options *Options) (view.Member, *view.View, error) {
	member := view.Member{Node: options.Identity.Node, Address: options.Listen}
	var randomBytes [8]byte
	if _, err := cryptorand.Read(randomBytes[:]); err != nil {
		return member, nil, fmt.Errorf("replica: draw an incarnation: %w", err)
	}
	member.Incarnation = hex.EncodeToString(randomBytes[:])
	if !options.Bootstrap {
		return member, nil, nil
	}
	if len(options.Seeds) == 0 {
		return member, nil, ErrNoSeeds
	}
	genesis := view.Genesis(options.Seeds)
	if options.filesystem() != nil && slices.Contains(options.Seeds, options.Listen) {
		member.Incarnation = view.GenesisIncarnation
	}
	return member, &genesis, nil
}

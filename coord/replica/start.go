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

// Start opens the disk, listens, and joins the system that the seeds belong to. It returns before the node is
// part of a chain. It fails if the disk can't be opened or refuses the first write (ErrUnavailable), if the
// coordination address can't be listened on, or with ErrNoSeeds.
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
		return nil, n.abort(fmt.Errorf("replica: the disk takes no bytes: %w", ErrUnavailable))
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

// abort closes what a failed Start has opened, and returns its error.
func (n *Node) abort(err error) error {
	if n.network != nil {
		n.network.close()
	}
	if n.store != nil {
		_ = n.store.Close()
	}
	return err
}

// openCore makes the core from what the disk held, or as a new member.
func (n *Node) openCore(recovered *recoveredState) error {
	member, genesis, err := newMember(&n.options)
	if err != nil {
		return err
	}
	if recovered != nil {
		member = recovered.self
		genesis = nil
	}
	var drawn [24]byte
	if _, err := cryptorand.Read(drawn[:]); err != nil {
		return fmt.Errorf("replica: %w", err)
	}
	seed := func(i int) uint64 { return binary.LittleEndian.Uint64(drawn[8*i:]) }
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

// newMember draws the incarnation of an empty disk, or of a process without one. If the system is founded, it
// returns the first view, too, and the founders have the same, well-known incarnation on every machine.
func newMember(options *Options) (view.Member, *view.View, error) {
	member := view.Member{Node: options.Identity.Node, Address: options.Listen}
	var drawn [8]byte
	if _, err := cryptorand.Read(drawn[:]); err != nil {
		return member, nil, fmt.Errorf("replica: draw an incarnation: %w", err)
	}
	member.Incarnation = hex.EncodeToString(drawn[:])
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

package bubble

import (
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"
)

// Times of the network.
const (
	// minDelay is the least latency of a segment, and delayJitter bounds the random latency that is added.
	minDelay    = 200 * time.Microsecond
	delayJitter = 400 * time.Microsecond
	// userTimeout is how long data may go without acknowledgement, as coord/transport sets it.
	userTimeout = 1500 * time.Millisecond
	// keepAliveTimeout is the time after which keep-alive probes end a connection whose other side doesn't answer.
	keepAliveTimeout = 3 * time.Second
	// maxRetransmitDelay bounds the time from the end of a partition to the arrival of the bytes that it held
	// back. It is also the time between two connection attempts of Dial.
	maxRetransmitDelay = 200 * time.Millisecond
)

// link is one direction between two machines, by their IP addresses.
type link struct{ from, to string }

// Network holds all machines and the links between them.
type Network struct {
	// mutex guards the fields below, and the fields of all hosts, listeners and connections.
	mutex  sync.Mutex
	random *rand.Rand
	hosts  map[string]*Host // the current incarnations, by IP address
	// partitions holds the number of the partition of each link that is partitioned now. partitionCount is the
	// number of the latest partition. Partitions are numbered because the timer of a partition that has healed
	// must not act on a later partition of the same link.
	partitions     map[link]int
	partitionCount int
	connections    map[*connection]bool // connections with at least one open end
	lastPort       int
	received       map[string]int64 // bytes received, by the IP address of the receiver
}

// NewNetwork returns a network without machines. It must be called inside the bubble. The second word of
// the generator's seed is an arbitrary constant.
func NewNetwork(seed uint64) *Network {
	return &Network{
		random:      rand.New(rand.NewPCG(seed, 11)),
		hosts:       map[string]*Host{},
		partitions:  map[link]int{},
		connections: map[*connection]bool{},
		lastPort:    40_000,
		received:    map[string]int64{},
	}
}

// Partition partitions one direction between two machines until Heal. Connections that are idle over it end
// after keepAliveTimeout.
func (n *Network) Partition(from, to string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	partitioned := link{from, to}
	n.partitionCount++
	number := n.partitionCount
	n.partitions[partitioned] = number
	time.AfterFunc(keepAliveTimeout, func() { n.expireKeepAlive(partitioned, number) })
}

// expireKeepAlive ends the connections over a link, if the partition with this number hasn't healed.
func (n *Network) expireKeepAlive(partitioned link, number int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.partitions[partitioned] != number {
		return
	}
	for c := range n.connections {
		if c.uses(partitioned) {
			c.ends[0].fail(syscall.ETIMEDOUT)
			c.ends[1].fail(syscall.ETIMEDOUT)
		}
	}
}

// Heal ends a partition. Bytes that it held back arrive within maxRetransmitDelay.
func (n *Network) Heal(from, to string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	healed := link{from, to}
	delete(n.partitions, healed)
	for c := range n.connections {
		if !c.uses(healed) {
			continue
		}
		for _, end := range c.ends {
			time.AfterFunc(time.Duration(n.random.Int64N(int64(maxRetransmitDelay))), func() { n.deliverDue(end) })
		}
	}
}

// isPartitioned reports whether one direction between two machines is partitioned. The caller holds the
// mutex.
func (n *Network) isPartitioned(from, to string) bool { return n.partitions[link{from, to}] != 0 }

// Reset resets all connections between two machines.
func (n *Network) Reset(one, other string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for c := range n.connections {
		if c.uses(link{one, other}) {
			c.ends[0].fail(syscall.ECONNRESET)
			c.ends[1].fail(syscall.ECONNRESET)
		}
	}
}

// BytesReceived returns how many bytes have arrived at a machine.
func (n *Network) BytesReceived(ip string) int64 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.received[ip]
}

// endConnections ends the connections of a host: the host's ends immediately, those of its peers after
// detectionDelay and the latency of one segment. The caller holds the mutex.
func (n *Network) endConnections(h *Host, detectionDelay time.Duration) {
	for c := range n.connections {
		for side, end := range c.ends {
			if end.host != h {
				continue
			}
			end.fail(net.ErrClosed)
			peer := c.ends[1-side]
			time.AfterFunc(detectionDelay+n.drawDelay(), func() { n.reset(peer) })
		}
	}
}

// reset ends one side of a connection, as an incoming RST does.
func (n *Network) reset(end *endpoint) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	end.fail(syscall.ECONNRESET)
}

// drawDelay returns the latency of one segment. The caller holds the mutex.
func (n *Network) drawDelay() time.Duration {
	return minDelay + time.Duration(n.random.Int64N(int64(delayJitter)))
}

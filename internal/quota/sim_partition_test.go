package quota

import "time"

// partition separates a machine from the others until a time.
type partition struct {
	until     time.Duration
	direction direction
}

// direction is the direction of the messages that a partition drops, as seen from the machine.
type direction int

const (
	bothDirections direction = iota
	outbound                 // what it sends is lost
	inbound                  // what it is sent is lost
)

// newPartition draws the length and direction of a partition that starts now.
func (sim *simulation) newPartition(longest time.Duration) partition {
	return partition{sim.now + sim.randomDuration(longest), direction(sim.random.IntN(3))}
}

// endFor returns the time until which messages in a direction are lost.
func (p *partition) endFor(way direction) time.Duration {
	if p.direction == bothDirections || p.direction == way {
		return p.until
	}
	return 0
}

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
	outbound                 // messages that the machine sends are lost
	inbound                  // messages to the machine are lost
)

// newPartition returns a partition that starts now, with random length and direction.
func (sim *simulation) newPartition(longest time.Duration) partition {
	return partition{sim.now + sim.randomDuration(longest), direction(sim.random.IntN(3))}
}

// endFor returns the time until which messages in a direction are lost.
func (p *partition) endFor(dir direction) time.Duration {
	if p.direction == bothDirections || p.direction == dir {
		return p.until
	}
	return 0
}

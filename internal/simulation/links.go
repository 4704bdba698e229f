package simulation

import "time"

// Link describes how messages travel from one machine to another.
type Link struct {
	// Delay is the least latency of a message.
	Delay time.Duration
	// Jitter bounds a random latency that is added to Delay. It lets messages overtake each other, unless the
	// link is ordered.
	Jitter time.Duration
	// Loss is the probability that a message is lost, 0 to 1.
	Loss float64
	// Ordered keeps the order of messages, as one TCP connection does.
	Ordered bool
}

// DefaultLink is the initial Links.Default.
var DefaultLink = Link{Delay: time.Millisecond, Jitter: time.Millisecond}

// direction is one direction between two machines.
type direction struct{ from, to string }

// Links are the links between all machines of a simulation, one for each direction.
type Links struct {
	// Default is the link of directions for which Set was not called.
	Default Link
	// Filter, if set, returns false for each message that must be lost.
	Filter func(from, to string, message any) bool

	links       map[direction]Link
	partitioned map[direction]bool
	lastArrival map[direction]time.Duration // of the last message on an ordered link
}

// newLinks returns links without faults.
func newLinks() *Links {
	return &Links{
		Default:     DefaultLink,
		links:       make(map[direction]Link),
		partitioned: make(map[direction]bool),
		lastArrival: make(map[direction]time.Duration),
	}
}

// Set replaces the link in one direction.
func (l *Links) Set(from, to string, link Link) {
	l.links[direction{from, to}] = link
}

// Partition drops all messages in one direction until Heal or HealAll.
func (l *Links) Partition(from, to string) {
	l.partitioned[direction{from, to}] = true
}

// Heal ends the partition of one direction.
func (l *Links) Heal(from, to string) {
	delete(l.partitioned, direction{from, to})
}

// PartitionGroups partitions each machine of one group from each machine of the other, in both directions.
func (l *Links) PartitionGroups(group, others []string) {
	for _, one := range group {
		for _, other := range others {
			l.Partition(one, other)
			l.Partition(other, one)
		}
	}
}

// HealAll ends all partitions.
func (l *Links) HealAll() {
	clear(l.partitioned)
}

// Partitioned reports whether a direction is partitioned.
func (l *Links) Partitioned(from, to string) bool {
	return l.partitioned[direction{from, to}]
}

// transmit returns the latency of a message that is sent now, and whether it arrives.
func (l *Links) transmit(s *Simulation, from, to string, message any) (time.Duration, bool) {
	direction := direction{from, to}
	link, ok := l.links[direction]
	if !ok {
		link = l.Default
	}
	if l.partitioned[direction] || l.Filter != nil && !l.Filter(from, to, message) {
		return 0, false
	}
	if link.Loss > 0 && s.Random.Chance(link.Loss) {
		return 0, false
	}
	delay := link.Delay + s.Random.Between(0, link.Jitter)
	if !link.Ordered {
		return delay, true
	}
	arrival := max(s.now+delay, l.lastArrival[direction])
	l.lastArrival[direction] = arrival
	return arrival - s.now, true
}

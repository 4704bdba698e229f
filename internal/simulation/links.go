package simulation

import "time"

// Link is how messages travel from one machine to another.
type Link struct {
	// Delay is the least time on the way.
	Delay time.Duration
	// Jitter is added to it, by chance, in part. Messages overtake each other through it.
	Jitter time.Duration
	// Loss is the probability that a message is lost.
	Loss float64
	// Ordered lets no message overtake another, as over one TCP connection.
	Ordered bool
}

// DefaultLink is the link between machines that no other one was set for.
var DefaultLink = Link{Delay: time.Millisecond, Jitter: time.Millisecond}

// pair is a direction between two machines.
type direction struct{ from, to string }

// Links are all links of a world.
type Links struct {
	// Default is the link between machines that no other one was set for.
	Default Link
	// Filter, if set, returns false for messages to be lost.
	Filter func(from, to string, message any) bool

	links       map[direction]Link
	partitioned map[direction]bool
	lastArrival map[direction]time.Duration // arrival of the last message of an ordered link
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

// Set changes the link in one direction.
func (l *Links) Set(from, to string, link Link) {
	l.links[direction{from, to}] = link
}

// Cut lets nothing through in one direction.
func (l *Links) Partition(from, to string) {
	l.partitioned[direction{from, to}] = true
}

// Join takes back a Cut.
func (l *Links) Heal(from, to string) {
	delete(l.partitioned, direction{from, to})
}

// Separate cuts each machine of one group from each of the other, in both directions.
func (l *Links) PartitionGroups(group, others []string) {
	for _, one := range group {
		for _, other := range others {
			l.Partition(one, other)
			l.Partition(other, one)
		}
	}
}

// JoinAll takes back all cuts.
func (l *Links) HealAll() {
	clear(l.partitioned)
}

// IsCut tells whether a direction is cut.
func (l *Links) Partitioned(from, to string) bool {
	return l.partitioned[direction{from, to}]
}

// carry returns how long a message takes, and whether it arrives.
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

package replica

import (
	"time"
)

// Durations of the protocol. Each process measures them on its own monotonic clock; the time of day is never
// compared. They are constants, not settings, because they must be consistent with each other and the same in
// all processes of a system: the safety of the leader lease depends on newLeaderDelay being longer than
// leaderLeaseDuration on every machine.
const (
	// tickInterval is the interval at which a driver calls core.tick; a node without a disk ticks every
	// learnerTickInterval. All other durations take effect at a tick.
	tickInterval = 100 * time.Millisecond

	// heartbeatInterval is the time between two rounds of heartbeats to the voters. It limits how fast failures
	// are detected and determines the age of the epoch confirmation between reads; each round costs one message
	// for each pair of voters.
	heartbeatInterval = 200 * time.Millisecond

	// suspicionTimeout is the time without a heartbeat after which a member is suspected. Three rounds fit
	// into it, so that one lost heartbeat or one stalled tick causes no suspicion. It is most of a failover's
	// duration: a shorter one fails over sooner, but changes the view whenever a process stalls.
	suspicionTimeout = 700 * time.Millisecond

	// echoTimeout is the time after which a member is suspected whose heartbeats arrive but echo no heartbeat
	// that this member sent within that time: the link has failed in one direction. It is longer than
	// suspicionTimeout because an echo is sent only with the peer's next round.
	echoTimeout = 1000 * time.Millisecond

	// processPauseThreshold is the gap between two ticks above which this process assumes that it was paused
	// itself (SIGSTOP, a frozen machine). It is below suspicionTimeout, so that a process that resumes doesn't
	// suspect members whose heartbeats are still queued in its own sockets.
	processPauseThreshold = 400 * time.Millisecond

	// replacementTimeout is the time without contact after which a spare may replace a voter. A shorter time-out
	// would replace voters during a quick restart; a longer one would leave the system longer with one copy less.
	replacementTimeout = 2 * time.Second

	// retransmitInterval is the time after which a prefix request, a forwarded command or a read-index
	// request without an answer is sent again.
	retransmitInterval = 300 * time.Millisecond

	// viewQueryInterval is the time between two queries of a node that has no contact with any member of its
	// view.
	viewQueryInterval = 500 * time.Millisecond

	// viewSendInterval is the minimum time between two messages that send the view to the same outdated peer.
	viewSendInterval = 50 * time.Millisecond

	// learnerPollInterval is the time between two polls of a learner. Because new commands are pushed, it
	// determines the learner's staleness only while no commands are written.
	learnerPollInterval = 250 * time.Millisecond

	// learnerTimeout is the time without a poll after which a chain member stops pushing commands to a learner.
	learnerTimeout = time.Second

	// proposalTimeout is the time after which an undecided proposal of a view is abandoned.
	proposalTimeout = 600 * time.Millisecond

	// prepareGracePeriod is how long a proposer that has prepare responses of a majority waits for those of the
	// other members that are alive: each response may show a better source, and a member that it names stays in
	// the chain.
	prepareGracePeriod = 100 * time.Millisecond

	// proposerStagger is the time between the starts of proposers of successive ranks. It is longer than a
	// proposal without contention usually takes, so that proposers rarely duel.
	proposerStagger = 200 * time.Millisecond

	// rejoinDelay is how long a member must have been reachable without interruption before a view adds it, so
	// that a flapping link doesn't cause a series of view changes.
	rejoinDelay = 150 * time.Millisecond

	// wedgedTimeout is how long a wedged member waits for a decision before it proposes a view itself, because
	// the proposer that wedged it may have failed. A wedged member serves nothing.
	wedgedTimeout = 400 * time.Millisecond

	// leaderLeaseDuration is how long a head holds the leader lease after the sending of the heartbeats with
	// which a majority confirmed its epoch. It spans four rounds; with a shorter lease, a short stall would
	// lose it.
	leaderLeaseDuration = 800 * time.Millisecond

	// newLeaderDelay is how long a new head waits, from its adoption of the view, before it takes the leader
	// lease. It is longer than leaderLeaseDuration by a margin for clocks that run at different rates: see
	// core.leaderLease for the argument.
	newLeaderDelay = 1000 * time.Millisecond

	// departureTimeout is how long a member that has left the chain waits for proof that the others know the
	// view and have the complete prefix, before it reports its departure without that proof.
	departureTimeout = 1000 * time.Millisecond

	// remoteReadTimeout is the time after which a chain member drops a learner's read-index request.
	remoteReadTimeout = 2 * time.Second
)

// never is the time of an event that hasn't happened. It precedes all other times.
const never = time.Duration(-1 << 62)

package faultyserver

import "fmt"

// What the checker counts. The counts show that a simulation has exercised what it is for.
const (
	countRequests          = "tries"
	countExecutions        = "runs"
	countSuccesses         = "successes" // complete responses with a status 2xx
	countResumedStreams    = "resumed streams"
	countAbandoned         = "clients that left"
	countConnections       = "connections"
	countMisdirected       = "misdirected"
	countEarlyResponses    = "early answers"
	countLateResponses     = "late answers"
	countBodiesReadOn      = "bodies read on"
	countBrokenRequests    = "cut requests"
	countTruncatedResponse = "cut answers"
	countStrayBytes        = "extra bytes"
	countDrained           = "drained servers"
	countRestarts          = "server restarts"
)

// countBreak counts the breaks of connections by one action.
func countBreak(action breakAction) string { return fmt.Sprintf("break %d", action) }

// requiredEvents must all occur within seedsForAllEvents simulations.
var requiredEvents = []string{
	countEarlyResponses,
	countBodiesReadOn,
	countBrokenRequests,
	countTruncatedResponse,
	countLateResponses,
	countStrayBytes,
	countAbandoned,
	countResumedStreams,
	countMisdirected,
	countDrained,
	countRestarts,
	countBreak(closeConn),
	countBreak(resetConn),
	countBreak(resetAndDiscard),
	countBreak(stall),
}

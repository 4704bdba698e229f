// Package emulator simulates a fleet of the daemon's gateways in virtual time: the servers that they balance over
// (members), links, discovery and clients are models; the gateways' decisions are those of package policy, unchanged.
// It shows at sizes and in numbers of runs that real processes don't reach whether the rules of package
// internal/lab/referee hold, and how much is served in time.
//
// # A run
//
// A Scenario says all that a run depends on: the fleet, its clients, the platform's settings and a script of troubles
// (faults). Play runs it to its end or to the first broken rule, and gives a Result. Scenarios come from the platform's
// own figures (Platform), from a file (ReadDeployment) or are drawn at random from what the settings allow (Drawn);
// Minimise makes a failing one smaller.
//
// # The models
//
// A room is a failure domain of members and gateways (policy calls it a zone), a cell a group of members that share
// deduplication. A front brings each client's request to one of the gateways that serve its account. Each model's type
// comment states its assumptions: member (queue, cores, warm-up, faults), gateway (links, connections, pauses) and
// run.clients (arrivals). Scenario.Plain replaces the policy by a textbook one, for comparison.
//
// # Invariants
//
//   - The same scenario gives the same run on every machine, down to Result.Digest. A run reads no clock, opens no
//     socket and starts no goroutine.
//   - Each part of the model draws from a random stream of its own (Engine.Stream), so that a part that draws more or
//     less leaves the others' draws as they are. The streams' names are part of a replay.
//   - What a run does never depends on the order of a map.
//
// # Reading order
//
// engine.go is the clock, run.go a scenario and its clients, gateway.go and member.go the models, trouble.go the
// faults, rules.go the calls of the checker, plain.go the policy for comparison. deployment.go, deployments.go and
// platform.go make scenarios, minimise.go reduces them.
package emulator

// Package emulator simulates a fleet of the daemon's gateways in virtual time: the servers that they balance over
// (members), links, discovery and clients are models; the gateways' decisions are those of package policy, unchanged.
// It checks the rules of package internal/lab/referee, and measures how much is served in time, at fleet sizes and in
// numbers of runs that real processes don't reach.
//
// # A run
//
// A Scenario holds everything that a run depends on: the fleet, its clients, the platform's settings and a script of
// faults. Simulate runs it to its end or to the first broken rule, and returns a Result. A scenario is made from the
// platform's own figures (Platform), read from a file (ReadDeployment) or drawn at random from what the settings allow
// (RandomScenario). Minimise reduces a failing scenario to a smaller one that still fails.
//
// # The models
//
// A room is a failure domain of members and gateways (policy calls it a zone), a cell a group of members that share
// deduplication. A front end (called the front) routes each client's request to one of the gateways that serve its
// account. The comments of the models state their assumptions: member (queue, cores, warm-up, faults), gateway (links,
// connections, pauses) and run.clients (arrivals). Scenario.Plain replaces the policy by a textbook one, for
// comparison.
//
// # Invariants
//
//   - The same scenario gives the same run on every machine, down to Result.Digest. A run reads no clock, opens no
//     socket and starts no goroutine.
//   - Each part of the model draws from its own random stream (Engine.Stream), so that a change in the number of draws
//     of one part doesn't change the draws of the others. A run can only be replayed with the same stream names.
//   - A run never depends on the iteration order of a map.
//
// # Reading order
//
// engine.go contains the clock, run.go a scenario and its clients, gateway.go and member.go the models, trouble.go the
// faults, rules.go the calls to the checker, plain.go the policy for comparison. deployment.go, deployments.go and
// platform.go make scenarios, minimise.go reduces them.
package emulator

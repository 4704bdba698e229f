// Package system runs a whole system on loopback: control processes, gateways and batch processes as real
// processes, in front of fakes of the platform's discovery API and of model servers, with clients and an
// operator.
//
// [Open] starts the fakes and writes the settings files of all machines, [Cluster.StartAll] starts the
// processes. A [Machine] is a loopback address, a folder as its disk, and the processes on it; each cluster
// has a range of loopback addresses of its own, so that several can run side by side. [Client] sends what
// clients of a deployment send, and checks that the responses are those of the fake servers. [Demonstration]
// runs a system under a light load and shows its state in a table.
//
// A cluster only signals processes that it has started, and otherwise reaches the system only by the
// interfaces that its clients and operators have. So what a test observes through it is what they would
// observe.
package system

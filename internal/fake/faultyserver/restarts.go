package faultyserver

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minReplaceInterval, and up to replaceIntervalSpread more, is the time from one replacement of a server
	// to the next.
	minReplaceInterval    = 300 * time.Millisecond
	replaceIntervalSpread = 1500 * time.Millisecond
	// maxDrainTime is how long a server is drained before its end, at most.
	maxDrainTime = 400 * time.Millisecond
	// maxListLag is how long the gateway's list of servers shows an incarnation that has ended, at most.
	maxListLag = time.Second
)

// replaceServers has one server after the other end, half of them after a drain and half in a crash, and
// start under another id at the same address. It goes on until stop is closed, and then closes done.
func (s *simulation) replaceServers(stop, done chan struct{}) {
	defer close(done)
	random := rand.New(rand.NewPCG(s.seed, 2))
	duration := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	for incarnation := 2; sleep(stop, minReplaceInterval+duration(replaceIntervalSpread)); incarnation++ {
		at := random.IntN(len(s.fleet.servers))
		server, listed := s.fleet.servers[at], &s.serverList.Servers[at]
		if random.IntN(2) == 0 {
			s.fleet.Checker.Count(countDrained)
			listed.Draining = true
			s.publish()
			server.drain()
			sleep(stop, duration(maxDrainTime))
		}
		s.fleet.Checker.Count(countRestarts)
		id := fmt.Sprintf("i-%d-at-%s", incarnation, listed.Address)
		server.startIncarnation(id)
		sleep(stop, duration(maxListLag))
		listed.ID, listed.Draining = id, false
		s.publish()
	}
}

// publish gives the gateway a copy of the list of servers.
func (s *simulation) publish() {
	s.serverList.Version++
	list := s.serverList
	list.Servers = slices.Clone(s.serverList.Servers)
	s.registry.Apply(&list)
}

// sleep waits, and returns false where stop was closed first.
func sleep(stop chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-stop:
		return false
	}
}

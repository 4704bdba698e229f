package faultyserver

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// turnLeast and turnSpread are the time between servers that end.
	minReplaceInterval, replaceIntervalSpread = 300 * time.Millisecond, 1500 * time.Millisecond
	// drainSpread is how long one drains at most, and listSpread how long the list lags behind.
	maxDrainTime, maxListLag = 400 * time.Millisecond, time.Second
)

// turnOver has servers drain or crash, and begin anew under other ids at the same addresses, one at a time.
func (w *simulation) replaceServers(over, turned chan struct{}) {
	defer close(turned)
	r := rand.New(rand.NewPCG(w.seed, 2))
	wait := func(time time.Duration) bool { return sleep(over, time) }
	for life := 2; wait(minReplaceInterval + time.Duration(r.Int64N(int64(replaceIntervalSpread)))); life++ {
		at := r.IntN(len(w.fleet.servers))
		one := w.fleet.servers[at]
		if r.IntN(2) == 0 {
			w.fleet.Checker.count("drained servers")
			w.serverList.Servers[at].Draining = true
			w.publish()
			one.drain()
			wait(time.Duration(r.Int64N(int64(maxDrainTime))))
		}
		w.fleet.Checker.count("server restarts")
		id := fmt.Sprintf("i-%d-at-%s", life, w.serverList.Servers[at].Address)
		one.startIncarnation(id)
		wait(time.Duration(r.Int64N(int64(maxListLag))))
		w.serverList.Servers[at].ID, w.serverList.Servers[at].Draining = id, false
		w.publish()
	}
}

// tell puts the list of servers in force at the gateway.
func (w *simulation) publish() {
	w.serverList.Version++
	list := w.serverList
	list.Servers = slices.Clone(w.serverList.Servers)
	w.registry.Apply(&list)
}

// sleep waits, and tells whether the world goes on.
func sleep(over chan struct{}, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-over:
		return false
	}
}

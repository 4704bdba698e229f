package faultyserver

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// turnLeast and turnSpread are the time between servers that end.
	turnLeast, turnSpread = 300 * time.Millisecond, 1500 * time.Millisecond
	// drainSpread is how long one drains at most, and listSpread how long the list lags behind.
	drainSpread, listSpread = 400 * time.Millisecond, time.Second
)

// turnOver has servers drain or crash, and begin anew under other ids at the same addresses, one at a time.
func (w *world) turnOver(over, turned chan struct{}) {
	defer close(turned)
	r := rand.New(rand.NewPCG(w.seed, 2))
	wait := func(time time.Duration) bool { return sleep(over, time) }
	for life := 2; wait(turnLeast + time.Duration(r.Int64N(int64(turnSpread)))); life++ {
		at := r.IntN(len(w.fleet.servers))
		one := w.fleet.servers[at]
		if r.IntN(2) == 0 {
			w.fleet.Audit.count("drained servers")
			w.list.Servers[at].Draining = true
			w.tell()
			one.drain()
			wait(time.Duration(r.Int64N(int64(drainSpread))))
		}
		w.fleet.Audit.count("server restarts")
		id := fmt.Sprintf("i-%d-at-%s", life, w.list.Servers[at].Address)
		one.begin(id)
		wait(time.Duration(r.Int64N(int64(listSpread))))
		w.list.Servers[at].ID, w.list.Servers[at].Draining = id, false
		w.tell()
	}
}

// tell puts the list of servers in force at the gateway.
func (w *world) tell() {
	w.list.Version++
	list := w.list
	list.Servers = slices.Clone(w.list.Servers)
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

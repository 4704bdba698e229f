// Package scale owns the scale run: hollow gateways, many in this process, before real control processes on loopback, with long
// lists of servers and tenants and a change of configuration every second. It tells what control takes by the number of
// gateways. It must never send traffic of clients, nor reach beyond loopback.
package scale

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/lab/process"
	"sprucelane.example/sprucelane/internal/lab/system"
)

// Bounds of a run.
const (
	MostMembers = 2000
	startWithin = 60 * time.Second // until all members hold all
	lookEvery   = 50 * time.Millisecond
	lastInForce = 5 * time.Second // after the last change
)

// Plan is one run.
type Plan struct {
	Programs    string // the folder of the programs
	Members     int    // hollow gateways
	Servers     int    // in the platform's list
	Tenants     int    // of the configuration, beside the laboratory's own
	Requests    float64
	For         time.Duration // how long is measured
	ChangeEvery time.Duration // between two changes of configuration
}

// Control is what the control processes took in the measured time.
type Control struct {
	Busiest  float64 // share of a core
	All      float64 // cores
	Peak     int64   // bytes resident, of the largest
	Sent     float64 // bytes a second of all, to members, each other and the disk
	Received float64 // bytes a second of all, the platform's list among them
}

// Result is what came of a run.
type Result struct {
	Plan     Plan
	Start    time.Duration // until all members held all
	Held     float64       // bytes of heap a member, the stand-in platform's included
	Messages float64       // updates a second that a member took
	Asked    float64       // requests for quota a second of a member
	Control  Control
	Changes  []Change
}

// Run makes one run.
func Run(ctx context.Context, plan Plan) (result Result, err error) {
	if plan.Members < 0 || plan.Members > MostMembers {
		return result, fmt.Errorf("scale: %d members: 0 to %d can be had", plan.Members, MostMembers)
	}
	stand := system.DefaultPlan(plan.Programs)
	stand.Engines = 0
	fleet, err := system.Open(stand)
	if err != nil {
		return result, err
	}
	defer func() { err = errors.Join(err, fleet.Close()) }()
	r := &run{plan: plan, fleet: fleet}
	if result, err = r.measure(ctx); err != nil {
		err = fmt.Errorf("%w%s", err, fleet.LastLines())
	}
	return result, err
}

// heapPerMember gives this process's live heap, divided by the members.
func heapPerMember(members int) float64 {
	if members == 0 {
		return 0
	}
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) / float64(members)
}

// run is a run under way.
type run struct {
	plan    Plan
	fleet   *system.Fleet
	members []*hollow
}

func (r *run) measure(ctx context.Context) (result Result, err error) {
	result.Plan = r.plan
	r.fleet.List(r.plan.Servers)
	if err := r.startControl(); err != nil {
		return result, err
	}
	generation := uint64(1)
	if err := r.fleet.Put(ctx, 0, document(generation, r.plan.Tenants)); err != nil {
		return result, fmt.Errorf("scale: the first configuration: %w", err)
	}
	members, leave := context.WithCancel(ctx)
	var all sync.WaitGroup
	defer all.Wait()
	defer leave()
	began := time.Now()
	if err := r.startMembers(members, &all); err != nil {
		return result, err
	}
	if err := r.awaitComplete(ctx); err != nil {
		return result, err
	}
	result.Start = time.Since(began)
	before, err := r.read()
	if err != nil {
		return result, err
	}
	changes, err := r.change(ctx, generation)
	if err != nil {
		return result, err
	}
	after, err := r.read()
	if err != nil {
		return result, err
	}
	after.since(before, &result)
	result.Held = heapPerMember(r.plan.Members)
	result.Changes = r.inForce(ctx, changes)
	return result, nil
}

func (r *run) startControl() error {
	for _, machine := range r.controls() {
		if err := r.fleet.Start(machine, system.RoleControl); err != nil {
			return err
		}
	}
	return nil
}

// controls gives the machines with a control process.
func (r *run) controls() []system.Machine {
	var list []system.Machine
	for _, zone := range r.fleet.Plan.Zones {
		list = append(list, r.fleet.Machine(system.RoleControl, zone))
	}
	return list
}

func (r *run) startMembers(ctx context.Context, all *sync.WaitGroup) error {
	for i := range r.plan.Members {
		settings, err := r.fleet.HollowSettings(i)
		if err != nil {
			return err
		}
		member := newHollow(settings, fmt.Sprintf("hollow-%d", i))
		r.members = append(r.members, member)
		all.Go(func() { member.run(ctx, r.plan.Requests) })
	}
	return nil
}

// awaitComplete waits until all members hold a configuration, the whole list of servers and that of all members.
func (r *run) awaitComplete(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	for {
		lacking := 0
		for _, member := range r.members {
			if !member.complete(r.plan.Servers, r.plan.Members) {
				lacking++
			}
		}
		if lacking == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("scale: after %v %d of %d members lack the configuration, servers or members", startWithin, lacking, len(r.members))
		case <-time.After(lookEvery):
		}
	}
}

// reading is what all have counted up to a moment.
type reading struct {
	at       time.Time
	usage    []process.Usage
	traffic  []process.Traffic
	messages uint64
	asked    uint64
}

func (r *run) read() (reading, error) {
	now := reading{at: time.Now()}
	for _, machine := range r.controls() {
		control := r.fleet.Process(machine, system.RoleControl)
		usage, err := control.Usage()
		if err != nil {
			return now, err
		}
		traffic, err := control.Traffic()
		if err != nil {
			return now, err
		}
		now.usage, now.traffic = append(now.usage, usage), append(now.traffic, traffic)
	}
	for _, member := range r.members {
		now.messages += member.messages.Load()
		now.asked += member.quotas.Counts().Asked
	}
	return now, nil
}

// since puts what was counted since an earlier reading into a result.
func (now reading) since(before reading, result *Result) {
	seconds := now.at.Sub(before.at).Seconds()
	control := &result.Control
	for i := range now.usage {
		share := (now.usage[i].CPU - before.usage[i].CPU).Seconds() / seconds
		control.All += share
		control.Busiest = max(control.Busiest, share)
		control.Peak = max(control.Peak, now.usage[i].Peak)
		control.Sent += float64(now.traffic[i].Written-before.traffic[i].Written) / seconds
		control.Received += float64(now.traffic[i].Read-before.traffic[i].Read) / seconds
	}
	if members := float64(result.Plan.Members); members > 0 {
		result.Messages = float64(now.messages-before.messages) / seconds / members
		result.Asked = float64(now.asked-before.asked) / seconds / members
	}
}

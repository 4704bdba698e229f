// Package soak owns long runs of a whole system of real processes on loopback under random troubles, with a referee that counts
// from outside. Clients send streams and batch jobs, an operator changes the configuration and retires stores; processes are
// killed, stopped and cut off, disks are wiped. It must never take a process's word for what was promised to a client, and never
// wipe more disks than the system is told to bear until the system has recovered.
//
// All that is drawn follows from the seed, but processes and sockets have times of their own: a seed plays the same kinds of
// troubles again, not the same run.
//
// A loss of power is played as a kill of all processes at once. Bytes that were written and not synced survive that: their loss
// can only be played on simulated disks, as the tests of internal/batch do.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/lab/system"
)

// Figures of a run.
const (
	startWithin = 30 * time.Second
	// RecoverWithin is how long the system may take after the last trouble.
	RecoverWithin = 20 * time.Second
	// stateInterval is how often stores log their state when built with faultinjection, and a second.
	stateInterval = 2 * time.Second
	lookInterval  = 250 * time.Millisecond
	quiet         = 2 * time.Second  // for the last batch jobs to be submitted and read
	statusBeyond  = 10 * time.Minute // that batch jobs are kept beyond the troubles
	engines       = 6
)

// Plan is one run.
type Plan struct {
	Programs string // the folder of the programs, built with -tags faultinjection
	Seed     uint64
	For      time.Duration // of the troubles; what follows them takes up to a minute
	Zones    []string
	Fronts   int
	Stores   int
	Lost     int     // disks that may be lost at once
	Rate     float64 // streams a second
	Jobs     float64 // batch jobs a second
	Logs     string  // the folder in which that of a run that broke a rule stays; empty: the system's for temporary files
	Out      io.Writer
}

// DefaultPlan has five front machines and six stores, of which two may be lost.
func DefaultPlan(programs string) Plan {
	return Plan{Programs: programs, Seed: 1, For: 2 * time.Minute, Zones: []string{"east", "west", "north"}, Fronts: 5, Stores: 6,
		Lost: 2, Rate: 25, Jobs: 3, Out: io.Discard}
}

// Result is what came of a run.
type Result struct {
	Plan       Plan
	Troubles   map[Kind]int
	Wiped      int // disks
	Requests   int // streams
	Accepted   int // batch jobs
	Refused    int // batch jobs that were refused and not sent again
	Ended      int // batch jobs that clients ended
	Orders     int // changes of the configuration that were acknowledged
	Violations []Violation
	More       int    // violations beyond those kept
	Folder     string // with the logs; empty: no rule was broken
}

// Run makes one run. The error tells that it could not be made; broken rules are in the result. Nothing is judged any more once the
// context has ended.
func Run(ctx context.Context, plan Plan) (Result, error) {
	folder, err := os.MkdirTemp(plan.Logs, fmt.Sprintf("sprucelane-soak-%d-", plan.Seed))
	if err != nil {
		return Result{}, err
	}
	r, err := newRun(plan, folder)
	if err != nil {
		return Result{}, errors.Join(err, os.RemoveAll(folder))
	}
	defer r.fleet.Close()
	r.referee.judge(ctx)
	if err := r.begin(ctx); err != nil {
		return Result{}, err // the folder stays: its logs tell why
	}
	r.play(ctx)
	r.recover(ctx)
	r.end()
	result := r.result()
	if len(result.Violations) == 0 {
		return result, os.RemoveAll(folder)
	}
	result.Folder = folder
	return result, r.timeline.write(filepath.Join(folder, "timeline"))
}

// run is a run under way.
type run struct {
	plan     Plan
	folder   string
	fleet    *system.Fleet
	units    []*unit
	fronts   []system.Machine
	network  *network
	timeline *timeline
	referee  *referee
	budget   *budget
	watch    *watch
	jobs     *jobs
	operator *operator
	client   *system.Client

	powered  sync.RWMutex // held for writing while all processes are killed: none is started then
	requests counter
}

func newRun(plan Plan, folder string) (*run, error) {
	r := &run{plan: plan, folder: folder, timeline: newTimeline()}
	network, err := newNetwork(filepath.Join(folder, "cuts"))
	if err != nil {
		return nil, err
	}
	r.network = network
	r.referee = newReferee(r.timeline, plan.Out)
	stand := system.Plan{Programs: plan.Programs, Zones: plan.Zones, Engines: engines, Fronts: plan.Fronts, Stores: plan.Stores,
		Lost: plan.Lost, Status: plan.For + statusBeyond, Folder: folder, Environment: network.environment}
	if r.fleet, err = system.Open(stand); err != nil {
		return nil, err
	}
	for _, machine := range r.fleet.Machines {
		if machine.Class == "front" {
			r.fronts = append(r.fronts, machine)
		}
		for _, role := range machine.Roles {
			r.units = append(r.units, &unit{fleet: r.fleet, timeline: r.timeline, machine: machine, role: role})
		}
	}
	r.watch = newWatch(folder, r.unitsOf(system.RoleBatch), r.unitsOf(system.RoleControl))
	r.budget = newBudget(plan.Lost)
	r.jobs = newJobs()
	r.operator = newOperator(r)
	r.client = system.NewClient(system.TenantKey)
	r.client.Patience = lateness
	return r, nil
}

// begin starts the system and waits until it serves.
func (r *run) begin(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	if err := r.fleet.StartAll(); err != nil {
		return err
	}
	if err := r.fleet.Put(ctx, 0, document(1)); err != nil {
		return err
	}
	return r.fleet.WaitServing(ctx, system.NewClient(system.TenantKey))
}

// play lets load run, and troubles in rounds, until the time is over or the system doesn't recover from a round.
func (r *run) play(ctx context.Context) {
	r.timeline.begin()
	end := time.Now().Add(r.plan.For)
	loaded, unload := context.WithCancel(ctx)
	watched, stop := context.WithCancel(ctx)
	var all sync.WaitGroup
	all.Go(func() { r.watchProcesses(watched) })
	all.Go(func() { r.watchHost(watched) })
	all.Go(func() { r.stream(loaded) })
	all.Go(func() { r.submit(loaded, watched) })
	all.Go(func() { r.operator.change(loaded) })
	all.Go(func() { r.operator.read(loaded) })
	rounds := newRounds(r)
	for recovered := true; recovered && ctx.Err() == nil && time.Now().Before(end); {
		recovered = rounds.play(ctx, end)
	}
	unload()
	sleep(ctx, quiet)
	stop()
	all.Wait()
}

// heal takes all troubles back.
func (r *run) heal() {
	if err := r.network.heal(); err != nil {
		r.referee.broken(RuleProcesses, "the network could not be healed: %v", err)
	}
	eachAtOnce(r.units, func(_ int, one *unit) {
		if err := one.revive(); err != nil {
			r.referee.broken(RuleProcesses, "%v", err)
		}
	})
}

// unitsOf gives the processes of a role.
func (r *run) unitsOf(role string) []*unit {
	var list []*unit
	for _, one := range r.units {
		if one.role == role {
			list = append(list, one)
		}
	}
	return list
}

// unitAt gives the process of a role on a machine.
func (r *run) unitAt(machine system.Machine, role string) *unit {
	for _, one := range r.units {
		if one.machine.Name == machine.Name && one.role == role {
			return one
		}
	}
	panic(machine.Name + " has no " + role)
}

// end ends the system.
func (r *run) end() {
	if err := r.fleet.Close(); err != nil {
		r.referee.broken(RuleProcesses, "at the end: %v", err)
	}
}

func (r *run) result() Result {
	result := Result{Plan: r.plan, Troubles: r.timeline.kinds(), Wiped: r.budget.all(), Requests: r.requests.value(),
		Orders: r.operator.acknowledged()}
	result.Violations, result.More = r.referee.list()
	r.jobs.count(&result)
	return result
}

// sleep waits, and tells whether the time passed before the context ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

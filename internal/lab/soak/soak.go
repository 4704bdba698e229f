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
	startTimeout = 30 * time.Second
	// RecoverWithin is how long the system may take after the last trouble.
	RecoveryTimeout = 20 * time.Second
	// stateInterval is how often stores log their state when built with faultinjection, and a second.
	stateInterval  = 2 * time.Second
	pollInterval   = 250 * time.Millisecond
	drainTime      = 2 * time.Second  // for the last batch jobs to be submitted and read
	extraRetention = 10 * time.Minute // that batch jobs are kept beyond the troubles
	modelServers   = 6
)

// Plan is one run.
type Options struct {
	Programs      string // the folder of the programs, built with -tags faultinjection
	Seed          uint64
	FaultDuration time.Duration // of the troubles; what follows them takes up to a minute
	Zones         []string
	FrontMachines int
	StoreMachines int
	MaxLostDisks  int     // disks that may be lost at once
	StreamRate    float64 // streams a second
	JobRate       float64 // batch jobs a second
	LogFolder     string  // the folder in which that of a run that broke a rule stays; empty: the system's for temporary files
	Output        io.Writer
}

// DefaultPlan has five front machines and six stores, of which two may be lost.
func DefaultOptions(programs string) Options {
	return Options{Programs: programs, Seed: 1, FaultDuration: 2 * time.Minute, Zones: []string{"east", "west", "north"}, FrontMachines: 5, StoreMachines: 6,
		MaxLostDisks: 2, StreamRate: 25, JobRate: 3, Output: io.Discard}
}

// Result is what came of a run.
type Result struct {
	Options              Options
	Faults               map[EventKind]int
	DisksWiped           int // disks
	Streams              int // streams
	Accepted             int // batch jobs
	Rejected             int // batch jobs that were refused and not sent again
	Ended                int // batch jobs that clients ended
	ConfigurationChanges int // changes of the configuration that were acknowledged
	Violations           []Violation
	OmittedViolations    int    // violations beyond those kept
	Folder               string // with the logs; empty: no rule was broken
}

// Run makes one run. The error tells that it could not be made; broken rules are in the result. Nothing is judged any more once the
// context has ended.
func Run(ctx context.Context, plan Options) (Result, error) {
	folder, err := os.MkdirTemp(plan.LogFolder, fmt.Sprintf("sprucelane-soak-%d-", plan.Seed))
	if err != nil {
		return Result{}, err
	}
	r, err := newRun(plan, folder)
	if err != nil {
		return Result{}, errors.Join(err, os.RemoveAll(folder))
	}
	defer r.fleet.Close()
	r.checker.checkDuring(ctx)
	if err := r.startSystem(ctx); err != nil {
		return Result{}, err // the folder stays: its logs tell why
	}
	r.runRounds(ctx)
	r.readBackAll(ctx)
	r.stopSystem()
	result := r.result()
	if len(result.Violations) == 0 {
		return result, os.RemoveAll(folder)
	}
	result.Folder = folder
	return result, r.timeline.write(filepath.Join(folder, "timeline"))
}

// run is a run under way.
type run struct {
	plan          Options
	folder        string
	fleet         *system.Cluster
	targets       []*target
	frontMachines []system.Machine
	partitions    *partitionSet
	timeline      *timeline
	checker       *checker
	budget        *diskBudget
	logs          *logWatcher
	jobs          *jobSet
	operator      *operator
	client        *system.Client

	powerLoss sync.RWMutex // held for writing while all processes are killed: none is started then
	requests  counter
}

func newRun(plan Options, folder string) (*run, error) {
	r := &run{plan: plan, folder: folder, timeline: newTimeline()}
	network, err := newPartitionSet(filepath.Join(folder, "cuts"))
	if err != nil {
		return nil, err
	}
	r.partitions = network
	r.checker = newChecker(r.timeline, plan.Output)
	stand := system.Options{Programs: plan.Programs, Zones: plan.Zones, ModelServers: modelServers, FrontMachines: plan.FrontMachines, StoreMachines: plan.StoreMachines,
		MaxLostDisks: plan.MaxLostDisks, JobRetention: plan.FaultDuration + extraRetention, Folder: folder, Environment: network.environment}
	if r.fleet, err = system.Open(stand); err != nil {
		return nil, err
	}
	for _, machine := range r.fleet.Machines {
		if machine.Class == "front" {
			r.frontMachines = append(r.frontMachines, machine)
		}
		for _, role := range machine.Roles {
			r.targets = append(r.targets, &target{fleet: r.fleet, timeline: r.timeline, machine: machine, role: role})
		}
	}
	r.logs = newLogWatcher(folder, r.targetsOf(system.RoleBatch), r.targetsOf(system.RoleControl))
	r.budget = newDiskBudget(plan.MaxLostDisks)
	r.jobs = newJobSet()
	r.operator = newOperator(r)
	r.client = system.NewClient(system.TenantKey)
	r.client.ResponseSlack = responseSlack
	return r, nil
}

// begin starts the system and waits until it serves.
func (r *run) startSystem(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := r.fleet.StartAll(); err != nil {
		return err
	}
	if err := r.fleet.PutConfiguration(ctx, 0, documentAt(1)); err != nil {
		return err
	}
	return r.fleet.WaitServing(ctx, system.NewClient(system.TenantKey))
}

// play lets load run, and troubles in rounds, until the time is over or the system doesn't recover from a round.
func (r *run) runRounds(ctx context.Context) {
	r.timeline.restartClock()
	end := time.Now().Add(r.plan.FaultDuration)
	loaded, unload := context.WithCancel(ctx)
	watched, stop := context.WithCancel(ctx)
	var all sync.WaitGroup
	all.Go(func() { r.monitorProcesses(watched) })
	all.Go(func() { r.monitorHost(watched) })
	all.Go(func() { r.generateStreams(loaded) })
	all.Go(func() { r.generateJobs(loaded, watched) })
	all.Go(func() { r.operator.generateChanges(loaded) })
	all.Go(func() { r.operator.readBack(loaded) })
	rounds := newRounds(r)
	for recovered := true; recovered && ctx.Err() == nil && time.Now().Before(end); {
		recovered = rounds.play(ctx, end)
	}
	unload()
	sleep(ctx, drainTime)
	stop()
	all.Wait()
}

// heal takes all troubles back.
func (r *run) healAll() {
	if err := r.partitions.healAll(); err != nil {
		r.checker.violated(RuleProcesses, "the network could not be healed: %v", err)
	}
	forEachConcurrently(r.targets, func(_ int, one *target) {
		if err := one.restore(); err != nil {
			r.checker.violated(RuleProcesses, "%v", err)
		}
	})
}

// unitsOf gives the processes of a role.
func (r *run) targetsOf(role string) []*target {
	var list []*target
	for _, one := range r.targets {
		if one.role == role {
			list = append(list, one)
		}
	}
	return list
}

// unitAt gives the process of a role on a machine.
func (r *run) targetAt(machine system.Machine, role string) *target {
	for _, one := range r.targets {
		if one.machine.Name == machine.Name && one.role == role {
			return one
		}
	}
	panic(machine.Name + " has no " + role)
}

// end ends the system.
func (r *run) stopSystem() {
	if err := r.fleet.Close(); err != nil {
		r.checker.violated(RuleProcesses, "at the end: %v", err)
	}
}

func (r *run) result() Result {
	result := Result{Options: r.plan, Faults: r.timeline.countKinds(), DisksWiped: r.budget.wiped(), Streams: r.requests.value(),
		ConfigurationChanges: r.operator.changeCount()}
	result.Violations, result.OmittedViolations = r.checker.violations()
	r.jobs.addCounts(&result)
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

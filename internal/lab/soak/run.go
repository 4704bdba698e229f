package soak

import (
	"context"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"sprucelane.example/sprucelane/internal/lab/system"
)

const (
	startTimeout = 30 * time.Second
	// pollInterval is how often a condition is checked that is waited for.
	pollInterval = 250 * time.Millisecond
	// drainTime is left for the last batch jobs to be submitted and read, after load and faults have ended.
	drainTime = 2 * time.Second
	// extraRetention is how long batch jobs are kept beyond the faults: no job may expire before the final reads.
	extraRetention = 10 * time.Minute
	modelServers   = 6
)

// run is the state of a run. Its parts synchronize themselves; the fields don't change after newRun.
type run struct {
	options       Options
	cluster       *system.Cluster
	targets       []*target        // all processes
	frontMachines []system.Machine // those with a gateway
	controls      []system.Machine // those with a control process
	partitions    *partitionSet
	timeline      *timeline
	checker       *checker
	budget        *diskBudget
	logs          *logWatcher
	jobs          *jobSet
	operator      *operator
	client        *system.Client
	streams       atomic.Int64 // streaming requests sent
	hostileValues atomic.Int64 // calls with values that must not reach a server

	// powerLoss is held for writing while a loss of power kills all processes, and for reading while a
	// process is started: no process may come up while the others are being killed.
	powerLoss sync.RWMutex
}

// newRun prepares a run in a folder for disks, logs and settings. No process is started yet.
func newRun(options Options, folder string) (*run, error) {
	r := &run{options: options, timeline: newTimeline()}
	var err error
	if r.partitions, err = newPartitionSet(filepath.Join(folder, "cuts")); err != nil {
		return nil, err
	}
	r.checker = newChecker(r.timeline, options.Output)
	r.cluster, err = system.Open(system.Options{
		Programs:        options.Programs,
		Zones:           options.Zones,
		ModelServers:    modelServers,
		FrontMachines:   options.FrontMachines,
		ControlMachines: options.ControlMachines,
		StoreMachines:   options.StoreMachines,
		MaxLostDisks:    options.MaxLostDisks,
		JobRetention:    options.FaultDuration + extraRetention,
		Folder:          folder,
		Environment:     r.partitions.environment,
	})
	if err != nil {
		return nil, err
	}
	r.frontMachines = r.cluster.FrontMachines()
	r.controls = r.cluster.MachinesOf(system.RoleControl)
	for _, machine := range r.cluster.Machines {
		for _, role := range machine.Roles {
			r.targets = append(r.targets, &target{cluster: r.cluster, timeline: r.timeline, machine: machine, role: role})
		}
	}
	r.logs = newLogWatcher(folder, r.targetsOf(system.RoleBatch), r.targetsOf(system.RoleControl))
	r.budget = newDiskBudget(options.MaxLostDisks)
	r.jobs = newJobSet()
	r.operator = newOperator(r)
	r.client = system.NewClient(system.TenantKey)
	r.client.ResponseSlack = responseSlack
	return r, nil
}

// startSystem starts all processes, puts the first configuration, and waits until every gateway serves.
func (r *run) startSystem(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := r.cluster.StartAll(); err != nil {
		return err
	}
	if err := r.cluster.PutConfiguration(ctx, 0, firstRevision.document()); err != nil {
		return err
	}
	return r.cluster.WaitServing(ctx, system.NewClient(system.TenantKey))
}

// runRounds runs load, and rounds of faults, until the time is over or the system doesn't recover from a
// round. The monitors and the readers of batch jobs outlive the load by drainTime.
func (r *run) runRounds(ctx context.Context) {
	r.timeline.restartClock()
	end := time.Now().Add(r.options.FaultDuration)
	loadCtx, stopLoad := context.WithCancel(ctx)
	monitorCtx, stopMonitors := context.WithCancel(ctx)
	var activities sync.WaitGroup
	activities.Go(func() { r.monitorProcesses(monitorCtx) })
	activities.Go(func() { r.monitorHost(monitorCtx) })
	activities.Go(func() { r.generateStreams(loadCtx) })
	activities.Go(func() { r.generateKeptStreams(loadCtx) })
	activities.Go(func() { r.generateHostileValues(loadCtx) })
	activities.Go(func() { r.generateJobs(loadCtx, monitorCtx) })
	activities.Go(func() { r.operator.generateChanges(loadCtx) })
	activities.Go(func() { r.operator.readBack(loadCtx) })
	rounds := newRounds(r)
	for recovered := true; recovered && ctx.Err() == nil && time.Now().Before(end); {
		recovered = rounds.play(ctx, end)
	}
	stopLoad()
	sleep(ctx, drainTime)
	stopMonitors()
	activities.Wait()
}

// healAll ends all faults: partitions are healed, and paused or killed processes run again.
func (r *run) healAll() {
	if err := r.partitions.healAll(); err != nil {
		r.checker.violated(RuleProcesses, "the partitions could not be healed: %v", err)
	}
	forEachConcurrently(r.targets, func(_ int, t *target) {
		if err := t.restore(); err != nil {
			r.checker.violated(RuleProcesses, "%v", err)
		}
	})
}

// targetsOf returns the processes of a role.
func (r *run) targetsOf(role system.Role) []*target {
	var list []*target
	for _, t := range r.targets {
		if t.role == role {
			list = append(list, t)
		}
	}
	return list
}

// targetAt returns the process of a role on a machine, which must have one.
func (r *run) targetAt(machine system.Machine, role system.Role) *target {
	for _, t := range r.targets {
		if t.machine.Name == machine.Name && t.role == role {
			return t
		}
	}
	panic("soak: " + machine.Name + " has no " + string(role))
}

// randomFrontMachine returns a random machine with a gateway.
func (r *run) randomFrontMachine(random *rand.Rand) system.Machine {
	return r.frontMachines[random.IntN(len(r.frontMachines))]
}

// randomControl returns a random machine with a control process.
func (r *run) randomControl(random *rand.Rand) system.Machine {
	return r.controls[random.IntN(len(r.controls))]
}

// stopSystem ends all processes. One that doesn't exit with 0 when it is asked to breaks RuleProcesses.
func (r *run) stopSystem() {
	if err := r.cluster.Close(); err != nil {
		r.checker.violated(RuleProcesses, "at the end: %v", err)
	}
}

func (r *run) result() Result {
	result := Result{
		Options:              r.options,
		Faults:               r.timeline.countKinds(),
		DisksWiped:           r.budget.wiped(),
		Streams:              int(r.streams.Load()),
		HostileValues:        int(r.hostileValues.Load()),
		ConfigurationChanges: r.operator.changeCount(),
	}
	result.Violations, result.OmittedViolations = r.checker.violations()
	r.jobs.addCounts(&result)
	return result
}

// sleep waits, and returns false where the context ended first.
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

package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"
)

// Options configure one run.
type Options struct {
	// Programs is the folder of the programs, built with -tags faultinjection: without the tag partitions
	// have no effect.
	Programs string
	// Seed determines all random draws.
	Seed uint64
	// FaultDuration is how long rounds of faults go on. The last recovery and the final reads take up to a
	// minute more.
	FaultDuration time.Duration
	// Zones are the failure domains over which machines are spread.
	Zones []string
	// FrontMachines is the number of machines with a gateway.
	FrontMachines int
	// ControlMachines is the number of front machines that have a control process, too. 0: all.
	ControlMachines int
	// StoreMachines is the number of machines with a batch process.
	StoreMachines int
	// MaxLostDisks is the number of disks that the system is configured to lose at once, and the most that
	// are wiped between two recoveries.
	MaxLostDisks int
	// StreamRate is the mean rate of streaming requests, per second.
	StreamRate float64
	// JobRate is the mean rate of batch jobs, per second.
	JobRate float64
	// LogFolder is where the folder of a run with violations is kept. Empty: the system's folder for
	// temporary files.
	LogFolder string
	// Output receives violations as they are found.
	Output io.Writer
}

// DefaultOptions returns options with five front machines and six stores, of which two may lose their disks
// at once.
func DefaultOptions(programs string) Options {
	return Options{
		Programs:      programs,
		Seed:          1,
		FaultDuration: 2 * time.Minute,
		Zones:         []string{"east", "west", "north"},
		FrontMachines: 5,
		StoreMachines: 6,
		MaxLostDisks:  2,
		StreamRate:    25,
		JobRate:       3,
		Output:        io.Discard,
	}
}

// Result is the outcome of a run.
type Result struct {
	Options              Options
	Faults               map[EventKind]int // how often each kind was injected
	DisksWiped           int
	Streams              int // streaming requests sent
	HostileValues        int // calls with values that must not reach a server
	Accepted             int // batch jobs that got 202
	Rejected             int // batch jobs that got nothing but rejections, and were given up
	Ended                int // batch jobs that clients ended, acknowledged
	ConfigurationChanges int // acknowledged
	Violations           []Violation
	OmittedViolations    int    // found beyond those in Violations
	Folder               string // with logs and timeline; empty where no rule was broken
}

// Run makes one run. It returns an error only where the run couldn't be made; violations are in the result.
// Once the context has ended nothing is judged any more.
func Run(ctx context.Context, options Options) (Result, error) {
	folder, err := os.MkdirTemp(options.LogFolder, fmt.Sprintf("sprucelane-soak-%d-", options.Seed))
	if err != nil {
		return Result{}, err
	}
	r, err := newRun(options, folder)
	if err != nil {
		return Result{}, errors.Join(err, os.RemoveAll(folder))
	}
	defer r.cluster.Close()
	r.checker.checkDuring(ctx)
	if err := r.startSystem(ctx); err != nil {
		return Result{}, err // the folder is kept: its logs tell why
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

package runner

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"sprucelane.example/sprucelane/internal/batch/scheduler"
	"sprucelane.example/sprucelane/internal/serverload"
)

// The planner gets reported loads from the runner.
var _ scheduler.LoadReports = (*Runner)(nil)

// Loads returns the table of the loads that servers reported. Its content is shared with other processes.
func (r *Runner) Loads() *serverload.Table { return r.loads }

// ReportedLoad returns the load that a server reported last, and false if no report is known.
func (r *Runner) ReportedLoad(id string) (scheduler.ReportedLoad, bool) {
	load, at, known := r.loads.Lookup(time.Now(), xxhash.Sum64String(id))
	return scheduler.ReportedLoad{InFlight: load.InFlight(), Slots: load.Slots, At: at.Sub(r.origin)}, known
}

// PrefillBacklog returns how long a server will be busy with long prompts.
func (r *Runner) PrefillBacklog(id string) time.Duration {
	return r.loads.PrefillTime(time.Now(), xxhash.Sum64String(id))
}

// IsFailing reports whether a server fails the requests that the processes of this zone send to it.
func (r *Runner) IsFailing(id string) bool {
	return r.loads.Failing(time.Now(), xxhash.Sum64String(id))
}

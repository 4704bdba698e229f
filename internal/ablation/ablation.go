// Package ablation names the mechanisms that a build for ablation studies can switch off one by one, to
// measure what each is worth. Such a build has the build tag ablation and names the mechanisms by a linker
// flag (off_ablation.go). In any other build all mechanisms are on, and the compiler removes the checks.
package ablation

// Mechanism is a mechanism that can be switched off. Its value is its name in the linker flag.
type Mechanism string

// The mechanisms.
const (
	Affinity             Mechanism = "affinity"        // requests that share a long prompt prefix go to the same servers
	PrefixCacheModel     Mechanism = "cache-memory"    // a gateway models the prefix caches of the servers that it sent to
	PrefixAnnouncements  Mechanism = "announcements"   // gateways announce long prompts to each other
	ReportedLoad         Mechanism = "told-load"       // the load that servers report is used
	SharedLoad           Mechanism = "shared-load"     // the load that servers report is shared between processes
	SharedFailures       Mechanism = "shared-failures" // processes avoid a server that fails requests of their zone
	ZonePreference       Mechanism = "zone-preference" // servers of a gateway's own zone are preferred
	LatencyWeighting     Mechanism = "slowness"        // a server that is slower than others gets fewer requests
	TimeoutWeighting     Mechanism = "silence"         // a server without recent contact gets fewer requests
	Ejection             Mechanism = "ejection"        // a server that failed or rejected requests is ejected for a while
	AdmissionControl     Mechanism = "admission-cuts"  // requests are rejected while a route misses its latency target
	Retries              Mechanism = "retries"         // idempotent requests are retried at another server
	BatchCapacityReserve Mechanism = "batch-reserve"   // batch items leave capacity of a server to interactive requests
	BatchPacing          Mechanism = "batch-pace"      // a store takes only its share of the free slots in an interval
	BatchDeadlineOrder   Mechanism = "batch-late-last" // items that can no longer meet their deadline come last
	BatchAffinity        Mechanism = "batch-warmth"    // items go to servers that have the prefix of their prompt cached
	StoreBacklog         Mechanism = "store-backlog"   // a batch job is submitted to a store with a shorter queue
	HedgedSubmit         Mechanism = "hedged-submit"   // a batch job is submitted to a second store after a time-out
)

// All lists the mechanisms.
func All() []Mechanism {
	return []Mechanism{
		Affinity, PrefixCacheModel, PrefixAnnouncements, ReportedLoad, SharedLoad, SharedFailures, ZonePreference,
		LatencyWeighting, TimeoutWeighting, Ejection, AdmissionControl, Retries, BatchCapacityReserve, BatchPacing,
		BatchDeadlineOrder, BatchAffinity, StoreBacklog, HedgedSubmit,
	}
}

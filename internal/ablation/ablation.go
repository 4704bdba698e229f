// Package ablation names the mechanisms that a build for measuring can switch off one by one, to see what each is worth. In any other
// build all are on, and asking costs nothing.
package ablation

// Mechanism is one that can be switched off.
type Mechanism string

// The mechanisms.
const (
	Affinity             Mechanism = "affinity"        // requests that share much of a prompt meet at the same servers
	PrefixCacheModel     Mechanism = "cache-memory"    // a gateway remembers what it sent to a server
	PrefixAnnouncements  Mechanism = "announcements"   // gateways tell each other of long prompts
	ReportedLoad         Mechanism = "told-load"       // what servers tell of their load is used
	SharedLoad           Mechanism = "shared-load"     // and passed on between processes
	SharedFailures       Mechanism = "shared-failures" // servers that fail the zone's requests are left alone by all
	ZonePreference       Mechanism = "zone-preference" // servers of the own zone come first
	LatencyWeighting     Mechanism = "slowness"        // a server that is slower than others gets less
	TimeoutWeighting     Mechanism = "silence"         // a server without a sign of life gets less
	Ejection             Mechanism = "ejection"        // a server that failed or refused is left alone for a while
	AdmissionControl     Mechanism = "admission-cuts"  // requests are refused while a route misses its target
	Retries              Mechanism = "retries"         // what may be repeated goes to another server
	BatchCapacityReserve Mechanism = "batch-reserve"   // batch items leave places of a server to live requests
	BatchPacing          Mechanism = "batch-pace"      // a store takes its part of the free places at a time
	BatchDeadlineOrder   Mechanism = "batch-late-last" // items that can't be in time any more let others pass
	BatchAffinity        Mechanism = "batch-warmth"    // items go where their prompts' beginnings were read
	StoreBacklog         Mechanism = "store-backlog"   // a batch job is handed to a store at which less waits
	HedgedSubmit         Mechanism = "hedged-submit"   // a batch job is handed to a second store after a silence
)

// All lists the mechanisms.
func All() []Mechanism {
	return []Mechanism{
		Affinity, PrefixCacheModel, PrefixAnnouncements, ReportedLoad, SharedLoad, SharedFailures, ZonePreference, LatencyWeighting, TimeoutWeighting, Ejection,
		AdmissionControl, Retries, BatchCapacityReserve, BatchPacing, BatchDeadlineOrder, BatchAffinity, StoreBacklog, HedgedSubmit,
	}
}

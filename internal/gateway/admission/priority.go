package admission

import (
	"slices"
	"sort"

	"sprucelane.example/sprucelane/internal/configuration"
)

// priorityClass returns the index of a tenant's priority among those in use. Requests without a tenant belong to
// the most urgent class.
func (a *Admission) priorityClass(tenant *configuration.Tenant) int {
	if tenant == nil {
		return 0
	}
	class := sort.SearchInts(a.priorities, tenant.Priority)
	return min(class, len(a.priorities)-1)
}

// tenantPriorities returns the distinct priorities of a configuration's tenants, the most urgent first. Without
// tenants it returns priority 0 only.
func tenantPriorities(snapshot *configuration.Snapshot) []int {
	var list []int
	for i := range snapshot.Tenants {
		list = append(list, snapshot.Tenants[i].Priority)
	}
	if len(list) == 0 {
		list = append(list, 0)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

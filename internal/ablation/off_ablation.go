//go:build ablation

package ablation

import "strings"

// off is a comma-separated list of mechanisms, set by the linker:
// -X sprucelane.example/sprucelane/internal/ablation.off=MECHANISM,MECHANISM
var off string

// switchedOff is read-only after initialization.
var switchedOff = parse(off)

// parse returns the mechanisms of a list as a set.
func parse(list string) map[Mechanism]bool {
	names := map[Mechanism]bool{}
	for name := range strings.SplitSeq(list, ",") {
		names[Mechanism(name)] = true
	}
	return names
}

// Off reports whether a mechanism is switched off.
func Off(mechanism Mechanism) bool { return switchedOff[mechanism] }

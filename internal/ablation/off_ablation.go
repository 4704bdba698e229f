//go:build ablation

package ablation

import "strings"

// off is set by the linker, with commas between names: -X sprucelane.example/sprucelane/internal/ablation.off=MECHANISM,MECHANISM
var off string

var mechanisms = parse(off)

func parse(list string) map[Mechanism]bool {
	names := map[Mechanism]bool{}
	for name := range strings.SplitSeq(list, ",") {
		names[Mechanism(name)] = true
	}
	return names
}

// Off tells whether a mechanism is switched off.
func Off(mechanism Mechanism) bool { return mechanisms[mechanism] }

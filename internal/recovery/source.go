package recovery

// This file has the sources from which a starting process gets its data.

import (
	"strings"
)

// Source is where a starting process got data from.
type Source uint8

// The sources, in rising order of trust.
const (
	Cached      Source = iota // the list of servers in the configuration
	Predecessor               // the former process of this gateway, by handover
	Store                     // the gateway's store on disk
	Discovery                 // service discovery
	Peers                     // other gateways
	sourceCount
)

var sourceNames = [sourceCount]string{"list", "predecessor", "store", "discovery", "peers"}

// SourceNames returns the names of the sources that have delivered data, the most trusted first, separated by commas.
func (r *Recovery) SourceNames() string {
	var names []string
	for s := sourceCount; s > 0; s-- {
		if r.received[s-1] {
			names = append(names, sourceNames[s-1])
		}
	}
	return strings.Join(names, ",")
}

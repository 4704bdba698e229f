package protocol

import "time"

// ServerList is the platform's list of servers, or a delta to it. Version rises with each change of content
// and can be compared only under the same Source. Package serverlist applies deltas.
type ServerList struct {
	Version uint64
	Source  string // the control process that numbers the versions
	// Base is 0 if Servers is the complete list; else the version, of the same source, that Servers and Removed
	// apply to.
	Base    uint64
	Servers []Server // sorted by ID; with a Base: those that were added or changed
	Removed []string // IDs; with a Base only
}

// Server is a server of a service, in one incarnation.
type Server struct {
	ID       string
	Backend  string // name of its service
	Address  string // "ip:port"
	Zone     string
	Slots    int // requests that it runs at the same time
	Draining bool
	Cold     time.Duration // what is left of its slow start, as of when the list was read
	Stage    string
}

package protocol

import "time"

// ServerList is the platform's list of servers, or a delta to it. Version rises with each change of the content.
// Versions can be compared only if they have the same Source. Package serverlist applies deltas.
type ServerList struct {
	Version uint64
	Source  string // the control process that assigns the versions
	// Base is 0 if Servers is the complete list. Otherwise it is the version, of the same source, to which Servers and
	// Removed are a delta.
	Base    uint64
	Servers []Server // sorted by ID; with a Base: only servers that were added or changed
	Removed []string // IDs of removed servers; only with a Base
}

// Server is one incarnation of a server of a service.
type Server struct {
	ID       string
	Backend  string // name of its service
	Address  string // "ip:port"
	Zone     string
	Slots    int // number of requests that it runs at the same time
	Draining bool
	Cold     time.Duration // remaining time of its slow start as of when the list was read
	Stage    string
}

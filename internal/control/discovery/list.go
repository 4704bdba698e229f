package discovery

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"sprucelane.example/sprucelane/internal/protocol"
)

// List is the complete server list of the platform.
type List struct {
	Servers []protocol.Server // sorted by id
	Digest  uint64            // of the content except the remaining warm-up times, which change by themselves
	// Malformed is the number of servers that were left out because of their ids, which gateways and batch processes write
	// into the heads of requests (X-Expect-Instance).
	Malformed int
}

// NewList sorts servers by id and computes their digest. It modifies its argument. A server that is listed
// twice, because pages may shift while they are read, is kept once, and is draining if any of its entries is.
func NewList(servers []protocol.Server) List {
	slices.SortStableFunc(servers, func(a, b protocol.Server) int { return strings.Compare(a.ID, b.ID) })
	unique := servers[:0]
	for _, server := range servers {
		if last := len(unique) - 1; last >= 0 && unique[last].ID == server.ID {
			unique[last].Draining = unique[last].Draining || server.Draining
			continue
		}
		unique = append(unique, server)
	}
	return List{Servers: unique, Digest: digest(unique)}
}

// digest hashes the content of a list, without the remaining warm-up times, which change by themselves.
func digest(servers []protocol.Server) uint64 {
	hash := xxhash.New()
	var line []byte
	for i := range servers {
		server := &servers[i]
		line = line[:0]
		for _, text := range []string{server.ID, server.Backend, server.Address, server.Zone, server.Stage} {
			line = append(strconv.AppendInt(line, int64(len(text)), 10), ' ')
			line = append(line, text...)
		}
		line = strconv.AppendBool(strconv.AppendInt(line, int64(server.Slots), 10), server.Draining)
		_, _ = hash.Write(line) // never fails
	}
	return hash.Sum64()
}

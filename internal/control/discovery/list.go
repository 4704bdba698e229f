package discovery

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"sprucelane.example/sprucelane/internal/protocol"
)

// List is the platform's server list, read whole.
type List struct {
	Servers []protocol.Server // sorted by id
	Digest  uint64            // of the content, without the remaining warm-up time, which changes by itself
}

// NewList sorts servers by id and computes their digest. It changes its argument. A server that is listed
// twice, as pages may shift while they are read, is kept once, and as draining if one of its entries says so.
func NewList(servers []protocol.Server) List {
	slices.SortStableFunc(servers, func(a, b protocol.Server) int { return strings.Compare(a.ID, b.ID) })
	unique := servers[:0]
	for _, one := range servers {
		if last := len(unique) - 1; last >= 0 && unique[last].ID == one.ID {
			unique[last].Draining = unique[last].Draining || one.Draining
			continue
		}
		unique = append(unique, one)
	}
	return List{Servers: unique, Digest: digest(unique)}
}

// digest hashes the content of a list, without what changes by itself with time.
func digest(servers []protocol.Server) uint64 {
	hash := xxhash.New()
	var line []byte
	for i := range servers {
		one := &servers[i]
		line = line[:0]
		for _, text := range []string{one.ID, one.Backend, one.Address, one.Zone, one.Stage} {
			line = append(strconv.AppendInt(line, int64(len(text)), 10), ' ')
			line = append(line, text...)
		}
		line = strconv.AppendBool(strconv.AppendInt(line, int64(one.Slots), 10), one.Draining)
		_, _ = hash.Write(line) // never fails
	}
	return hash.Sum64()
}

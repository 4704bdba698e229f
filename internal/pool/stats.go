package pool

// Stats has counts of how attempts got their connections: an attempt reuses an idle connection, or a new one is
// opened because the server has no idle connection, or none that is usable.
type Stats struct {
	Reused           uint64
	Opened           uint64
	OpenedAfterStale uint64 // of Opened: all idle connections of the server were expired, closed or likely stale
	OpenedByEviction uint64 // of Opened: an idle connection was closed to stay within MaxConnections
	ConnectFailed    uint64 // failed dials and TLS handshakes
	LimitReached     uint64 // attempts that failed because MaxConnections connections were in use
	Idle, Open       int    // current numbers of connections
}

// Stats returns the current statistics.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	stats.Open = p.open
	for _, s := range p.servers {
		stats.Idle += len(s.idle)
	}
	return stats
}

// count updates the statistics by a function, which is called with the mutex held.
func (p *Pool) count(update func(*Stats)) {
	p.mu.Lock()
	update(&p.stats)
	p.mu.Unlock()
}

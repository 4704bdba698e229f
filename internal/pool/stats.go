package pool

// Stats counts how attempts came by their connections: each one reused an idle connection, or a new one was
// opened because the server had no idle one, or none that could be trusted.
type Stats struct {
	Reused           uint64
	Opened           uint64
	OpenedAfterStale uint64 // of those opened: there were idle ones, all expired, closed or likely stale
	OpenedByEviction uint64 // of those opened: another idle one was closed to stay within MaxConnections
	ConnectFailed    uint64 // dials and handshakes
	LimitReached     uint64 // attempts without a connection, as all that MaxConnections allows were in use
	Idle, Open       int    // now
}

// Stats returns the counts so far.
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

// count updates the statistics.
func (p *Pool) count(update func(*Stats)) {
	p.mu.Lock()
	update(&p.stats)
	p.mu.Unlock()
}

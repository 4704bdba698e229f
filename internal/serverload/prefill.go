package serverload

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"
)

// While a server reads a long prompt (prefill) it answers no other request, and its last reported load is out of
// date. A process that sends a long prompt announces it at once to one aggregator in each zone. An aggregator
// relays the announcements that arrive within relayDelay together, so that the number of datagrams that a process
// receives doesn't grow with the number of prompts.

const (
	// MinAnnouncedTokens is the least number of tokens that a server has to read of a prompt for it to be announced.
	MinAnnouncedTokens = 2048
	// PrefillTokensPerMs is the rate at which servers are assumed to read prompts.
	PrefillTokensPerMs = 100
	// maxPrefillTime bounds the time for which announced prompts are assumed to keep a server busy.
	maxPrefillTime = 2 * time.Second
	// relayDelay is how long an aggregator gathers announcements before it relays them.
	relayDelay = 15 * time.Millisecond
	// maxRelayQueue bounds the announcements that wait for an aggregator to relay them. Further ones are dropped.
	maxRelayQueue = 1024
)

// pendingPrompt is a long prompt that was sent to a server.
type pendingPrompt struct {
	server uint64 // hash of its id
	tokens int    // that the server has to read
	sender uint32 // identifies the process that sent it; see Sharing.sender
}

// Layout of an entry of a datagram of prompts, with the sizes in bytes: the hash of the server's id (8), the tokens in
// units of prefillUnit (2), and the sender (4).
const (
	kindPrefill      kind = 4 // process to aggregators
	kindPrefillRelay kind = 5 // aggregator to the processes of its zone

	prefillEntryBytes       = 14
	maxPrefills             = 100
	prefillUnit             = 16
	maxPrefillDatagramBytes = headerBytes + maxPrefills*prefillEntryBytes
)

// encodePrefills encodes a datagram with as many of the prompts as fit. It reuses buffer.
func encodePrefills(buffer []byte, k kind, prompts []pendingPrompt) []byte {
	prompts = prompts[:min(len(prompts), maxPrefills)]
	out := appendHeader(buffer, k, len(prompts))
	for _, prompt := range prompts {
		out = binary.BigEndian.AppendUint64(out, prompt.server)
		out = binary.BigEndian.AppendUint16(out, uint16(min(max(prompt.tokens, 0)/prefillUnit, maxCount)))
		out = binary.BigEndian.AppendUint32(out, prompt.sender)
	}
	return out
}

// decodePrefills decodes a datagram of prompts. ok is false if the datagram isn't a valid one of this kind.
func decodePrefills(datagram []byte) (k kind, prompts []pendingPrompt, ok bool) {
	k, entries, ok := parseHeader(datagram, prefillEntryBytes, maxPrefills, kindPrefill, kindPrefillRelay)
	if !ok {
		return 0, nil, false
	}
	for entry := range slices.Chunk(entries, prefillEntryBytes) {
		prompts = append(prompts, pendingPrompt{server: binary.BigEndian.Uint64(entry),
			tokens: prefillUnit * int(binary.BigEndian.Uint16(entry[8:])), sender: binary.BigEndian.Uint32(entry[10:])})
	}
	return k, prompts, true
}

// AddPrefill records that another process has sent a server a prompt of which the server has to read this many
// tokens.
func (t *Table) AddPrefill(now time.Time, server uint64, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	until := t.prefillUntil[server]
	if until.Before(now) {
		until = now
	}
	until = until.Add(time.Duration(tokens) * time.Millisecond / PrefillTokensPerMs)
	if latest := now.Add(maxPrefillTime); until.After(latest) {
		until = latest
	}
	t.prefillUntil[server] = until
	if len(t.prefillUntil) > 2*t.prefillsAfterSweep+maxPrefills {
		t.sweepPrefills(now)
	}
}

// sweepPrefills drops the entries of servers that have read their prompts. mu is held.
func (t *Table) sweepPrefills(now time.Time) {
	for server, until := range t.prefillUntil {
		if until.Before(now) {
			delete(t.prefillUntil, server)
		}
	}
	t.prefillsAfterSweep = len(t.prefillUntil)
}

// PrefillTime returns for how long a server will still be reading prompts that other processes announced; 0 if none.
func (t *Table) PrefillTime(now time.Time, server uint64) time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return max(0, t.prefillUntil[server].Sub(now))
}

// AnnouncePrefill announces to other processes that this process sends a server a prompt of which the server has to
// read this many tokens. It doesn't block, and is safe for concurrent use.
func (s *Sharing) AnnouncePrefill(server uint64, tokens int) {
	targets := s.targets.Load()
	if targets == nil {
		return
	}
	prompt := pendingPrompt{server: server, tokens: tokens, sender: s.sender}
	var buffer [headerBytes + prefillEntryBytes]byte
	datagram := encodePrefills(buffer[:0], kindPrefill, []pendingPrompt{prompt})
	for _, aggregators := range targets.allAggregators {
		_, _ = s.conn.WriteToUDPAddrPort(datagram, aggregators[server%uint64(len(aggregators))])
	}
}

// receivePrefills records the prompts of a datagram, except those of this process. It queues prompts that a process
// announced to this aggregator (kindPrefill) to be relayed; relayed ones aren't relayed again.
func (s *Sharing) receivePrefills(now time.Time, k kind, prompts []pendingPrompt) {
	for _, prompt := range prompts {
		if prompt.sender != s.sender {
			s.table.AddPrefill(now, prompt.server, prompt.tokens)
		}
		if k == kindPrefill {
			select {
			case s.relayQueue <- prompt:
			default: // the queue is full: without an announcement the cost estimates of other processes are only less exact
			}
		}
	}
}

// relayPrefills sends the gathered announcements to the processes of the zone.
func (s *Sharing) relayPrefills(prompts []pendingPrompt, zone []netip.AddrPort) {
	for len(prompts) > 0 {
		count := min(len(prompts), maxPrefills)
		s.prefillBuffer = encodePrefills(s.prefillBuffer, kindPrefillRelay, prompts[:count])
		prompts = prompts[count:]
		s.sendTo(s.prefillBuffer, zone)
	}
}

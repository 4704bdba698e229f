package serverload

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"
)

// While a server reads a long prompt (prefill) it answers no other request, and its last reported load is out
// of date. A process that sends one announces it at once, to one aggregator in each zone. An aggregator
// relays what arrives within a moment together, so that the number of datagrams that a process receives
// doesn't grow with the number of prompts.

const (
	// MinAnnouncedTokens is the least number of prompt tokens to be read that is announced.
	MinAnnouncedTokens = 2048
	// PrefillTokensPerMs is the rate at which servers are assumed to read prompts.
	PrefillTokensPerMs = 100
	// maxPrefillTime bounds the time for which announced prompts keep a server busy.
	maxPrefillTime = 2 * time.Second
	// relayDelay is how long an aggregator gathers what it relays.
	relayDelay = 15 * time.Millisecond
	// maxRelayQueue bounds what an aggregator has yet to relay. What exceeds it is dropped.
	maxRelayQueue = 1024
)

// pendingPrompt is a long prompt that was sent to a server.
type pendingPrompt struct {
	server uint64 // hash of its id
	tokens int    // to be read
	sender uint32 // the process that sent it; see Sharing
}

// An entry of a datagram: the hash of the server's id (8), the tokens in units of prefillUnit (2), and the
// sender (4).
const (
	kindPrefill      kind = 4 // process to aggregators
	kindPrefillRelay kind = 5 // aggregator to the processes of its zone

	prefillBytes  = 14
	maxPrefills   = 100
	prefillUnit   = 16
	prefillsBytes = headerBytes + maxPrefills*prefillBytes
)

// encodePrefills writes as many prompts as fit.
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

// decodePrefills reads a datagram of prompts. It returns false if it is none.
func decodePrefills(datagram []byte) (k kind, prompts []pendingPrompt, ok bool) {
	k, entries, ok := parseHeader(datagram, prefillBytes, maxPrefills, kindPrefill, kindPrefillRelay)
	if !ok {
		return 0, nil, false
	}
	for entry := range slices.Chunk(entries, prefillBytes) {
		prompts = append(prompts, pendingPrompt{server: binary.BigEndian.Uint64(entry),
			tokens: prefillUnit * int(binary.BigEndian.Uint16(entry[8:])), sender: binary.BigEndian.Uint32(entry[10:])})
	}
	return k, prompts, true
}

// AddPrefill records that another process has sent a server a prompt of which it has to read this many
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

// sweepPrefills drops servers that have read their prompts. mu is held.
func (t *Table) sweepPrefills(now time.Time) {
	for server, until := range t.prefillUntil {
		if until.Before(now) {
			delete(t.prefillUntil, server)
		}
	}
	t.prefillsAfterSweep = len(t.prefillUntil)
}

// PrefillTime returns for how long a server still reads prompts that other processes announced.
func (t *Table) PrefillTime(now time.Time, server uint64) time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return max(0, t.prefillUntil[server].Sub(now))
}

// AnnouncePrefill announces to other processes that this process sends a server a prompt of which it has to
// read this many tokens. It doesn't wait, and is safe for concurrent use.
func (s *Sharing) AnnouncePrefill(server uint64, tokens int) {
	targets := s.targets.Load()
	if targets == nil {
		return
	}
	prompt := pendingPrompt{server: server, tokens: tokens, sender: s.sender}
	var buffer [headerBytes + prefillBytes]byte
	datagram := encodePrefills(buffer[:0], kindPrefill, []pendingPrompt{prompt})
	for _, aggregators := range targets.allAggregators {
		_, _ = s.conn.WriteToUDPAddrPort(datagram, aggregators[server%uint64(len(aggregators))])
	}
}

// receivePrefills records a datagram of prompts. Those that a process sent to this aggregator (kindPrefill)
// are relayed; relayed ones aren't relayed again.
func (s *Sharing) receivePrefills(now time.Time, k kind, prompts []pendingPrompt) {
	for _, prompt := range prompts {
		if prompt.sender != s.sender {
			s.table.AddPrefill(now, prompt.server, prompt.tokens)
		}
		if k == kindPrefill {
			select {
			case s.relayQueue <- prompt:
			default: // the queue is full; a prompt that isn't announced only makes the cost estimate less exact
			}
		}
	}
}

// relayPrefills sends gathered prompts to the processes of the zone.
func (s *Sharing) relayPrefills(prompts []pendingPrompt, zone []netip.AddrPort) {
	for len(prompts) > 0 {
		count := min(len(prompts), maxPrefills)
		s.prefillBuffer = encodePrefills(s.prefillBuffer, kindPrefillRelay, prompts[:count])
		prompts = prompts[count:]
		s.sendTo(s.prefillBuffer, zone)
	}
}

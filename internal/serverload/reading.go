package serverload

import (
	"encoding/binary"
	"net/netip"
	"time"
)

// This file owns what is known of long prompts that servers have yet to read. All that waits at a server waits for them, and a server that
// reads one answers nobody meanwhile, so that its load as it was told last is out of date just then. Whoever sends one tells a home in
// each zone at once; homes pass on what came within a moment together, so that what a process hears doesn't grow with the prompts that
// are sent.

const (
	// ReadingLeast is the least number of tokens to be read that others are told of.
	MinAnnouncedTokens = 2048
	// ReadPerMs is how many tokens a server is taken to read in a millisecond.
	PrefillTokensPerMs = 100
	// readingMost bounds the time for which prompts keep a server busy.
	maxPrefillTime = 2 * time.Second
	// relayAfter is how long a home gathers what it passes on.
	relayDelay = 15 * time.Millisecond
	// mostQueued bounds what a home has yet to pass on; what comes beyond it is lost.
	maxRelayQueue = 1024
)

// reading is a prompt that a server has to read.
type pendingPrompt struct {
	server uint64
	tokens int
	sender uint32 // of the process that sent it
}

// Layout of a datagram of readings: as that of reports, and for each reading the hash of the server's id (8), the tokens in units of 16 (2)
// and what tells the sender apart (4).
const (
	kindPrefill      kind = 4 // of a process, for homes
	kindPrefillRelay kind = 5 // of a home, for the processes of its zone
	prefillBytes          = 14
	maxPrefills           = 100
	prefillUnit           = 16
	prefillsBytes         = headerBytes + maxPrefills*prefillBytes
)

func encodePrefills(out []byte, datagramKind kind, readings []pendingPrompt) []byte {
	readings = readings[:min(len(readings), maxPrefills)]
	out = binary.BigEndian.AppendUint32(out[:0], magic)
	out = append(out, byte(datagramKind), byte(len(readings)))
	for _, one := range readings {
		out = binary.BigEndian.AppendUint64(out, one.server)
		out = binary.BigEndian.AppendUint16(out, uint16(min(max(one.tokens, 0)/prefillUnit, maxCount)))
		out = binary.BigEndian.AppendUint32(out, one.sender)
	}
	return out
}

// decodeReadings reads a datagram of readings; false where it is none.
func decodePrefills(datagram []byte) (datagramKind kind, readings []pendingPrompt, ok bool) {
	if len(datagram) < headerBytes || binary.BigEndian.Uint32(datagram) != magic {
		return 0, nil, false
	}
	datagramKind = kind(datagram[4])
	count := int(datagram[5])
	if datagramKind != kindPrefill && datagramKind != kindPrefillRelay || count > maxPrefills || len(datagram) != headerBytes+count*prefillBytes {
		return 0, nil, false
	}
	for at := headerBytes; at < len(datagram); at += prefillBytes {
		one := datagram[at : at+prefillBytes]
		readings = append(readings, pendingPrompt{server: binary.BigEndian.Uint64(one), sender: binary.BigEndian.Uint32(one[10:]),
			tokens: prefillUnit * int(binary.BigEndian.Uint16(one[8:]))})
	}
	return datagramKind, readings, true
}

// Read takes in that another process has sent so many tokens to be read to a server.
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

// sweepReadings forgets what has been read. The mutex is held.
func (t *Table) sweepPrefills(now time.Time) {
	for server, until := range t.prefillUntil {
		if until.Before(now) {
			delete(t.prefillUntil, server)
		}
	}
	t.prefillsAfterSweep = len(t.prefillUntil)
}

// Reading gives for how long a server still reads what others sent.
func (t *Table) PrefillTime(now time.Time, server uint64) time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return max(0, t.prefillUntil[server].Sub(now))
}

// Tell tells others at once that this process has sent so many tokens to be read to a server.
func (s *Sharing) AnnouncePrefill(server uint64, tokens int) {
	targets := s.targets.Load()
	if targets == nil {
		return
	}
	one := pendingPrompt{server: server, tokens: tokens, sender: s.sender}
	var buffer [headerBytes + prefillBytes]byte
	datagram := encodePrefills(buffer[:0], kindPrefill, []pendingPrompt{one})
	for _, homes := range targets.allAggregators {
		_, _ = s.conn.WriteToUDPAddrPort(datagram, homes[server%uint64(len(homes))])
	}
}

// takeReadings takes a datagram of readings in; one of a process for a home is passed on.
func (s *Sharing) receivePrefills(now time.Time, datagramKind kind, readings []pendingPrompt) {
	for _, one := range readings {
		if one.sender != s.sender {
			s.table.AddPrefill(now, one.server, one.tokens)
		}
		if datagramKind == kindPrefill {
			select {
			case s.relayQueue <- one:
			default: // too many: each process can do without
			}
		}
	}
}

// passOn sends what was gathered to the processes of the zone.
func (s *Sharing) relayPrefills(readings []pendingPrompt, zone []netip.AddrPort) {
	for len(readings) > 0 {
		count := min(len(readings), maxPrefills)
		s.prefillBuffer = encodePrefills(s.prefillBuffer, kindPrefillRelay, readings[:count])
		readings = readings[count:]
		for _, address := range zone {
			_, _ = s.conn.WriteToUDPAddrPort(s.prefillBuffer, address)
		}
	}
}

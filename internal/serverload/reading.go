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
	ReadingLeast = 2048
	// ReadPerMs is how many tokens a server is taken to read in a millisecond.
	ReadPerMs = 100
	// readingMost bounds the time for which prompts keep a server busy.
	readingMost = 2 * time.Second
	// relayAfter is how long a home gathers what it passes on.
	relayAfter = 15 * time.Millisecond
	// mostQueued bounds what a home has yet to pass on; what comes beyond it is lost.
	mostQueued = 1024
)

// reading is a prompt that a server has to read.
type reading struct {
	server uint64
	tokens int
	source uint32 // of the process that sent it
}

// Layout of a datagram of readings: as that of reports, and for each reading the hash of the server's id (8), the tokens in units of 16 (2)
// and what tells the sender apart (4).
const (
	kindSent      kind = 4 // of a process, for homes
	kindReading   kind = 5 // of a home, for the processes of its zone
	readingBytes       = 14
	mostReadings       = 100
	tokensUnit         = 16
	readingsBytes      = headBytes + mostReadings*readingBytes
)

func encodeReadings(out []byte, of kind, readings []reading) []byte {
	readings = readings[:min(len(readings), mostReadings)]
	out = binary.BigEndian.AppendUint32(out[:0], tag)
	out = append(out, byte(of), byte(len(readings)))
	for _, one := range readings {
		out = binary.BigEndian.AppendUint64(out, one.server)
		out = binary.BigEndian.AppendUint16(out, uint16(min(max(one.tokens, 0)/tokensUnit, mostCount)))
		out = binary.BigEndian.AppendUint32(out, one.source)
	}
	return out
}

// decodeReadings reads a datagram of readings; false where it is none.
func decodeReadings(datagram []byte) (of kind, readings []reading, ok bool) {
	if len(datagram) < headBytes || binary.BigEndian.Uint32(datagram) != tag {
		return 0, nil, false
	}
	of = kind(datagram[4])
	count := int(datagram[5])
	if of != kindSent && of != kindReading || count > mostReadings || len(datagram) != headBytes+count*readingBytes {
		return 0, nil, false
	}
	for at := headBytes; at < len(datagram); at += readingBytes {
		one := datagram[at : at+readingBytes]
		readings = append(readings, reading{server: binary.BigEndian.Uint64(one), source: binary.BigEndian.Uint32(one[10:]),
			tokens: tokensUnit * int(binary.BigEndian.Uint16(one[8:]))})
	}
	return of, readings, true
}

// Read takes in that another process has sent so many tokens to be read to a server.
func (b *Board) Read(now time.Time, server uint64, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	until := b.readings[server]
	if until.Before(now) {
		until = now
	}
	until = until.Add(time.Duration(tokens) * time.Millisecond / ReadPerMs)
	if latest := now.Add(readingMost); until.After(latest) {
		until = latest
	}
	b.readings[server] = until
	if len(b.readings) > 2*b.readingsLeft+mostReadings {
		b.sweepReadings(now)
	}
}

// sweepReadings forgets what has been read. The mutex is held.
func (b *Board) sweepReadings(now time.Time) {
	for server, until := range b.readings {
		if until.Before(now) {
			delete(b.readings, server)
		}
	}
	b.readingsLeft = len(b.readings)
}

// Reading gives for how long a server still reads what others sent.
func (b *Board) Reading(now time.Time, server uint64) time.Duration {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return max(0, b.readings[server].Sub(now))
}

// Tell tells others at once that this process has sent so many tokens to be read to a server.
func (s *Sharing) Tell(server uint64, tokens int) {
	targets := s.targets.Load()
	if targets == nil {
		return
	}
	one := reading{server: server, tokens: tokens, source: s.source}
	var buffer [headBytes + readingBytes]byte
	datagram := encodeReadings(buffer[:0], kindSent, []reading{one})
	for _, homes := range targets.everywhere {
		_, _ = s.conn.WriteToUDPAddrPort(datagram, homes[server%uint64(len(homes))])
	}
}

// takeReadings takes a datagram of readings in; one of a process for a home is passed on.
func (s *Sharing) takeReadings(now time.Time, of kind, readings []reading) {
	for _, one := range readings {
		if one.source != s.source {
			s.board.Read(now, one.server, one.tokens)
		}
		if of == kindSent {
			select {
			case s.relay <- one:
			default: // too many: each process can do without
			}
		}
	}
}

// passOn sends what was gathered to the processes of the zone.
func (s *Sharing) passOn(readings []reading, zone []netip.AddrPort) {
	for len(readings) > 0 {
		count := min(len(readings), mostReadings)
		s.readings = encodeReadings(s.readings, kindReading, readings[:count])
		readings = readings[count:]
		for _, address := range zone {
			_, _ = s.conn.WriteToUDPAddrPort(s.readings, address)
		}
	}
}

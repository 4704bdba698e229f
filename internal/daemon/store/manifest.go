package store

// This file has the manifest, which names the files of a store, and its atomic replacement.

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
)

// manifest names the files that make up a store. It is immutable: a change is made on a copy.
type manifest struct {
	id         ID
	epoch      uint64        // how often the store has been opened
	checkpoint uint64        // number of the checkpoint; 0: none
	segments   []segmentInfo // in the order of replay; the last one is the active segment
}

// segmentInfo is a segment's entry in the manifest.
type segmentInfo struct {
	number     uint64
	sealedSize int64  // in bytes; 0: the segment is not sealed, and all intact records count
	firstSeq   uint64 // lower bound of its sequence numbers
}

// active returns the number of the segment that is appended to.
func (m manifest) active() uint64 { return m.segments[len(m.segments)-1].number }

// position returns a segment's position in the order of replay; -1: the manifest doesn't name it.
func (m manifest) position(number uint64) int {
	return slices.IndexFunc(m.segments, func(g segmentInfo) bool { return g.number == number })
}

// encode encodes the manifest as format.go describes.
func (m manifest) encode() []byte {
	b := header(manifestMagic, m.id)
	b = binary.BigEndian.AppendUint64(b, m.epoch)
	b = binary.BigEndian.AppendUint64(b, m.checkpoint)
	b = binary.BigEndian.AppendUint32(b, uint32(len(m.segments)))
	for _, s := range m.segments {
		b = binary.BigEndian.AppendUint64(b, s.number)
		b = binary.BigEndian.AppendUint64(b, uint64(s.sealedSize))
		b = binary.BigEndian.AppendUint64(b, s.firstSeq)
	}
	return binary.BigEndian.AppendUint32(b, crc(b))
}

// decodeManifest decodes a manifest.
func decodeManifest(b []byte) (m manifest, err error) {
	if len(b) < manifestHeaderSize+crcSize || string(b[:4]) != manifestMagic {
		return m, errors.New("not a manifest: too short, or without the magic number")
	}
	if v := binary.BigEndian.Uint16(b[4:]); v != formatVersion {
		return m, fmt.Errorf("form %d, of which this program knows only %d", v, formatVersion)
	}
	if crc(b[:len(b)-crcSize]) != binary.BigEndian.Uint32(b[len(b)-crcSize:]) {
		return m, errors.New("damaged: checksum mismatch")
	}
	m.id, m.epoch, m.checkpoint = ID(b[8:24]), binary.BigEndian.Uint64(b[24:]), binary.BigEndian.Uint64(b[32:])
	n := binary.BigEndian.Uint32(b[40:])
	if uint64(len(b)) != manifestHeaderSize+crcSize+manifestEntrySize*uint64(n) {
		return m, fmt.Errorf("damaged: %d bytes for %d segments", len(b), n)
	}
	for i := range int(n) {
		entry := b[manifestHeaderSize+manifestEntrySize*i:]
		m.segments = append(m.segments, segmentInfo{number: binary.BigEndian.Uint64(entry),
			sealedSize: int64(binary.BigEndian.Uint64(entry[8:])), firstSeq: binary.BigEndian.Uint64(entry[16:])})
	}
	return m, nil
}

// newID returns a random ID.
func newID() (id ID) {
	rand.Read(id[:])
	return id
}

// installManifest makes a manifest the current one on disk, atomically. ioMu is held.
func (s *Store) installManifest(m manifest) error {
	name := manifestName + tempSuffix
	if err := s.writeFile(name, m.encode()); err != nil {
		return err
	}
	if err := s.fs.Sync(); err != nil { // the files that m names are durable before m is
		return err
	}
	if err := s.fs.Rename(name, manifestName); err != nil {
		return err
	}
	return s.fs.Sync()
}

// writeFile creates a file with the given content and syncs it. The caller syncs the directory.
func (s *Store) writeFile(name string, b []byte) error {
	s.fs.Remove(name) // a crash may have left one
	f, err := s.fs.Open(name, true)
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := f.WriteAt(b, 0); err != nil {
		return err
	}
	return f.Sync()
}

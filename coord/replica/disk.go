package replica

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"fmt"

	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/coord/slots"
	"sprucelane.example/sprucelane/coord/view"
)

// The kinds of records in the log on disk: the first byte of a record.
const (
	recordView     byte = iota + 1 // viewRecord
	recordAcceptor                 // acceptorRecord
	recordEntries                  // chain.Entry, by encodeEntries
	recordInstall                  // installRecord
	recordProbe                    // empty record: written to test whether the disk accepts writes
)

// The records and the checkpoint are encoded by gob, which matches fields by name, so their fields can't be renamed.

// viewRecord records the adoption of a decided view. It clears the acceptor's state.
type viewRecord struct {
	View   view.View
	Synced uint64 // core.syncedEpoch after the adoption
}

// acceptorRecord records the acceptor's state in the Paxos instance that decides the successor of the view Epoch.
type acceptorRecord struct {
	Epoch          uint64
	Promised       view.ProposalNumber
	AcceptedBallot view.ProposalNumber // number of the accepted value
	Accepted       *view.View
}

// installRecord replaces the log entries after Common by the prefix of the view's source. It is a single record, so
// that after a crash the disk holds either the old log or the new one.
type installRecord struct {
	Synced  uint64
	Common  uint64
	Entries []chain.Entry
}

// checkpoint is the complete durable state of a member. It replaces all earlier records.
type checkpoint struct {
	Self      view.Member
	Durable   view.DurableState
	Synced    uint64
	BaseIndex uint64 // BaseIndex and BaseEpoch belong to the last entry that was compacted away from the log
	BaseEpoch uint64
	Image     chain.Snapshot // of the state machine, at BaseIndex or later
	Entries   []chain.Entry  // all entries of the log
}

// encodeGob encodes a value of a type that gob supports.
func encodeGob(value any) []byte {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(value); err != nil {
		panic("replica: encode: " + err.Error())
	}
	return buffer.Bytes()
}

// decodeGob decodes data into value, which must be a pointer.
func decodeGob(data []byte, value any) error {
	return gob.NewDecoder(bytes.NewReader(data)).Decode(value)
}

// encodeRecord encodes a record: its kind, followed by the value in gob.
func encodeRecord(kind byte, value any) []byte {
	return append([]byte{kind}, encodeGob(value)...)
}

// encodeEntries encodes entries as lengths and bytes, because gob's type descriptions would be longer than most
// commands.
func encodeEntries(entries []chain.Entry) []byte {
	data := []byte{recordEntries}
	data = binary.AppendUvarint(data, uint64(len(entries)))
	for i := range entries {
		entry := &entries[i]
		data = binary.AppendUvarint(data, entry.Index)
		data = binary.AppendUvarint(data, entry.Epoch)
		data = binary.AppendUvarint(data, uint64(len(entry.ID)))
		data = append(data, entry.ID...)
		data = binary.AppendUvarint(data, uint64(len(entry.Order)))
		data = append(data, entry.Order...)
	}
	return data
}

// entryDecoder decodes the encoding of encodeEntries. After an error it returns zero values.
type entryDecoder struct {
	data []byte
	err  error
}

// uvarint reads an integer in variable-length encoding.
func (d *entryDecoder) uvarint() uint64 {
	value, width := binary.Uvarint(d.data)
	if width <= 0 {
		d.err = errCorruptRecord
		d.data = nil
		return 0
	}
	d.data = d.data[width:]
	return value
}

// bytes reads a length and that number of bytes. The result shares memory with data.
func (d *entryDecoder) bytes() []byte {
	length := d.uvarint()
	if length > uint64(len(d.data)) {
		d.err = errCorruptRecord
		return nil
	}
	value := d.data[:length:length]
	d.data = d.data[length:]
	return value
}

// decodeEntries decodes the encoding of encodeEntries, without the kind of record. The entries don't share memory
// with data.
func decodeEntries(data []byte) ([]chain.Entry, error) {
	decoder := entryDecoder{data: data}
	count := decoder.uvarint()
	var entries []chain.Entry
	for i := uint64(0); i < count && decoder.err == nil; i++ {
		entry := chain.Entry{Index: decoder.uvarint(), Epoch: decoder.uvarint()}
		entry.ID = string(decoder.bytes())
		entry.Order = append([]byte(nil), decoder.bytes()...)
		entries = append(entries, entry)
	}
	return entries, decoder.err
}

// recoveredState is the state that a member recovers from its disk at a start.
type recoveredState struct {
	self     view.Member
	durable  view.DurableState
	synced   uint64
	log      *chain.Log
	snapshot *chain.Snapshot // of the state machine; nil: the state machine is in its initial state
	repairs  []slots.Finding // torn tails that were truncated: left by a crash, or by damage that looks the same
}

// recoverState decodes the checkpoint of a disk and replays the records after it.
func recoverState(snapshot []byte, records [][]byte) (*recoveredState, error) {
	var saved checkpoint
	if err := decodeGob(snapshot, &saved); err != nil {
		return nil, fmt.Errorf("%w: snapshot: %w", errCorruptRecord, err)
	}
	state := &recoveredState{
		self:    saved.Self,
		durable: saved.Durable,
		synced:  saved.Synced,
		log:     chain.NewLog(saved.BaseIndex, saved.BaseEpoch, saved.Entries),
	}
	if saved.Image.Index > 0 {
		state.snapshot = &saved.Image
	}
	for _, record := range records {
		if err := state.replay(record); err != nil {
			return nil, err
		}
	}
	return state, nil
}

// replay applies a record to the state, as the core did when it queued the record.
func (s *recoveredState) replay(record []byte) error {
	if len(record) == 0 {
		return errCorruptRecord
	}
	switch record[0] {
	case recordView:
		var saved viewRecord
		if err := decodeGob(record[1:], &saved); err != nil {
			return fmt.Errorf("%w: %w", errCorruptRecord, err)
		}
		s.durable = view.DurableState{View: saved.View}
		s.synced = saved.Synced
	case recordAcceptor:
		var saved acceptorRecord
		if err := decodeGob(record[1:], &saved); err != nil {
			return fmt.Errorf("%w: %w", errCorruptRecord, err)
		}
		if saved.Epoch == s.durable.View.Epoch {
			s.durable.Promised = saved.Promised
			s.durable.AcceptedBallot = saved.AcceptedBallot
			s.durable.Accepted = saved.Accepted
		}
	case recordEntries:
		entries, err := decodeEntries(record[1:])
		if err != nil {
			return err
		}
		for _, entry := range entries {
			s.log.Append(entry)
		}
	case recordInstall:
		var saved installRecord
		if err := decodeGob(record[1:], &saved); err != nil {
			return fmt.Errorf("%w: %w", errCorruptRecord, err)
		}
		s.log.Truncate(saved.Common)
		for _, entry := range saved.Entries {
			s.log.Append(entry)
		}
		s.synced = saved.Synced
	case recordProbe:
	default:
		return errCorruptRecord
	}
	return nil
}

package replica

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"

	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/coord/slots"
	"sprucelane.example/sprucelane/coord/view"
)

// The kinds of records in the log of the disk.
const (
	recordView byte = iota + 1
	recordAcceptor
	recordEntries
	recordInstall
	recordProbe // says nothing: it tells whether the disk takes bytes
)

// viewRecord says that a decided view was adopted.
type viewRecord struct {
	View   view.View
	Synced uint64
}

// ballotsRecord says what was promised and accepted in the instance after Epoch.
type acceptorRecord struct {
	Epoch          uint64
	Promised       view.ProposalNumber
	AcceptedBallot view.ProposalNumber
	Accepted       *view.View
}

// installRecord replaces what follows Common by the prefix of the view's source.
type installRecord struct {
	Synced  uint64
	Common  uint64
	Entries []chain.Entry
}

// checkpoint is the whole durable state of a member.
type checkpoint struct {
	Self      view.Member
	Durable   view.DurableState
	Synced    uint64
	BaseIndex uint64
	BaseEpoch uint64
	Image     chain.Snapshot // at BaseIndex or later
	Entries   []chain.Entry
}

var errCorruptRecord = errors.New("replica: a record of the disk can't be read")

func encodeGob(value any) []byte {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(value); err != nil {
		panic("replica: encode: " + err.Error())
	}
	return buffer.Bytes()
}

func decodeGob(data []byte, value any) error {
	return gob.NewDecoder(bytes.NewReader(data)).Decode(value)
}

func encodeRecord(kind byte, value any) []byte {
	return append([]byte{kind}, encodeGob(value)...)
}

// encodeEntries writes entries without gob, whose type descriptions would weigh more than most orders.
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

// entryReader takes entries apart.
type entryDecoder struct {
	data []byte
	err  error
}

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

// recovered is what a member knows after a start.
type recoveredState struct {
	self    view.Member
	durable view.DurableState
	synced  uint64
	log     *chain.Log
	image   *chain.Snapshot
	repairs []slots.Finding // what a crash left, or damage that looks the same
}

// recoverState replays the records of a disk on its snapshot.
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
		state.image = &saved.Image
	}
	for _, record := range records {
		if err := state.replay(record); err != nil {
			return nil, err
		}
	}
	return state, nil
}

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

package job

import "encoding/binary"

// AppendString appends a string to out, preceded by its length as an unsigned varint.
func AppendString(out []byte, text string) []byte {
	out = binary.AppendUvarint(out, uint64(len(text)))
	return append(out, text...)
}

// Decoder reads values from the front of encoded bytes. The first value that can't be read sets Failed; from then
// on all values are zero, so that a caller may check Failed once, after the last value.
type Decoder struct {
	Remaining []byte // bytes that are left to read
	Failed    bool
}

// Uvarint reads an unsigned varint.
func (d *Decoder) Uvarint() uint64 {
	value, n := binary.Uvarint(d.Remaining)
	if n <= 0 || d.Failed {
		d.Failed = true
		return 0
	}
	d.Remaining = d.Remaining[n:]
	return value
}

// Varint reads a signed varint.
func (d *Decoder) Varint() int64 {
	value, n := binary.Varint(d.Remaining)
	if n <= 0 || d.Failed {
		d.Failed = true
		return 0
	}
	d.Remaining = d.Remaining[n:]
	return value
}

// Bytes reads bytes that are preceded by their length. It doesn't copy them: they alias Remaining, with no
// spare capacity.
func (d *Decoder) Bytes() []byte {
	length := d.Uvarint()
	if d.Failed || length > uint64(len(d.Remaining)) {
		d.Failed = true
		return nil
	}
	taken := d.Remaining[:length:length]
	d.Remaining = d.Remaining[length:]
	return taken
}

// Text reads a string that AppendString wrote.
func (d *Decoder) Text() string { return string(d.Bytes()) }

// Take reads a number of bytes that are not preceded by their length. It doesn't copy them.
func (d *Decoder) Take(count int) []byte {
	if d.Failed || count > len(d.Remaining) {
		d.Failed = true
		return nil
	}
	taken := d.Remaining[:count]
	d.Remaining = d.Remaining[count:]
	return taken
}

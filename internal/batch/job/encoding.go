package job

import (
	"encoding/binary"
	"errors"
)

// ErrCorrupt is given for bytes that are no encoded value.
var ErrCorrupt = errors.New("job: corrupt encoding")

// Encode gives the content's bytes: a head with all that is small, item by item its own bytes.
func (c *Content) Encode() []byte {
	size := 64 + len(c.ID) + len(c.Tenant) + len(c.Route)
	for i := range c.Items {
		size += c.Items[i].size()
	}
	out := make([]byte, 0, size)
	out = AppendText(out, c.ID)
	out = AppendText(out, c.Tenant)
	out = AppendText(out, c.Route)
	out = binary.AppendVarint(out, c.FirstSent)
	out = binary.AppendUvarint(out, uint64(len(c.Items)))
	for i := range c.Items {
		out = c.Items[i].append(out)
	}
	return out
}

func (i *Item) size() int {
	size := 32 + len(i.ID) + len(i.Path) + len(i.Body)
	for _, header := range i.Headers {
		size += 8 + len(header.Name) + len(header.Value)
	}
	return size
}

func (i *Item) append(out []byte) []byte {
	out = AppendText(out, i.ID)
	out = AppendText(out, i.Path)
	out = binary.AppendUvarint(out, uint64(i.Tokens))
	out = binary.AppendUvarint(out, uint64(len(i.Headers)))
	for _, header := range i.Headers {
		out = AppendText(out, header.Name)
		out = AppendText(out, header.Value)
	}
	out = binary.AppendUvarint(out, uint64(len(i.Body)))
	return append(out, i.Body...)
}

// Span is where an item's bytes stand within the encoded content.
type Span struct{ Offset, Length uint32 }

// Decode reads encoded content. Bodies point into the given bytes.
func Decode(encoded []byte) (*Content, []Span, error) {
	r := Reader{Rest: encoded}
	c := &Content{ID: r.Text(), Tenant: r.Text(), Route: r.Text(), FirstSent: r.Varint()}
	count := r.Uvarint()
	if r.Failed || count > MaxItems {
		return nil, nil, ErrCorrupt
	}
	c.Items = make([]Item, 0, count)
	spans := make([]Span, 0, count)
	for range count {
		start := len(encoded) - len(r.Rest)
		c.Items = append(c.Items, r.item())
		end := len(encoded) - len(r.Rest)
		spans = append(spans, Span{Offset: uint32(start), Length: uint32(end - start)})
	}
	if r.Failed {
		return nil, nil, ErrCorrupt
	}
	return c, spans, nil
}

// DecodeItem reads one item's span.
func DecodeItem(encoded []byte) (Item, error) {
	r := Reader{Rest: encoded}
	item := r.item()
	if r.Failed {
		return Item{}, ErrCorrupt
	}
	return item, nil
}

func (r *Reader) item() Item {
	item := Item{ID: r.Text(), Path: r.Text(), Tokens: int(r.Uvarint())}
	headers := r.Uvarint()
	for i := uint64(0); i < headers && !r.Failed; i++ {
		item.Headers = append(item.Headers, Header{Name: r.Text(), Value: r.Text()})
	}
	item.Body = r.Bytes()
	return item
}

// AppendText adds a string after its length.
func AppendText(out []byte, text string) []byte {
	out = binary.AppendUvarint(out, uint64(len(text)))
	return append(out, text...)
}

// Reader takes values off the front of encoded bytes. After a fault Failed is set and all values are zero.
type Reader struct {
	Rest   []byte
	Failed bool
}

// Uvarint takes an unsigned number.
func (r *Reader) Uvarint() uint64 {
	value, n := binary.Uvarint(r.Rest)
	if n <= 0 || r.Failed {
		r.Failed = true
		return 0
	}
	r.Rest = r.Rest[n:]
	return value
}

// Varint takes a signed number.
func (r *Reader) Varint() int64 {
	value, n := binary.Varint(r.Rest)
	if n <= 0 || r.Failed {
		r.Failed = true
		return 0
	}
	r.Rest = r.Rest[n:]
	return value
}

// Bytes takes bytes after their length, without copying them.
func (r *Reader) Bytes() []byte {
	length := r.Uvarint()
	if r.Failed || length > uint64(len(r.Rest)) {
		r.Failed = true
		return nil
	}
	taken := r.Rest[:length:length]
	r.Rest = r.Rest[length:]
	return taken
}

// Text takes a string.
func (r *Reader) Text() string { return string(r.Bytes()) }

// Take takes a number of bytes, without copying them.
func (r *Reader) Take(count int) []byte {
	if r.Failed || count > len(r.Rest) {
		r.Failed = true
		return nil
	}
	taken := r.Rest[:count]
	r.Rest = r.Rest[count:]
	return taken
}

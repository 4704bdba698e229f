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
		size += c.Items[i].encodedSize()
	}
	out := make([]byte, 0, size)
	out = AppendString(out, c.ID)
	out = AppendString(out, c.Tenant)
	out = AppendString(out, c.Route)
	out = binary.AppendVarint(out, c.FirstSent)
	out = binary.AppendUvarint(out, uint64(len(c.Items)))
	for i := range c.Items {
		out = c.Items[i].appendTo(out)
	}
	return out
}

func (i *Item) encodedSize() int {
	size := 32 + len(i.ID) + len(i.Path) + len(i.Body)
	for _, header := range i.Headers {
		size += 8 + len(header.Name) + len(header.Value)
	}
	return size
}

func (i *Item) appendTo(out []byte) []byte {
	out = AppendString(out, i.ID)
	out = AppendString(out, i.Path)
	out = binary.AppendUvarint(out, uint64(i.Tokens))
	out = binary.AppendUvarint(out, uint64(len(i.Headers)))
	for _, header := range i.Headers {
		out = AppendString(out, header.Name)
		out = AppendString(out, header.Value)
	}
	out = binary.AppendUvarint(out, uint64(len(i.Body)))
	return append(out, i.Body...)
}

// Span is where an item's bytes stand within the encoded content.
type Span struct{ Offset, Length uint32 }

// Decode reads encoded content. Bodies point into the given bytes.
func Decode(encoded []byte) (*Content, []Span, error) {
	r := Decoder{Remaining: encoded}
	c := &Content{ID: r.Text(), Tenant: r.Text(), Route: r.Text(), FirstSent: r.Varint()}
	count := r.Uvarint()
	if r.Failed || count > MaxItems {
		return nil, nil, ErrCorrupt
	}
	c.Items = make([]Item, 0, count)
	spans := make([]Span, 0, count)
	for range count {
		start := len(encoded) - len(r.Remaining)
		c.Items = append(c.Items, r.item())
		end := len(encoded) - len(r.Remaining)
		spans = append(spans, Span{Offset: uint32(start), Length: uint32(end - start)})
	}
	if r.Failed {
		return nil, nil, ErrCorrupt
	}
	return c, spans, nil
}

// DecodeItem reads one item's span.
func DecodeItem(encoded []byte) (Item, error) {
	r := Decoder{Remaining: encoded}
	item := r.item()
	if r.Failed {
		return Item{}, ErrCorrupt
	}
	return item, nil
}

func (r *Decoder) item() Item {
	item := Item{ID: r.Text(), Path: r.Text(), Tokens: int(r.Uvarint())}
	headers := r.Uvarint()
	for i := uint64(0); i < headers && !r.Failed; i++ {
		item.Headers = append(item.Headers, Header{Name: r.Text(), Value: r.Text()})
	}
	item.Body = r.Bytes()
	return item
}

// AppendText adds a string after its length.
func AppendString(out []byte, text string) []byte {
	out = binary.AppendUvarint(out, uint64(len(text)))
	return append(out, text...)
}

// Reader takes values off the front of encoded bytes. After a fault Failed is set and all values are zero.
type Decoder struct {
	Remaining []byte
	Failed    bool
}

// Uvarint takes an unsigned number.
func (r *Decoder) Uvarint() uint64 {
	value, n := binary.Uvarint(r.Remaining)
	if n <= 0 || r.Failed {
		r.Failed = true
		return 0
	}
	r.Remaining = r.Remaining[n:]
	return value
}

// Varint takes a signed number.
func (r *Decoder) Varint() int64 {
	value, n := binary.Varint(r.Remaining)
	if n <= 0 || r.Failed {
		r.Failed = true
		return 0
	}
	r.Remaining = r.Remaining[n:]
	return value
}

// Bytes takes bytes after their length, without copying them.
func (r *Decoder) Bytes() []byte {
	length := r.Uvarint()
	if r.Failed || length > uint64(len(r.Remaining)) {
		r.Failed = true
		return nil
	}
	taken := r.Remaining[:length:length]
	r.Remaining = r.Remaining[length:]
	return taken
}

// Text takes a string.
func (r *Decoder) Text() string { return string(r.Bytes()) }

// Take takes a number of bytes, without copying them.
func (r *Decoder) Take(count int) []byte {
	if r.Failed || count > len(r.Remaining) {
		r.Failed = true
		return nil
	}
	taken := r.Remaining[:count]
	r.Remaining = r.Remaining[count:]
	return taken
}

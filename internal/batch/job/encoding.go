package job

import (
	"encoding/binary"
	"errors"
)

// # Format
//
// Content is encoded as id, tenant, route (strings), FirstSent (varint), the number of items (uvarint) and
// the items. An item is encoded as id, path (strings), tokens (uvarint), the number of headers (uvarint), the name
// and value of each header (strings), and the body. Strings and the body are preceded by their length (uvarint).
// An item's bytes can be decoded alone, so that a store reads one item of a log record without the rest (see
// Span).
//
// The format must not change, because it is stored in logs and sent between stores. The golden test checks it.

// ErrCorrupt is returned for bytes that are not an encoded value.
var ErrCorrupt = errors.New("job: corrupt encoding")

// Encode returns the encoded content.
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

// encodedSize returns an estimate of the size of the encoded item in bytes, so that Encode allocates once.
func (i *Item) encodedSize() int {
	size := 32 + len(i.ID) + len(i.Path) + len(i.Body)
	for _, header := range i.Headers {
		size += 8 + len(header.Name) + len(header.Value)
	}
	return size
}

// appendTo appends the encoded item to out.
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

// Span is the range of an item's bytes within encoded content.
type Span struct{ Offset, Length uint32 }

// Decode decodes content. It also returns the span of each item. Bodies alias encoded. The error is ErrCorrupt.
func Decode(encoded []byte) (*Content, []Span, error) {
	d := Decoder{Remaining: encoded}
	c := &Content{ID: d.Text(), Tenant: d.Text(), Route: d.Text(), FirstSent: d.Varint()}
	count := d.Uvarint()
	if d.Failed || count > MaxItems {
		return nil, nil, ErrCorrupt
	}
	c.Items = make([]Item, 0, count)
	spans := make([]Span, 0, count)
	for range count {
		start := len(encoded) - len(d.Remaining)
		c.Items = append(c.Items, d.item())
		end := len(encoded) - len(d.Remaining)
		spans = append(spans, Span{Offset: uint32(start), Length: uint32(end - start)})
	}
	if d.Failed {
		return nil, nil, ErrCorrupt
	}
	return c, spans, nil
}

// DecodeItem decodes an item from the bytes of its span. The body aliases encoded. The error is ErrCorrupt.
func DecodeItem(encoded []byte) (Item, error) {
	d := Decoder{Remaining: encoded}
	item := d.item()
	if d.Failed {
		return Item{}, ErrCorrupt
	}
	return item, nil
}

// item reads an item that appendTo wrote. It sets d.Failed if it can't.
func (d *Decoder) item() Item {
	item := Item{ID: d.Text(), Path: d.Text(), Tokens: int(d.Uvarint())}
	headers := d.Uvarint()
	for i := uint64(0); i < headers && !d.Failed; i++ {
		item.Headers = append(item.Headers, Header{Name: d.Text(), Value: d.Text()})
	}
	item.Body = d.Bytes()
	return item
}

package transport

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"fmt"
	"io"
	"reflect"
)

const (
	// maxTypeName bounds the name of a type on the wire, in bytes.
	maxTypeName = 512
	// maxTypes bounds the number of types that one direction of a connection may use.
	maxTypes = 4096
)

// encoder encodes the messages of one direction of a connection. It keeps track of the types that the peer
// knows, so that names and gob descriptions of types are sent once.
type encoder struct {
	out         *buffer // receives the encoded messages; set by the caller before each message
	gob         *gob.Encoder
	typeNumbers map[reflect.Type]uint64 // of the types that the peer knows; from 1, in order of first use
	// resetPeer is true from a reset until the next encode: the next frame must tell the peer to discard all types.
	resetPeer bool
}

// newEncoder returns an encoder whose peer knows no types.
func newEncoder() *encoder {
	e := &encoder{}
	e.reset()
	return e
}

// Write appends to the buffer. It is the io.Writer of the gob encoder.
func (e *encoder) Write(data []byte) (int, error) {
	e.out.data = append(e.out.data, data...)
	return len(data), nil
}

// reset discards the types that the peer knows. The next frame must make the peer discard them as well.
func (e *encoder) reset() {
	e.gob = gob.NewEncoder(e)
	e.typeNumbers = make(map[reflect.Type]uint64)
	e.resetPeer = true
}

// encode appends a message to out. After an error, out may hold a part of the message, and reset must be called.
func (e *encoder) encode(message any) error {
	e.resetPeer = false
	if message == nil {
		e.out.data = append(e.out.data, 0)
		return nil
	}
	typ := reflect.TypeOf(message)
	if err := e.encodeType(typ); err != nil {
		return err
	}
	if isEmpty(typ) {
		return nil
	}
	return e.gob.Encode(message)
}

// encodeType appends the number of a type and, at its first use, its name.
func (e *encoder) encodeType(typ reflect.Type) error {
	if number, known := e.typeNumbers[typ]; known {
		e.out.data = binary.AppendUvarint(e.out.data, number)
		return nil
	}
	name, ok := registered.Load().names[typ]
	if !ok {
		return fmt.Errorf("type %s is not registered", typ)
	}
	if len(name) > maxTypeName || len(e.typeNumbers) >= maxTypes {
		return fmt.Errorf("type %s: name too long or too many types", typ)
	}
	number := uint64(len(e.typeNumbers) + 1)
	e.typeNumbers[typ] = number
	e.out.data = binary.AppendUvarint(e.out.data, number)
	e.out.data = binary.AppendUvarint(e.out.data, uint64(len(name)))
	e.out.data = append(e.out.data, name...)
	return nil
}

// decoder decodes the messages of one direction of a connection. It keeps track of the types that the peer has
// named.
type decoder struct {
	in    *bytes.Reader // payload being decoded
	gob   *gob.Decoder
	types []reflect.Type // the type with number n is at index n-1
}

// newDecoder returns a decoder that knows no types yet.
func newDecoder() *decoder {
	d := &decoder{in: bytes.NewReader(nil)}
	d.reset()
	return d
}

// reset discards all types that the peer has named.
func (d *decoder) reset() {
	d.gob = gob.NewDecoder(d.in)
	d.types = d.types[:0]
}

// decode returns the message in a payload. It doesn't retain payload.
func (d *decoder) decode(payload []byte) (any, error) {
	d.in.Reset(payload)
	typ, err := d.decodeType()
	if err != nil {
		return nil, err
	}
	if typ == nil {
		return nil, d.expectEnd()
	}
	value := reflect.New(typ)
	if !isEmpty(typ) {
		if err := d.gob.DecodeValue(value); err != nil {
			return nil, err
		}
	}
	if err := d.expectEnd(); err != nil {
		return nil, err
	}
	return value.Elem().Interface(), nil
}

// expectEnd returns an error if bytes follow the value.
func (d *decoder) expectEnd() error {
	if d.in.Len() != 0 {
		return fmt.Errorf("%d unexpected bytes after the value", d.in.Len())
	}
	return nil
}

// decodeType reads the number of a type and, at its first use, its name. It returns nil for the message nil.
func (d *decoder) decodeType() (reflect.Type, error) {
	number, err := binary.ReadUvarint(d.in)
	if err != nil {
		return nil, err
	}
	if number == 0 {
		return nil, nil
	}
	if number <= uint64(len(d.types)) {
		return d.types[number-1], nil
	}
	if number != uint64(len(d.types))+1 || number > maxTypes {
		return nil, fmt.Errorf("type number %d out of order or too high", number)
	}
	name, err := d.decodeName()
	if err != nil {
		return nil, err
	}
	typ, ok := registered.Load().types[name]
	if !ok {
		return nil, fmt.Errorf("type %q is not registered", name)
	}
	d.types = append(d.types, typ)
	return typ, nil
}

// decodeName reads the name of a type.
func (d *decoder) decodeName() (string, error) {
	length, err := binary.ReadUvarint(d.in)
	if err != nil {
		return "", err
	}
	if length > maxTypeName {
		return "", fmt.Errorf("type name of %d bytes is too long", length)
	}
	name := make([]byte, length)
	if _, err := io.ReadFull(d.in, name); err != nil {
		return "", err
	}
	return string(name), nil
}

package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"
)

const settingsJSON = `{"group_size":1,"services":[{"objective":500000000,"give_up":2000000000,"effect":"free","worth":1}],
	"tiers_of_service":[{"rate":10,"depth":10,"price":1}],"tick":1000000,"allowed":{"max_attempts":2}}`

func batch(records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	out := binary.BigEndian.AppendUint32(nil, uint32(len(records)))
	out = binary.BigEndian.AppendUint32(out, uint32(len(body)+8))
	return append(binary.BigEndian.AppendUint64(out, 1e9), body...)
}

func gatewayStarted(text string) []byte {
	out := append([]byte{10, 0, 1}, make([]byte, 8)...)
	return append(binary.BigEndian.AppendUint32(out, uint32(len(text))), text...)
}

func requestReceived(id byte) []byte {
	out := append([]byte{30, 0, 1}, make([]byte, 42)...)
	out[10] = id
	binary.BigEndian.PutUint64(out[25:], 2e9)
	copy(out[33:], []byte{0x3f, 0x80, 0, 0, 0x3f, 0x80, 0, 0})
	return append(out, 0)
}

func TestReplies(t *testing.T) {
	list := append([]byte{120, 0, 0, 0, 0, 0, 0, 0, 1}, make([]byte, 23)...)
	sync := append([]byte{20, 0, 1, 2}, make([]byte, 12)...)
	var in, out bytes.Buffer
	in.Write(batch())
	in.Write(batch(gatewayStarted(settingsJSON), list, sync, requestReceived(5)))
	if err := run(&in, &out); err != nil {
		t.Fatal(err)
	}
	replies := 0
	var last []byte
	for b := out.Bytes(); len(b) > 0; replies++ {
		n := binary.BigEndian.Uint32(b)
		last, b = b[4:4+n], b[4+n:]
	}
	send := []byte{10, 0, 1, 0, 0, 0, 0, 0, 0, 0, 5}
	if replies != 2 || !bytes.Contains(last, send) {
		t.Fatalf("%d replies, %x", replies, last)
	}
}

func TestMalformedInput(t *testing.T) {
	for name, in := range map[string][]byte{
		"cut off":          batch(gatewayStarted(settingsJSON))[:30],
		"unknown instance": batch(requestReceived(1)),
		"unknown list":     batch(gatewayStarted(settingsJSON), append([]byte{20, 0, 1, 2}, make([]byte, 12)...)),
		"list number":      batch([]byte{120, 0, 0, 0, 99, 0, 0, 0, 0}),
		"settings":         batch(gatewayStarted(`{"services":[]}`)),
		"list kind":        batch(gatewayStarted(settingsJSON), append([]byte{20, 0, 1, 9}, make([]byte, 12)...)),
	} {
		var out bytes.Buffer
		err := run(bytes.NewReader(in), &out)
		if err == nil || out.Len() > 0 || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, %d bytes written", name, err, out.Len())
		}
	}
}

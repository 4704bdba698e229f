package wire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"sprucelane.example/sprucelane/policy"
)

func raw(t testing.TB, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func frame(count int, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	out := binary.BigEndian.AppendUint32(nil, uint32(count))
	out = binary.BigEndian.AppendUint32(out, uint32(len(body)+8))
	out = binary.BigEndian.AppendUint64(out, 5e9)
	return append(out, body...)
}

func one(t *testing.T, text string) Event {
	t.Helper()
	b, err := ReadBatch(bytes.NewReader(frame(1, raw(t, text))))
	if err != nil {
		t.Fatal(err)
	}
	if b.Now != 5*time.Second || len(b.Events) != 1 {
		t.Fatalf("%+v", b)
	}
	return b.Events[0]
}

func TestRequestRecord(t *testing.T) {
	e := one(t, "1e 0007 000000000000002a 0001 00000002 0000000000000009 00000000b2d05e00 40400000 40000000 3f800000 06")
	want := policy.Request{ID: 42, Class: 1, Plan: 2, Customer: 9, Deadline: 3 * time.Second, Units: 3, SetSize: 2,
		FirstGateway: 1, ClientRetry: true}
	if e.Instance != 7 || e.Request != want {
		t.Fatalf("%+v", e)
	}
}

func TestOutcomeRecord(t *testing.T) {
	e := one(t, "32 0007 000000000000002a 00000000000f4240 0056 0a000001 1f40 01 02 06 0003 02 3f000000 40000000")
	o := e.Outcome
	if o.ID != 42 || o.Elapsed != time.Millisecond || o.Server != 0x0a0000011f40 || !o.Answered || o.Attempt != 2 ||
		o.Ending != policy.ConnectionLost || o.Units != 3 || len(o.LoadReport) != 2 || o.LoadReport[0] != 0.5 {
		t.Fatalf("%+v", o)
	}
}

func TestListRecord(t *testing.T) {
	e := one(t, "78 00000003 00000001 0a000001 1f40 01 02 0004 02 3fc00000 000000003b9aca00")
	want := policy.ServerInfo{ID: 0x0a0000011f40, Zone: 1, Kind: 2, Cell: 4, State: policy.Draining, Weight: 1.5,
		StartedAt: time.Second}
	if e.ListNumber != 3 || len(e.Entries) != 1 || e.Entries[0] != want {
		t.Fatalf("%+v", e)
	}
}

func TestOtherRecords(t *testing.T) {
	for text, ok := range map[string]func(Event) bool{
		"0a 0001 0000000000000005 00000002 7b7d":                     func(e Event) bool { return e.Seed == 5 && string(e.Settings) == "{}" },
		"14 0001 02 0000000000000009 00000004":                       func(e Event) bool { return e.ListKind == 2 && e.ListNumber == 4 },
		"5a 0001 0002 0003 616263":                                   func(e Event) bool { return e.From == 2 && string(e.Message) == "abc" },
		"46 0001 0000000000000009":                                   func(e Event) bool { return e.Tag == 9 },
		"3c 0001 0000000000000009":                                   func(e Event) bool { return e.Tag == 9 },
		"64 0001":                                                    func(e Event) bool { return e.Instance == 1 },
		"28 0001 0000000000000009 01 0a000001 1f40 00000000000f4240": func(e Event) bool { return e.Outcome.ID == 9 },
		"50 0001 01 00000000000f4240 0a000001 1f40 00":               func(e Event) bool { return e.Outcome.Ending == policy.Served },
		"6e 0001 0000000000000009 00000000000f4240 01 3f800000":      func(e Event) bool { return true },
	} {
		if e := one(t, text); !ok(e) {
			t.Errorf("%s: %+v", text, e)
		}
	}
}

func TestActionsLayout(t *testing.T) {
	var a Actions
	h := Host{&a, 3}
	h.Send(0x21, 0x0a0000011f40, 7)
	h.Refuse(0x21, 8)
	h.Fail(0x21)
	h.Cancel(0x21, 2)
	h.Timer(9, time.Second)
	h.SendToPeer(-1, []byte("hi"))
	h.Log("x")
	h.Watch()
	want := raw(t, `0a 0003 0000000000000021 0a000001 1f40 0000000000000007
		14 0003 0000000000000021 0000000000000008  1e 0003 0000000000000021  28 0003 0000000000000021 02
		32 0003 0000000000000009 000000003b9aca00  50 0003 ffffffff 0002 6869  5a 0003 0001 78  6e 0003 01`)
	got := a.Frame()
	if int(binary.BigEndian.Uint32(got)) != len(want) || !bytes.Equal(got[4:], want) {
		t.Fatalf("%x\n%x", got, want)
	}
	if again := a.Frame(); !bytes.Equal(again, []byte{0, 0, 0, 0}) {
		t.Fatalf("a second frame holds %x", again)
	}
}

func TestBadFrames(t *testing.T) {
	long := frame(1, raw(t, "64 0001"))
	binary.BigEndian.PutUint32(long[4:], 0xffffffff)
	for name, in := range map[string][]byte{
		"half a header":  frame(1, raw(t, "64 0001"))[:5],
		"half a body":    frame(1, raw(t, "64 0001"))[:17],
		"unknown code":   frame(1, raw(t, "63 0001")),
		"huge length":    long,
		"short length":   raw(t, "00000000 00000004 00000000"),
		"record cut off": frame(1, raw(t, "46 0001 00")),
		"huge list":      frame(1, raw(t, "78 00000000 ffffffff")),
		"huge text":      frame(1, raw(t, "0a 0001 0000000000000005 ffffffff 7b7d")),
		"bytes left":     frame(1, raw(t, "64 0001 00")),
		"too many":       frame(9, raw(t, "64 0001")),
	} {
		if b, err := ReadBatch(bytes.NewReader(in)); err == nil || errors.Is(err, io.EOF) {
			t.Errorf("%s: %v %v", name, b, err)
		}
	}
	if _, err := ReadBatch(bytes.NewReader(nil)); !errors.Is(err, io.EOF) {
		t.Errorf("end of input: %v", err)
	}
}

func FuzzReadBatch(f *testing.F) {
	f.Add(frame(1, raw(f, "64 0001")))
	f.Add(frame(1, raw(f, "78 00000003 00000001 0a000001 1f40 01 02 0004 02 3fc00000 000000003b9aca00")))
	f.Add(frame(1, raw(f, "32 0007 000000000000002a 00000000000f4240 0056 0a000001 1f40 01 02 06 0003 01 3f000000")))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := ReadBatch(bytes.NewReader(data))
		if err == nil && len(b.Events) > len(data) {
			t.Fatalf("%d events from %d bytes", len(b.Events), len(data))
		}
	})
}

package transport

import (
	"bytes"
	"encoding/gob"
	"io"
	"reflect"
	"testing"
	"time"

	"sprucelane.example/sprucelane/internal/golden"
)

// init makes RemoteError the first type that gob meets in this process. gob numbers types in the order of
// their first use, so the number in the recorded frame would otherwise depend on which tests ran before
// TestGolden.
func init() {
	if err := gob.NewEncoder(io.Discard).Encode(RemoteError{}); err != nil {
		panic(err)
	}
}

// TestGolden compares hellos and frames byte by byte with recorded ones of an earlier version, and reads the
// recorded ones.
func TestGolden(t *testing.T) {
	var identity Identity
	golden.Fill(&identity)
	var greeting bytes.Buffer
	first := hello{status: helloAccepted, heartbeat: 1500 * time.Millisecond, identity: identity}
	if err := first.write(&greeting); err != nil {
		t.Fatal(err)
	}
	read, err := readHello(bytes.NewReader(golden.Bytes(t, "hello", greeting.Bytes())))
	if err != nil || read != first {
		t.Errorf("the recorded hello is read as %+v, %v; want %+v", read, err, first)
	}
	golden.Message(t, "remote-error", RemoteError{})
	golden.Bytes(t, "numbers", []byte{
		byte(helloAccepted), byte(helloOtherSystem), byte(helloRejected),
		byte(frameRequest), byte(frameReply), byte(frameFailure), byte(frameOneWay), byte(framePing), frameResetBit,
	})

	out := getBuffer()
	defer out.release()
	appendHeader(out, frameRequest, true, 0x01020304)
	encoder := newEncoder()
	encoder.out = out
	if err := encoder.encode(RemoteError{Text: "broken"}); err != nil {
		t.Fatal(err)
	}
	setLength(out.data)
	reader := frameReader{in: bytes.NewReader(golden.Bytes(t, "frame", out.data)), limit: 1 << 10}
	received, err := reader.next()
	if err != nil {
		t.Fatal(err)
	}
	message, err := newDecoder().decode(received.payload.data)
	if err != nil || message != (RemoteError{Text: "broken"}) {
		t.Errorf("the recorded frame holds %+v, %v", message, err)
	}
}

// TestRegisterNamed checks that a message is sent under its registered name, also as the value of an interface
// field.
func TestRegisterNamed(t *testing.T) {
	type renamed struct{ Number int }
	RegisterNamed(NamedType{Name: "earlier/package.Name", Sample: renamed{}})
	if name := registered.Load().names[reflect.TypeFor[renamed]()]; name != "earlier/package.Name" {
		t.Errorf("the name on the wire is %q", name)
	}
	var out bytes.Buffer
	var message any = renamed{Number: 1}
	if err := gob.NewEncoder(&out).Encode(&message); err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(out.Bytes(), []byte("earlier/package.Name")) {
		t.Error("a value in an interface field isn't sent under its registered name")
	}
}

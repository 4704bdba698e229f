package transport

import (
	"bytes"
	"testing"
	"time"

	"sprucelane.example/sprucelane/internal/golden"
)

// TestGolden holds what connections begin with, and the frames of messages, to the form that earlier versions send.
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
		byte(helloAccepted), byte(helloOtherSystem), byte(helloRefused),
		byte(frameRequest), byte(frameReply), byte(frameFailure), byte(frameOneWay), byte(framePing), frameReset,
	})

	out := takeBuffer()
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

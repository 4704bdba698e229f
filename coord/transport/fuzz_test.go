package transport

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"runtime"
	"testing"
)

// randomCases is the number of random inputs that a normal test run tries.
const randomCases = 20_000

// fuzzLimit is the largest frame in bytes that the fuzz targets accept.
const fuzzLimit = 1 << 16

// validStream returns the bytes of several valid frames.
func validStream(t testing.TB) []byte {
	t.Helper()
	e := newEncoder()
	e.out = &buffer{}
	messages := []any{
		echoRequest{Number: 1, Text: "first", Data: []byte{1, 2, 3}},
		nil,
		nothing{},
		42,
		echoRequest{Number: 2, Text: "second"},
		RemoteError{Code: "code", Text: "text"},
	}
	for i, message := range messages {
		start := len(e.out.data)
		appendHeader(e.out, frameRequest, e.resetPeer, uint32(i))
		if err := e.encode(message); err != nil {
			t.Fatal(err)
		}
		setLength(e.out.data[start:])
	}
	appendHeader(e.out, framePing, false, 0)
	return e.out.data
}

// readStream reads frames until the first error. It returns the number of messages and the error.
func readStream(stream []byte) (int, error) {
	reader := frameReader{in: bytes.NewReader(stream), limit: fuzzLimit}
	decoder := newDecoder()
	for count := 0; ; count++ {
		received, err := reader.next()
		if err != nil {
			return count, err
		}
		if received.kind == framePing {
			continue
		}
		if received.reset {
			decoder.reset()
		}
		_, err = decoder.decode(received.payload.bytes())
		received.payload.release()
		if err != nil {
			return count, err
		}
	}
}

// mutate changes a few bytes of an input, truncates it, or repeats a part of it.
func mutate(random *rand.Rand, input []byte) []byte {
	output := bytes.Clone(input)
	for range 1 + random.IntN(4) {
		if len(output) == 0 {
			return output
		}
		place := random.IntN(len(output))
		switch random.IntN(5) {
		case 0:
			output[place] = byte(random.Uint32())
		case 1:
			output[place] ^= 1 << random.IntN(8)
		case 2:
			output = output[:place]
		case 3:
			end := place + random.IntN(len(output)-place)
			output = append(output[:end:end], output[place:]...)
		case 4:
			output[place] = []byte{0, 1, 0x7f, 0x80, 0xff}[random.IntN(5)]
		}
	}
	return output
}

// checkStream fails if reading a stream panics or allocates far more memory than the stream needs.
func checkStream(t testing.TB, stream []byte) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := readStream(stream)
	runtime.ReadMemStats(&after)
	if err == nil {
		t.Fatal("a stream without an end")
	}
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > 64<<20 {
		t.Fatalf("%d bytes allocated for a stream of %d: %x", allocated, len(stream), stream)
	}
}

func FuzzFrames(f *testing.F) {
	f.Add(validStream(f))
	f.Add([]byte{0, 0, 0, 1, 1, 0, 0, 0, 1, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1, 0, 0, 0, 1})
	f.Fuzz(func(t *testing.T, stream []byte) { checkStream(t, stream) })
}

func FuzzHello(f *testing.F) {
	var valid bytes.Buffer
	if err := (hello{identity: testOptions("node").Identity}).write(&valid); err != nil {
		f.Fatal(err)
	}
	f.Add(valid.Bytes())
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	// A heartbeat over maxHeartbeat, which write would shorten.
	f.Add(append([]byte("SPL\x01\x00\x11\x00\x80\x00\x00\x00"), make([]byte, 12)...))
	f.Fuzz(checkHello)
}

// checkHello fails if an accepted hello isn't the same after it is written and read again.
func checkHello(t *testing.T, stream []byte) {
	parsed, err := readHello(bytes.NewReader(stream))
	if err != nil {
		return
	}
	var again bytes.Buffer
	if err := parsed.write(&again); err != nil {
		t.Fatal(err)
	}
	read, err := readHello(&again)
	if err != nil || read != parsed {
		t.Fatalf("%+v is read as %+v (%v) after it is written again", parsed, read, err)
	}
}

// TestRandomFrames reads streams that were changed at random, with the same changes in each run.
func TestRandomFrames(t *testing.T) {
	valid := validStream(t)
	count, err := readStream(valid)
	if count != 7 || !errors.Is(err, io.EOF) {
		t.Fatalf("unchanged stream: %d messages, %v", count, err)
	}
	random := rand.New(rand.NewPCG(1, 2))
	for i := range randomCases {
		stream := mutate(random, valid)
		if i%100 == 0 {
			checkStream(t, stream)
			continue
		}
		if _, err := readStream(stream); err == nil {
			t.Fatal("a stream without an end")
		}
	}
}

// TestRandomHellos reads hellos that were changed at random, with the same changes in each run.
func TestRandomHellos(t *testing.T) {
	var valid bytes.Buffer
	if err := (hello{identity: testOptions("node").Identity}).write(&valid); err != nil {
		t.Fatal(err)
	}
	random := rand.New(rand.NewPCG(1, 2))
	for range randomCases {
		checkHello(t, mutate(random, valid.Bytes()))
	}
}

// TestClaimedLengthAllocatesNothing sends the header of a frame of the largest size without its payload. The
// claimed length must not make the reader allocate that memory.
func TestClaimedLengthAllocatesNothing(t *testing.T) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	header := []byte{0, 0x80, 0, 0, 1, 0, 0, 0, 1}
	reader := frameReader{in: bytes.NewReader(header), limit: DefaultMaxFrame}
	if _, err := reader.next(); !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	runtime.ReadMemStats(&after)
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > 2*readChunk {
		t.Fatalf("%d bytes allocated for a frame without payload", allocated)
	}
}

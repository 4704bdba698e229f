package datagram

import (
	"fmt"
	"math/rand/v2"
	"net"
	"reflect"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/coord/membership"
)

const patience = 20 * time.Second

// eventually polls a condition until it holds, and reports whether it did in time.
func eventually(condition func() bool) bool {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// freeAddresses returns addresses of the loopback interface that nobody listens on.
func freeAddresses(t testing.TB, count int) []string {
	t.Helper()
	var addresses []string
	for range count {
		socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		defer socket.Close()
		addresses = append(addresses, socket.LocalAddr().String())
	}
	return addresses
}

// startRunner starts a machine.
func startRunner(t testing.TB, number int, addresses []string, incarnation uint64) *Runner {
	t.Helper()
	r, err := Start(Options{
		System: "test",
		Config: membership.Config{
			Self: membership.Member{
				Name: fmt.Sprint("m", number), Address: addresses[number], Role: "gateway", Zone: "z",
			},
			Incarnation: incarnation,
			Seeds:       addresses[:2],
			Interval:    60 * time.Millisecond,
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// allSee reports whether every runner knows exactly count machines as alive.
func allSee(runners []*Runner, count int) bool {
	for _, r := range runners {
		alive := 0
		for _, member := range r.Members().List() {
			if member.State == membership.Alive {
				alive++
			}
		}
		if alive != count {
			return false
		}
	}
	return true
}

func TestRunners(t *testing.T) {
	Convey("Given eight machines on loopback that know two seeds", t, func() {
		const count = 8
		addresses := freeAddresses(t, count)
		var runners []*Runner
		for number := range count {
			runners = append(runners, startRunner(t, number, addresses, 1))
		}
		So(eventually(func() bool { return allSee(runners, count) }), ShouldBeTrue)
		known, ok := runners[7].Members().Get("m3")
		So(ok, ShouldBeTrue)
		want := membership.Member{Name: "m3", Address: addresses[3], Role: "gateway", Zone: "z"}
		So(known.Member, ShouldResemble, want)

		Convey("a failure, a planned leave and a return become known to all", func() {
			runners[4].Close()
			rest := append(append([]*Runner{}, runners[:4]...), runners[5:]...)
			So(eventually(func() bool { return allSee(rest, count-1) }), ShouldBeTrue)
			runners[7].Leave()
			rest = rest[:len(rest)-1]
			So(eventually(func() bool { return allSee(rest, count-2) }), ShouldBeTrue)
			rest = append(rest, startRunner(t, 4, addresses, 2))
			So(eventually(func() bool { return allSee(rest, count-1) }), ShouldBeTrue)
			So(rest[0].Isolated(), ShouldBeFalse)
		})
	})

	Convey("Datagrams of another system, and garbage, are dropped", t, func() {
		var mutex sync.Mutex
		dropped := 0
		addresses := freeAddresses(t, 1)
		r, err := Start(Options{
			System: "test",
			Config: membership.Config{Self: membership.Member{Name: "m", Address: addresses[0]}, Incarnation: 1},
			Log: func(string, error, string) {
				mutex.Lock()
				defer mutex.Unlock()
				dropped++
			},
		})
		So(err, ShouldBeNil)
		defer r.Close()
		socket, err := net.Dial("udp", addresses[0])
		So(err, ShouldBeNil)
		defer socket.Close()
		stranger := membership.Update{Member: membership.Member{Name: "x"}, Incarnation: 1, State: membership.Alive}
		join := membership.Message{Kind: membership.Join, From: "x", Updates: []membership.Update{stranger}}
		_, _ = socket.Write(encode(1, join)[0])
		_, _ = socket.Write([]byte("garbage"))
		So(eventually(func() bool { mutex.Lock(); defer mutex.Unlock(); return dropped == 2 }), ShouldBeTrue)
		So(len(r.Members().List()), ShouldEqual, 1)
	})
}

// testMessage returns a message with all fields set and some updates.
func testMessage(updates int) membership.Message {
	message := membership.Message{
		Kind: membership.Sync, From: "front-huron-1", Incarnation: 1 << 50, Sequence: 12345, Target: "front-erie-2",
		LastContactMillis: -1, Digest: 1 << 63, Digests: []uint64{1, 2, 3},
	}
	for i := range updates {
		message.Updates = append(message.Updates, membership.Update{
			Member: membership.Member{
				Name: fmt.Sprint("front-huron-", i), Address: "10.1.0.14:7360", Role: "gateway", Zone: "huron",
			},
			Incarnation: 1<<50 + uint64(i),
			State:       membership.Suspect,
		})
	}
	return message
}

func TestCodec(t *testing.T) {
	Convey("Messages decode unchanged, from datagrams of a bounded size", t, func() {
		for _, count := range []int{0, 1, 64, 300} {
			message := testMessage(count)
			var updates []membership.Update
			for i, data := range encode(7, message) {
				So(len(data), ShouldBeLessThanOrEqualTo, maxDatagramSize)
				part, err := decode(7, data)
				So(err, ShouldBeNil)
				updates = append(updates, part.Updates...)
				if i == 0 {
					part.Updates = message.Updates
					So(reflect.DeepEqual(part, message), ShouldBeTrue)
				}
			}
			So(reflect.DeepEqual(updates, message.Updates), ShouldBeTrue)
		}
	})

	Convey("Every truncated datagram is rejected, and random changes don't break decoding", t, func() {
		valid := encode(7, testMessage(5))[0]
		for cut := range valid {
			if _, err := decode(7, valid[:cut]); err == nil {
				t.Fatalf("decode accepts a datagram truncated to %d bytes; want an error", cut)
			}
		}
		random := rand.New(rand.NewPCG(1, 2))
		for range 50_000 {
			checkDecode(t, mutate(random, valid))
		}
	})

	Convey("A heartbeat is small", t, func() {
		heartbeat := membership.Message{Kind: membership.Heartbeat, From: "front-huron-1", Incarnation: 1 << 50}
		So(len(encode(7, heartbeat)[0]), ShouldBeLessThan, 64)
	})
}

// mutate changes a few bytes of a datagram.
func mutate(random *rand.Rand, input []byte) []byte {
	output := append([]byte(nil), input...)
	for range 1 + random.IntN(4) {
		output[headerSize+random.IntN(len(output)-headerSize)] = byte(random.Uint32())
	}
	return output
}

// checkDecode fails if a datagram that decode accepts doesn't decode to the same message after encoding it again.
func checkDecode(t testing.TB, data []byte) {
	message, err := decode(7, data)
	if err != nil {
		return
	}
	again, err := decode(7, encode(7, message)[0])
	if err != nil || len(message.Updates) == len(again.Updates) && !reflect.DeepEqual(again, message) {
		t.Fatalf("%+v decodes to %+v (%v) after encoding it again", message, again, err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(encode(7, testMessage(5))[0])
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, data []byte) { checkDecode(t, data) })
}

func BenchmarkHeartbeat(b *testing.B) {
	heartbeat := membership.Message{Kind: membership.Heartbeat, From: "front-huron-1", Incarnation: 1 << 50}
	b.ReportAllocs()
	for b.Loop() {
		data := encode(7, heartbeat)
		if _, err := decode(7, data[0]); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(encode(7, heartbeat)[0])), "bytes/message")
}

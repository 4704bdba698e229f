package serverload

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/protocol"
)

var start = time.Unix(1000, 0)

func TestParse(t *testing.T) {
	Convey("Three numbers are parsed as a load, and anything else is rejected", t, func() {
		load, ok := Parse("3, 1,12")
		So(ok, ShouldBeTrue)
		So(load, ShouldResemble, Load{Running: 3, Waiting: 1, Slots: 12})
		for _, text := range []string{"", "3", "3,1", "3,1,0", "3,1,12,4", "-1,0,12", "a,b,c", "1.5,0,12", "3,1,99999999999999999999", ",,"} {
			_, ok := Parse(text)
			So(ok, ShouldBeFalse)
		}
	})
}

func TestTable(t *testing.T) {
	Convey("The newest load is valid for loadTTL, and a header that can't be parsed is dropped and counted", t, func() {
		table := NewTable()
		table.Observe(start, 7, "3,0,12")
		table.Observe(start.Add(time.Millisecond), 7, "noise")
		table.Observe(start, 7, "")
		load, at, known := table.Lookup(start.Add(loadTTL), 7)
		So(known, ShouldBeTrue)
		So(load.Running, ShouldEqual, 3)
		So(at, ShouldEqual, start)
		So(table.Invalid(), ShouldEqual, 1)
		_, _, known = table.Lookup(start.Add(loadTTL+time.Millisecond), 7)
		So(known, ShouldBeFalse)
		table.update(7, loadEntry{load: Load{Running: 9, Slots: 12}, reportedAt: start.Add(-time.Second)})
		load, _, _ = table.Lookup(start, 7)
		So(load.Running, ShouldEqual, 3)
	})
	Convey("Expired loads are dropped", t, func() {
		table := NewTable()
		for i := range 100 {
			table.Observe(start.Add(time.Duration(i)*100*time.Millisecond), uint64(i), "1,0,12")
		}
		So(len(table.entries), ShouldBeLessThan, 40)
	})
}

func TestResults(t *testing.T) {
	Convey("A server counts as failing by the zone's counts, until these have decayed", t, func() {
		aggregator, other := NewTable(), NewTable()
		for _, table := range []*Table{aggregator, other} {
			table.Observe(start, 1, "0,0,12")
		}
		other.RecordResult(start, 7, true)
		So(other.Failing(start, 7), ShouldBeFalse)
		unsent := mergeResults(nil, other.drainUnsent())
		aggregator.receiveReports(start, encode(nil, kindObserved, unsent))
		aggregator.receiveReports(start, encode(nil, kindObserved, unsent))
		aggregator.RecordResult(start, 8, false)
		So(aggregator.Failing(start, 7), ShouldBeTrue)
		So(aggregator.Failing(start, 8), ShouldBeFalse)
		other.receiveReports(start, encode(nil, kindZone, mergeResults(nil, aggregator.decayedSums(start))))
		So(other.Failing(start, 7), ShouldBeTrue)
		later := start.Add(2 * resultsDecay)
		So(aggregator.Failing(later, 7), ShouldBeFalse)
		So(other.Failing(later, 7), ShouldBeFalse)
	})
	Convey("A server with few failures among many requests doesn't count as failing, nor does one if no loads are reported", t, func() {
		table := NewTable()
		table.RecordResult(start, 7, true)
		table.RecordResult(start, 7, true)
		So(table.Failing(start, 7), ShouldBeFalse)
		table.Observe(start, 7, "0,0,12")
		for i := range 40 {
			table.RecordResult(start, 7, i%8 == 0)
		}
		So(table.Failing(start, 7), ShouldBeFalse)
	})
}

func TestDatagram(t *testing.T) {
	Convey("A decoded datagram has the reports that were encoded, at most maxReports", t, func() {
		var reports []Report
		for i := range 2 * maxReports {
			reports = append(reports, Report{Server: uint64(i), Load: Load{Running: i, Waiting: 1, Slots: 12}, Age: 40 * time.Millisecond,
				Results: Results{Served: 3, Failed: 1}})
		}
		datagram := encode(nil, kindZone, reports)
		So(len(datagram), ShouldEqual, maxReportDatagramBytes)
		k, read, ok := decode(datagram)
		So(ok, ShouldBeTrue)
		So(k, ShouldEqual, kindZone)
		So(read, ShouldResemble, reports[:maxReports])
	})
	Convey("A datagram of another form is dropped as a whole", t, func() {
		good := encode(nil, kindObserved, []Report{{Server: 1, Load: Load{Slots: 12}}})
		for _, bad := range [][]byte{nil, good[:3], good[:len(good)-1], append(append([]byte{}, good...), 0), []byte("SPL1\x09\x00"), []byte("XXXX\x01\x00")} {
			_, _, ok := decode(bad)
			So(ok, ShouldBeFalse)
		}
	})
}

func FuzzDatagram(f *testing.F) {
	f.Add(encode(nil, kindZone, []Report{{Server: 1, Load: Load{Running: 1, Slots: 12}}}))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		table := NewTable()
		table.receiveReports(start, datagram)
		if k, reports, ok := decode(datagram); ok {
			again, read, ok := decode(encode(nil, k, reports))
			if !ok || again != k || len(read) != len(reports) {
				t.Fatal("a decoded datagram, encoded and decoded again, differs in kind or number of reports")
			}
		}
	})
}

func TestPrefills(t *testing.T) {
	Convey("Prompts of other processes keep a server busy until it has read them, for a bounded time", t, func() {
		table := NewTable()
		table.AddPrefill(start, 7, 20_000)
		table.AddPrefill(start, 7, 20_000)
		So(table.PrefillTime(start, 7), ShouldEqual, 400*time.Millisecond)
		So(table.PrefillTime(start.Add(time.Second), 7), ShouldEqual, 0)
		for range 100 {
			table.AddPrefill(start, 7, 1<<20)
		}
		So(table.PrefillTime(start, 7), ShouldEqual, maxPrefillTime)
		for i := range 10_000 {
			table.AddPrefill(start.Add(time.Duration(i)*time.Millisecond), uint64(i), MinAnnouncedTokens)
		}
		So(len(table.prefillUntil), ShouldBeLessThan, 3000)
	})
	Convey("A decoded datagram has the prompts that were encoded, and datagrams of another form are dropped", t, func() {
		sent := []pendingPrompt{{server: 7, tokens: 16_000, sender: 9}, {server: 8, tokens: 32, sender: 1}}
		datagram := encodePrefills(nil, kindPrefillRelay, sent)
		k, read, ok := decodePrefills(datagram)
		So(ok, ShouldBeTrue)
		So(k, ShouldEqual, kindPrefillRelay)
		So(read, ShouldResemble, sent)
		_, _, ok = decodePrefills(datagram[:len(datagram)-1])
		So(ok, ShouldBeFalse)
		_, _, ok = decode(datagram)
		So(ok, ShouldBeFalse)
	})
}

func TestBacklogs(t *testing.T) {
	Convey("Backlogs are valid for backlogTTL, and an aggregator relays only those that stores reported to it directly", t, func() {
		aggregator, gateway := NewTable(), NewTable()
		aggregator.receiveBacklogs(start, kindBacklog, []backlog{{store: 1, tokens: 5120}})
		aggregator.receiveBacklogs(start, kindBacklogRelay, []backlog{{store: 2, tokens: 5120}})
		So(aggregator.directBacklogs(start), ShouldResemble, []backlog{{store: 1, tokens: 5120}})
		k, list, ok := decodeBacklogs(encodeBacklogs(nil, kindBacklogRelay, aggregator.directBacklogs(start)))
		So(ok, ShouldBeTrue)
		gateway.receiveBacklogs(start, k, list)
		So(gateway.directBacklogs(start), ShouldBeEmpty)
		So(gateway.backlogs[1].tokens, ShouldEqual, 5120)
		So(aggregator.directBacklogs(start.Add(backlogRelayFor+1)), ShouldBeEmpty)
		gateway.receiveBacklogs(start.Add(backlogTTL+1), k, nil)
		So(gateway.backlogs, ShouldBeEmpty)
		for _, bad := range [][]byte{nil, []byte("SPL1\x06\x01"), encodePrefills(nil, kindPrefill, nil)} {
			_, _, ok := decodeBacklogs(bad)
			So(ok, ShouldBeFalse)
		}
	})
}

func TestAggregators(t *testing.T) {
	Convey("Each zone has two aggregators, and if one is removed the other remains an aggregator", t, func() {
		var gateways []protocol.Process
		for _, node := range []string{"a", "b", "c", "d", "e"} {
			gateways = append(gateways, protocol.Process{Node: node, Zone: "z"})
		}
		aggregators := aggregatorsByZone(gateways)["z"]
		So(aggregators, ShouldHaveLength, aggregatorsPerZone)
		var left []protocol.Process
		for _, gateway := range gateways {
			if gateway.Node != aggregators[0].Node {
				left = append(left, gateway)
			}
		}
		So(aggregatorsByZone(left)["z"][0], ShouldResemble, aggregators[1])
	})
}

// TestBacklogsNeedLoads runs the sharing of a batch process and of an aggregator on loopback.
func TestBacklogsNeedLoads(t *testing.T) {
	Convey("A batch process reports its backlog only if servers report their load", t, func() {
		const port = 47392
		aggregator := protocol.Process{Node: "aggregator", Zone: "z", IP: "127.91.8.1"}
		store := protocol.Process{Node: "store", Zone: "z", IP: "127.91.8.2"}
		members := &protocol.MemberList{Version: 1, Gateways: []protocol.Process{aggregator}}
		tables := map[string]*Table{}
		sharings := map[string]*Sharing{}
		for _, process := range []protocol.Process{aggregator, store} {
			tables[process.Node] = NewTable()
			sharing, err := Listen(tables[process.Node], process, port, func() *protocol.MemberList { return members })
			So(err, ShouldBeNil)
			defer sharing.conn.Close()
			sharings[process.Node] = sharing
		}
		sharings["store"].SetBacklog(func() int64 { return 5120 })
		sharings["store"].updateTargets()
		storeTargets := sharings["store"].targets.Load()
		sharings["store"].shareBacklogs(start, storeTargets)
		So(sharings["store"].backlogReported, ShouldBeFalse)
		tables["store"].Observe(start, 7, "1,0,12")
		sharings["store"].shareBacklogs(start, storeTargets)
		So(sharings["store"].backlogReported, ShouldBeTrue)
		var datagram [maxBacklogDatagramBytes]byte
		n, _, err := sharings["aggregator"].conn.ReadFromUDPAddrPort(datagram[:])
		So(err, ShouldBeNil)
		_, list, ok := decodeBacklogs(datagram[:n])
		So(ok, ShouldBeTrue)
		So(list[0].tokens, ShouldEqual, 5120)
	})
}

// TestSharing runs the sharing of processes in two zones on loopback, and checks that each process learns of a load
// and a long prompt that one process has observed or announced.
func TestSharing(t *testing.T) {
	Convey("All processes learn of a load and a prompt from one process", t, func() {
		const port = 47391
		var gateways []protocol.Process
		for i, zone := range []string{"a", "a", "a", "a", "b", "b", "b"} {
			gateways = append(gateways, protocol.Process{Node: string(rune('p' + i)), Zone: zone, IP: "127.91.7." + string(rune('1'+i))})
		}
		store := protocol.StoreMember{Process: protocol.Process{Node: "store", Zone: "b", IP: "127.91.7.9"}}
		members := &protocol.MemberList{Version: 1, Gateways: gateways, Stores: protocol.StoreView{Members: []protocol.StoreMember{store}}}
		var tables []*Table
		var all []*Sharing
		for _, process := range append(gateways, store.Process) {
			table := NewTable()
			sharing, err := Listen(table, process, port, func() *protocol.MemberList { return members })
			So(err, ShouldBeNil)
			go sharing.Run(t.Context())
			tables, all = append(tables, table), append(all, sharing)
		}
		tables[0].Observe(time.Now(), 7, "5,0,12")
		for i := 1; i < len(tables); i++ {
			for until := time.Now().Add(10 * time.Second); ; {
				if load, _, known := tables[i].Lookup(time.Now(), 7); known {
					So(load.Running, ShouldEqual, 5)
					break
				}
				if time.Now().After(until) {
					t.Fatalf("process %d hasn't learnt of the load of server 7 within 10 s", i)
				}
				tables[0].Observe(time.Now(), 7, "5,0,12")
				<-time.After(20 * time.Millisecond)
			}
		}
		for i := range tables {
			for until := time.Now().Add(10 * time.Second); i != 3 && tables[i].PrefillTime(time.Now(), 9) == 0; {
				if time.Now().After(until) {
					t.Fatalf("process %d hasn't learnt of a prompt for server 9 within 10 s", i)
				}
				all[3].AnnouncePrefill(9, 40_000)
				<-time.After(20 * time.Millisecond)
			}
		}
		So(tables[3].PrefillTime(time.Now(), 9), ShouldEqual, 0) // a process doesn't record its own announcements
	})
}

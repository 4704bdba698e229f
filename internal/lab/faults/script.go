package faults

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"sprucelane.example/sprucelane/internal/emulator"
)

// This file owns scripts: their words, those that come with the program, and how a plan with one is put to the emulator. A script
// is faults with a space or a line between them, each kind:at:for:part[:size]; what follows a # is left out.

// Named is a script that comes with the program.
type Named struct{ Name, Says, Text string }

// Scripts are all of them, in the order in which they are measured.
var Scripts = []Named{
	{"power-cut", "all gateways and all members are killed and come back, the members cold", "kill:8s:300ms:1 stop:8s:300ms:1"},
	{"gateways-killed", "all gateways are killed at once", "kill:8s:300ms:1"},
	{"members-restarted", "all members come back cold, the gateways live on", "stop:8s:300ms:1"},
	{"three-stopped", "three of five gateways stand still for 5 s", "stall:8s:5s:0.6"},
	{"woken-to-cold", "all gateways stand still while most members come back cold", "stall:6s:5s:1 stop:9s:700ms:0.7"},
	{"split-5", "two groups of gateways don't hear each other for 5 s", "halves:8s:5s:0.4"},
	{"split-20", "the same for 20 s", "halves:5s:20s:0.4"},
	{"deaf", "no gateway hears another for 12 s", "deaf:8s:12s:1"},
	{"one-way", "two gateways are heard and hear nobody", "oneway:8s:12s:0.4"},
	{"loss", "three datagrams in ten are lost", "loss:8s:12s:1:0.3"},
	{"bad-links", "datagrams come late, twice, out of order or spoilt, and three in ten are lost", "loss:8s:12s:1:0.3 late:8s:12s:1:0.3 twice:8s:12s:1:0.3 spoilt:8s:12s:1:0.3"},
	{"herd", "seven in ten gateways are killed at once", "kill:8s:300ms:0.7"},
	{"killed-twice", "a gateway is killed, and again right after it is back", "kill:8s:300ms:0.2 kill:9s:300ms:0.2"},
	{"silent-drain", "discovery falls silent, and two members drain meanwhile", "silent:8s:8s:1 drain:9s:4s:0.17"},
	{"upgrade-in-split", "gateways are upgraded while two groups don't hear each other", "halves:8s:8s:0.4 upgrade:10s:0s:0.4"},
	{"discovery-refuses", "discovery turns all calls away while two members are replaced cold", "refuses:8s:8s:1 stop:9s:500ms:0.17"},
	{"clients-split", "clients reach three of five gateways, which don't hear the others", "shut:8s:8s:0.4 halves:8s:8s:0.4"},
	{"links-cut", "two gateways lose the way to a third of the members", "cut:8s:6s:0.4:0.33"},
	{"all-twice", "all gateways are killed, and again 3 s later", "kill:8s:300ms:1 kill:11s:300ms:1"},
	{"one-a-second", "gateways are killed one after another", "restart:8s:10s:1"},
	{"hang-and-kill", "two members answer nothing, and a gateway is killed meanwhile", "hang:8s:8s:0.17 kill:10s:300ms:0.2"},
}

// Find gives a script by its name, from a file, or as it is worded.
func Find(text string) ([]Trouble, error) {
	for _, s := range Scripts {
		if s.Name == text {
			return Parse(s.Text)
		}
	}
	if !strings.Contains(text, ":") {
		file, err := os.ReadFile(text)
		if err != nil {
			return nil, fmt.Errorf("script: neither one of `sprucelab faults list`, nor a file, nor faults: %w", err)
		}
		text = string(file)
	}
	return Parse(text)
}

// Parse reads a script's faults.
func Parse(text string) (list []Trouble, err error) {
	for _, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		for _, word := range strings.Fields(line) {
			kind, rest, _ := strings.Cut(word, ":")
			own := kind == string(Upgrade) || kind == string(Refuses)
			if own { // the emulator has no word for it
				kind = string(emulator.Kill)
			}
			t, err := emulator.ParseFault(kind + ":" + rest)
			if err != nil {
				return nil, fmt.Errorf("script: %w", err)
			}
			if own {
				name, _, _ := strings.Cut(word, ":")
				t.Kind = emulator.Kind(name)
			}
			list = append(list, t)
		}
	}
	if len(list) == 0 {
		return nil, errors.New("script: holds no fault")
	}
	return list, nil
}

// Words gives a script as Parse reads it.
func Words(script []Trouble) string {
	var words []string
	for _, t := range script {
		words = append(words, t.String())
	}
	return strings.Join(words, " ")
}

// Over is when the last fault of a script is over.
func Over(script []Trouble) (over time.Duration) {
	for _, t := range script {
		over = max(over, t.At+t.For)
	}
	return over
}

// onBoth are the faults that processes and the emulator play.
var onBoth = []emulator.Kind{emulator.Kill, emulator.Restart, emulator.Stall, emulator.Isolate, emulator.Partition, emulator.OneWay, emulator.LoseMessages,
	emulator.Sever, emulator.HoldLists, emulator.DelayMessages, emulator.DuplicateMessages, emulator.CorruptMessages, emulator.Unroute, emulator.ClockSkew, emulator.Hang, emulator.Stop, emulator.Drain, emulator.Pause}

// drawn are those that scripts are drawn of: every machine reads the same clock.
var drawn = slices.DeleteFunc(slices.Clone(onBoth), func(k emulator.Kind) bool { return k == emulator.ClockSkew })

// boot is what a gateway takes from its start to its first yes on loopback, some 20 ms, and the lab's own look for it.
const boot = 25 * time.Millisecond

// Emulated puts a plan to the emulator, with the same members, load, accounts, rules and faults. Chance differs.
func Emulated(p Plan) (emulator.Scenario, error) {
	if err := p.Check(); err != nil {
		return emulator.Scenario{}, err
	}
	for i, t := range p.Script {
		if !slices.Contains(onBoth, t.Kind) {
			return emulator.Scenario{}, fmt.Errorf("script[%d]: %s: not for the emulator", i, t.Kind)
		}
	}
	set, err := Settings(p)
	if err != nil {
		return emulator.Scenario{}, err
	}
	asks := p.asks()
	s := emulator.Scenario{Seed: p.Seed, Gateways: p.Gateways, Members: p.Members, SlowShare: 0.4, Load: p.Load, Length: p.Length,
		Spec: emulator.MemberSpec{Cores: p.Spec.Cores, Speed: p.Spec.Speed, Queue: p.Spec.Queue, Work: p.Spec.Work.Mean, Sigma: p.Spec.Work.Sigma,
			ColdFrom: p.Spec.ColdFrom, WarmWithin: p.Spec.WarmWithin, WarmWork: p.Spec.WarmWork},
		Link: 200 * time.Microsecond, Discovery: listDelay, Boot: boot, DetectionDelay: p.Notice, Settings: set, HotShare: p.Heavy, HotFactor: int(asks.HeavyX),
		Retries: 1, RetryShare: asks.Retries, HonourRetryAfter: asks.Heeds, Faults: p.Script}
	// Speeds are drawn for each member, and the load is worked out from what those of full speed can do.
	s.Load /= 1 - 0.25*s.SlowShare
	for _, c := range asks.Classes {
		s.Classes = append(s.Classes, emulator.ClassUse{Share: c.Share, Work: 1})
	}
	for _, c := range asks.Plans {
		n := max(1, int(c.Share*float64(asks.Accounts)+0.5))
		s.Plans = append(s.Plans, emulator.PlanUse{Share: float64(n) * c.Rate, Accounts: n})
		s.Accounts += n
		s.Spread = append(s.Spread, cmp.Or(p.Spread, p.Gateways))
	}
	return s, s.Check()
}

// Emulate plays a plan in the emulator.
func Emulate(p Plan) (End, error) {
	s, err := Emulated(p)
	if err != nil {
		return End{}, err
	}
	r, err := emulator.Simulate(s)
	e := End{On: "emulator", Seed: p.Seed, Script: Words(p.Script), Share: r.Share(), Seconds: r.Seconds, Tries: r.Tries,
		Ends:   map[string]int{"served": r.Served, "refused": r.Refused, "failed": r.Failed, "broken": r.Lost},
		Beyond: r.BeyondQuota / max(r.Offered, 1e-9), Ceiling: r.OverHardLimit, PeakCold: r.PeakCold, Peaks: map[string]int{"dials": r.PeakDials, "datagrams": r.PeakPeerDatagrams},
		Totals: map[string]int{"dials": r.Dials, "datagrams": r.PeerDatagrams}}
	for _, d := range r.FullServiceTimes {
		e.Took = append(e.Took, d.Seconds())
	}
	if err != nil {
		e.Broken = append(e.Broken, fmt.Sprintf("%v\n  again: sprucelab sim --script '%s' --seed %d", err, e.Script, p.Seed))
	}
	return e, nil
}

// Drawn draws a script of one to four faults that are over some seconds before the run is.
func Drawn(rng *rand.Rand, length time.Duration) (script []Trouble) {
	tenths := func(low, high float64) time.Duration {
		return time.Duration((low+rng.Float64()*(high-low))*10).Round(1) * 100 * time.Millisecond
	}
	for range 1 + rng.IntN(4) {
		t := Trouble{Kind: drawn[rng.IntN(len(drawn))], At: tenths(3, length.Seconds()/2), Share: float64(1+rng.IntN(10)) / 10}
		switch t.For = tenths(0.3, length.Seconds()/3); t.Kind {
		case emulator.Kill, emulator.Stop:
			t.For = tenths(0.3, 2)
		case emulator.Hang, emulator.Pause, emulator.Drain:
			t.Share = min(t.Share, 0.4)
		case emulator.LoseMessages, emulator.Sever, emulator.DelayMessages, emulator.DuplicateMessages, emulator.CorruptMessages:
			t.Size = float64(1+rng.IntN(6)) / 10
		}
		script = append(script, t)
	}
	return script
}

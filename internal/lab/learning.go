package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	pb "sprucelane.example/sprucelane/api/sprucelane/v1"
	"sprucelane.example/sprucelane/internal/daemon/knowledge"
	learning "sprucelane.example/sprucelane/internal/daemon/knowledge/link"
	"sprucelane.example/sprucelane/internal/fake/knowledgepeer"
	"sprucelane.example/sprucelane/internal/fake/poolmember"
	"sprucelane.example/sprucelane/internal/lab/load"
)

// The arms of the measurement of learning.
const (
	ArmWarm  = "warm"  // the third gateway has run as long as the others: what there is to win
	ArmOff   = "off"   // it starts blank
	ArmOn    = "on"    // it learns from a gateway that runs
	ArmStale = "stale" // it learns from a peer that was cut off half a minute ago
	ArmLying = "lying" // it learns from a peer that takes good members for stalled and stalled ones for good
)

// LearningArms are all of them, in the order of the report.
var LearningArms = []string{ArmWarm, ArmOff, ArmOn, ArmStale, ArmLying}

// Learning is the plan of the measurement.
type Learning struct {
	Binary   string
	Seeds    []uint64
	Arms     []string
	Parallel int           // seeds at once; their arms always run side by side
	Members  int           // of which a fifth hangs
	Rate     float64       // first tries a second, over three gateways
	Warm     time.Duration // that two gateways run before the members hang
	Lead     time.Duration // from then to the start of the third
	Measured time.Duration // from its start on
	Hang     time.Duration // from the third's start on
	Progress io.Writer
}

// Windows after the third gateway's start of which the measurement tells.
var Windows = []time.Duration{time.Second, 5 * time.Second, 10 * time.Second, 60 * time.Second}

// LearningRun is what one arm of one seed came to.
type LearningRun struct {
	Seed       uint64
	Arm        string
	Share      []float64 // of the worth offered to the third gateway, in each window
	Offered    []float64
	Lost       uint64 // attempts of the third gateway that hanging members swallowed, in all that was measured
	Late       uint64 // sends to draining members
	ColdBroken uint64
	Twice      uint64
	Ready      time.Duration
}

// Run plays all arms of all seeds.
func (l Learning) Run(ctx context.Context) ([]LearningRun, error) {
	return sideBySide(l.Parallel, l.Seeds, l.Arms, func(seed uint64, arm string) (LearningRun, error) {
		run, err := l.play(ctx, seed, arm)
		if err != nil {
			return run, fmt.Errorf("seed %d, %s: %w", seed, arm, err)
		}
		fmt.Fprintf(l.Progress, "seed=%d arm=%-5s share=%.4f lost=%d late=%d cold_broken=%d twice=%d ready=%v\n", seed, arm,
			run.Share, run.Lost, run.Late, run.ColdBroken, run.Twice, run.Ready.Round(time.Millisecond))
		return run, nil
	})
}

// sideBySide plays all arms of a thing at once, so that whatever the machine does to one it does to the others, and so
// many things at a time. It gives what was played and the first error.
func sideBySide[T, A, R any](parallel int, things []T, arms []A, play func(T, A) (R, error)) (runs []R, first error) {
	var mu sync.Mutex
	slots := make(chan struct{}, max(1, parallel))
	var all sync.WaitGroup
	for _, thing := range things {
		all.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			var side sync.WaitGroup
			for _, arm := range arms {
				side.Go(func() {
					run, err := play(thing, arm)
					mu.Lock()
					defer mu.Unlock()
					if err == nil {
						runs = append(runs, run)
					} else if first == nil {
						first = err
					}
				})
			}
			side.Wait()
		})
	}
	all.Wait()
	return runs, first
}

// play plays one arm. All that is drawn follows from the seed and is the same in every arm.
func (l Learning) play(ctx context.Context, seed uint64, arm string) (run LearningRun, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	spec := poolmember.Default()
	spec.Cores, spec.Speed = 1, 0.6
	asks := PlatformLoad(seed, l.Rate, 60, 3)
	for i := range asks.Plans { // quotas are not the subject
		asks.Plans[i].Rate, asks.Plans[i].Burst = 1000, 10000
	}
	site, err := Open(Plan{Binary: l.Binary, Seed: seed, Gateways: 3, Members: l.Members, Spec: spec, SlowPart: 0.4,
		Delay: 500 * time.Millisecond, Load: asks, Peers: true})
	if err != nil {
		return run, err
	}
	defer site.Close()
	rng := rand.New(rand.NewPCG(seed, 5))
	ids := site.MemberIDs()
	rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	fifth := len(ids) / 5
	hung, wrong, cold, pausing, draining := ids[:fifth], ids[fifth:2*fifth], ids[2*fifth:2*fifth+fifth/2], ids[3*fifth:4*fifth], ids[4*fifth:4*fifth+2]

	// Two run from the beginning, and where learning is on they tell.
	teach := func(n int, peers []string) map[string]any {
		if arm == ArmOff || arm == ArmWarm {
			return nil
		}
		return map[string]any{"knowledge": map[string]any{"listen": site.Links[n], "peers": peers, "plain": true}}
	}
	first := 2
	if arm == ArmWarm {
		first = 3
	}
	for n := range first {
		if _, err := site.StartGateway(n, teach(n, []string{site.Links[1-n%2]})); err != nil {
			return run, err
		}
	}
	peers := []string{site.Links[0], site.Links[1]}
	if arm == ArmStale || arm == ArmLying {
		t, err := knowledgepeer.Start(wrongPicture(arm, ids, wrong))
		if err != nil {
			return run, err
		}
		defer t.Stop()
		peers = []string{t.Addr()}
	}

	length := l.Warm + l.Lead + l.Measured
	script := make(chan error, 1)
	var started time.Time
	var before uint64
	go func() {
		script <- func() error {
			if err := Sleep(ctx, l.Warm-2*time.Second); err != nil {
				return err
			}
			for _, id := range cold {
				if err := site.Restart(id); err != nil {
					return err
				}
			}
			if err := Sleep(ctx, 2*time.Second); err != nil {
				return err
			}
			for _, id := range hung {
				site.Member(id).Hang()
			}
			go pauses(ctx, site, pausing, seed)
			if err := Sleep(ctx, l.Lead); err != nil {
				return err
			}
			started = time.Now()
			before = site.Audit().Swallowed[2]
			if arm != ArmWarm {
				if run.Ready, err = site.StartGateway(2, teach(2, peers)); err != nil {
					return err
				}
			}
			if err := Sleep(ctx, 2*time.Second); err != nil {
				return err
			}
			for _, id := range draining {
				site.Agent.Lifecycle(id, "draining")
			}
			if err := Sleep(ctx, l.Hang-time.Since(started)); err != nil {
				return err
			}
			for _, id := range hung {
				site.Member(id).Resume()
			}
			return nil
		}()
	}()
	site.Run(ctx, length)
	cancel()
	if err := <-script; err != nil && !errors.Is(err, context.Canceled) {
		return run, err
	}
	audit := site.Audit()
	run.Seed, run.Arm, run.Late, run.ColdBroken, run.Twice = seed, arm, audit.Late, audit.ColdBroken, audit.Twice
	run.Lost = audit.Swallowed[2] - before
	began := started.Sub(site.Began)
	records := site.Generator.Records()
	for _, w := range Windows {
		if w > l.Measured {
			break
		}
		sum := load.Summarise(records, site.Load.Classes, func(r load.Record) bool {
			return r.Door == 2 && r.At >= began && r.At < began+w
		})
		run.Share, run.Offered = append(run.Share, sum.Share()), append(run.Offered, sum.Offered)
	}
	return run, nil
}

// pauses lets members stand still now and then until ctx ends.
func pauses(ctx context.Context, site *Site, ids []string, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 6))
	for Sleep(ctx, time.Duration(300+rng.IntN(600))*time.Millisecond) == nil {
		site.Member(ids[rng.IntN(len(ids))]).Pause(time.Duration(200+rng.IntN(300)) * time.Millisecond)
	}
}

// wrongPicture scripts a peer that tells of the wrong members that they stall, and of the rest that they are well: as
// of half a minute ago, when it was cut off, or freshly, because it is wrong.
func wrongPicture(arm string, all, wrong []string) knowledgepeer.Script {
	return func(n int, since time.Duration) (*pb.Picture, time.Duration) {
		age := uint64(0)
		p := &pb.Picture{Version: learning.Version, Oldest: 1, Teller: "peer", TellerLife: 1, Whole: n == 0,
			ElapsedMs: uint64(since.Milliseconds())}
		if arm == ArmStale {
			age = 30000 + uint64(since.Milliseconds())
			p.DeafMs, p.BlindMs = age, age
		}
		for i, id := range all {
			f := &pb.Fact{Instance: id, Observer: "peer", ObserverLife: 1, Seq: uint64(n*len(all) + i + 1), AgeMs: age, Pace: 1,
				Answers: 10, Room: 4, Warmth: 1, AnsweredMs: proto.Uint64(50)}
			if slices.Contains(wrong, id) {
				f.StalledMs, f.Lost, f.AnsweredMs, f.Pace = 4000, 4, proto.Uint64(4000), 6
			}
			p.Facts = append(p.Facts, f)
		}
		return p, 500 * time.Millisecond
	}
}

// Cost is what it takes to tell one gateway of so many members.
type Cost struct {
	Members   int
	Bytes     float64 // for each member of a whole picture
	CPUMicros float64 // of both sides together, for each member
}

// LearningCost tells a whole picture of so many members some times over, and what that takes.
func LearningCost(n, times int) (Cost, error) {
	began := time.Now()
	now := func() knowledge.Time { return time.Hour + time.Since(began) }
	var own []knowledge.Observation
	for i := range n {
		own = append(own, knowledge.Observation{Life: knowledge.Life{Instance: fmt.Sprintf("m-%05d", i)}, Pace: 1.1, Answers: 6,
			Answered: time.Second, Room: 3.4, Warmth: 1})
	}
	exchange, err := learning.Open(learning.Options{Self: knowledge.Observer{Name: "g0", Birth: 1}, Listen: "127.0.0.1:0", Now: now}, own)
	if err != nil {
		return Cost{}, err
	}
	defer exchange.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	bytes, before := 0, cpu()
	for range times {
		p, err := learning.FetchPicture(ctx, exchange.Addr(), nil, "cost")
		if err != nil {
			return Cost{}, err
		}
		if len(p.GetFacts()) != n {
			return Cost{}, fmt.Errorf("told of %d members of %d", len(p.GetFacts()), n)
		}
		bytes += proto.Size(p)
	}
	told := float64(n * times)
	return Cost{n, float64(bytes) / told, float64((cpu() - before).Microseconds()) / told}, nil
}

// cpu is what this process has used so far.
func cpu() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Means gives the mean over the seeds of what a run comes to, for each arm.
func Means(runs []LearningRun, of func(LearningRun) float64) map[string]float64 {
	sum, n := map[string]float64{}, map[string]float64{}
	for _, r := range runs {
		sum[r.Arm] += of(r)
		n[r.Arm]++
	}
	for arm := range maps.Keys(sum) {
		sum[arm] /= n[arm]
	}
	return sum
}

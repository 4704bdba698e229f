package lab

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sprucelane.example/sprucelane/internal/fake/poolmember"
	"sprucelane.example/sprucelane/internal/lab/load"
)

// Upgrade is the plan of the measurement of upgrades: one gateway at the smallest limits is put in another's place again and
// again, under load and with long bodies passing through.
type Upgrade struct {
	Binary   string
	Seeds    []uint64
	Parallel int
	Rate     float64
	Upgrades int
	Every    time.Duration
	Bulk     int // long bodies at once
	MemoryMB int
	Dir      string // for the gateways' files and logs; empty: a temporary one
	Progress io.Writer
}

// UpgradeRun is what one arm of one seed came to.
type UpgradeRun struct {
	Seed       uint64
	Beside     bool // the new process starts beside the old one; else after its end
	Tries      int
	Broken     int     // first tries, and retries, that met a refused or reset connection
	InTime     float64 // share of the worth asked for inside the quotas that was served in time
	Beyond     float64 // worth served beyond the quotas, over that asked for inside
	Bulk       int     // long bodies sent
	BulkBroken int
	Lost       int           // first tries, and retries, without a whole answer
	Memory     int64         // most that both processes held resident, the program's text once
	Ready      time.Duration // the longest from a start to its yes
	Left       time.Duration // the longest from SIGTERM to the old process's end
	Twice      uint64
}

// bulkBody is how long a long body is.
const bulkBody = 4 << 20

// Run plays every seed, with the new process beside the old one and after it.
func (p Upgrade) Run(ctx context.Context) ([]UpgradeRun, error) {
	return sideBySide(p.Parallel, p.Seeds, []bool{false, true}, func(seed uint64, beside bool) (UpgradeRun, error) {
		run, err := p.play(ctx, seed, beside)
		if err != nil {
			return run, fmt.Errorf("seed %d, beside %t: %w", seed, beside, err)
		}
		fmt.Fprintf(p.Progress, "seed=%d beside=%-5t tries=%d broken=%d in_time=%.3f beyond=%.3f bulk=%d bulk_broken=%d memory_mb=%.1f ready=%v left=%v twice=%d\n",
			seed, beside, run.Tries, run.Broken, run.InTime, run.Beyond, run.Bulk, run.BulkBroken, float64(run.Memory)/(1<<20),
			run.Ready.Round(time.Millisecond), run.Left.Round(time.Millisecond), run.Twice)
		return run, nil
	})
}

func (p Upgrade) play(ctx context.Context, seed uint64, beside bool) (run UpgradeRun, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	spec := poolmember.Default()
	spec.Cores, spec.Work = 8, poolmember.Work{Mean: 40 * time.Millisecond}
	dir := ""
	if p.Dir != "" {
		dir = filepath.Join(p.Dir, fmt.Sprintf("%d-%t", seed, beside))
	}
	site, err := Open(Plan{Binary: p.Binary, Dir: dir, Seed: seed, Gateways: 1, Members: 6, Spec: spec, Load: PlatformLoad(seed, p.Rate, 60, 1),
		MemoryMB: p.MemoryMB, Sockets: 256, Control: true})
	if err != nil {
		return run, err
	}
	defer site.Close()
	if _, err := site.StartGateway(0, nil); err != nil {
		return run, err
	}
	run = UpgradeRun{Seed: seed, Beside: beside}
	var background sync.WaitGroup
	var sent, broken atomic.Int64
	for i := range p.Bulk {
		background.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				ok := bulk(ctx, site.Doors[0], fmt.Sprintf("bulk-%d-%d", i, n))
				if sent.Add(1); !ok && ctx.Err() == nil {
					broken.Add(1)
				}
			}
		})
	}
	script := make(chan error, 1)
	go func() {
		script <- func() error {
			for range p.Upgrades {
				if err := Sleep(ctx, p.Every); err != nil {
					return err
				}
				if err := run.upgrade(site); err != nil {
					return err
				}
			}
			return nil
		}()
	}()
	site.Run(ctx, time.Duration(p.Upgrades+1)*p.Every)
	err = <-script
	cancel()
	background.Wait()
	if err != nil {
		return run, err
	}
	sum := load.Summarise(site.Generator.Records(), site.Load.Classes, nil)
	run.Tries, run.Broken, run.InTime = sum.Tries, sum.Ends[load.Broken], sum.Share()
	run.Lost = run.Broken + sum.Ends[load.GivenUp]
	inside, beyond := 0.0, 0.0
	for _, r := range site.Generator.Records() {
		if r.Inside {
			inside += r.Worth
		} else if r.End == load.Served {
			beyond += r.Worth
		}
	}
	run.Beyond = beyond / max(inside, 1e-9)
	run.Bulk, run.BulkBroken, run.Twice = int(sent.Load()), int(broken.Load()), site.Ledger.Twice()
	return run, nil
}

// upgrade puts a new process in the place of the one that serves.
func (run *UpgradeRun) upgrade(site *Site) error {
	old := site.Gateway(0)
	if !run.Beside {
		began := time.Now()
		if err := old.Stop(20 * time.Second); err != nil {
			return err
		}
		run.Left = max(run.Left, time.Since(began))
		took, err := site.StartGateway(0, nil)
		run.Ready = max(run.Ready, took)
		return err
	}
	watched := make(chan int64, 1)
	go func() { // until the old process has gone
		most := int64(0)
		for tick := time.Tick(2 * time.Millisecond); ; <-tick {
			u, err := old.Usage()
			if err != nil || u.RSS == 0 {
				watched <- most
				return
			}
			held := u.RSS
			if p := site.Gateway(0); p != nil && p != old {
				if v, err := p.Usage(); err == nil {
					held = u.RSS - u.File + v.RSS - v.File + max(u.File, v.File)
				}
			}
			most = max(most, held)
		}
	}()
	took, err := site.StartGateway(0, nil)
	if err != nil {
		old.Kill()
		return err
	}
	run.Ready = max(run.Ready, took)
	began := time.Now()
	err = old.Stop(20 * time.Second)
	run.Left = max(run.Left, time.Since(began))
	run.Memory = max(run.Memory, <-watched)
	return err
}

// bulk sends one long body on a connection of its own, and tells whether there was an answer.
func bulk(ctx context.Context, door *load.Door, id string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+door.Addr()+"/work-order", io.LimitReader(filler{}, bulkBody))
	if err != nil {
		return false
	}
	r.ContentLength = bulkBody
	r.Close = true
	for key, value := range map[string]string{"X-Request-Id": id, "X-Class": "work-order", "X-Tariff": "utility",
		"X-Subscriber": "00000000deadbeef", "X-Deadline-Ms": strconv.Itoa(4000), "X-Weight": "units=1,spread=1,first=0"} {
		r.Header.Set(key, value)
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		Sleep(ctx, 100*time.Millisecond)
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable {
		Sleep(ctx, 100*time.Millisecond)
	}
	return err == nil
}

// filler is a body without an end.
type filler struct{}

func (filler) Read(p []byte) (int, error) { return copy(p, line), nil }

var line = strings.Repeat("turbine 17: 1.2 rad/s\n", 200)

package faults

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"sprucelane.example/sprucelane/internal/emulator"
	"sprucelane.example/sprucelane/internal/lab"
)

// This file owns how a script's faults are done to processes, members and links. Which are struck is drawn as the emulator draws
// it. A fault that outlasts the run ends with it.

// strike does one fault, and undoes it when it is over.
func (r *rig) strike(ctx context.Context, place int, t Trouble) {
	gateways := emulator.FaultTargets(r.Seed, place, r.Gateways, t.Share)
	ids := r.site.MemberIDs()
	var struck []string
	for _, i := range emulator.FaultTargets(r.Seed, place, len(ids), t.Share) {
		struck = append(struck, ids[i])
	}
	var all sync.WaitGroup
	defer all.Wait()
	each := func(do func(n int) error) {
		for _, n := range gateways {
			all.Go(func() {
				if err := do(n); err != nil && ctx.Err() == nil {
					r.fail(fmt.Errorf("%v: g%d: %w", t, n, err))
				}
			})
		}
	}
	is := func(g int) bool { return slices.Contains(gateways, g) }
	lose := func(share float64, when func(from, to int) bool) {
		r.setWay(place, func(from, to int) Way {
			if when(from, to) {
				return Way{Lost: share}
			}
			return Way{}
		})
	}
	switch t.Kind {
	case emulator.Kill:
		each(func(n int) error { return r.kill(ctx, n, t.For) })
		return
	case emulator.Restart:
		for k, n := range gateways {
			all.Go(func() {
				if lab.Sleep(ctx, time.Duration(k)*t.For/time.Duration(r.Gateways)) != nil {
					return
				}
				if err := r.kill(ctx, n, 500*time.Millisecond); err != nil && ctx.Err() == nil {
					r.fail(err)
				}
			})
		}
		return
	case emulator.Stall:
		each(func(n int) error {
			p, over := r.site.Gateway(n), r.trouble(n)
			defer over()
			if err := p.Signal(syscall.SIGSTOP); err != nil {
				return err
			}
			lab.Sleep(ctx, t.For)
			return p.Signal(syscall.SIGCONT)
		})
		return
	case Upgrade:
		each(func(n int) error {
			old := r.site.Gateway(n)
			if _, err := r.start(n); err != nil {
				return err
			}
			return old.Stop(20 * time.Second)
		})
		return
	case emulator.Isolate:
		lose(1, func(from, to int) bool { return is(from) || is(to) })
	case emulator.Partition:
		lose(1, func(from, to int) bool { return is(from) != is(to) })
	case emulator.OneWay:
		lose(1, func(_, to int) bool { return is(to) })
	case emulator.LoseMessages:
		lose(cmp.Or(t.Size, 0.3), func(_, to int) bool { return is(to) })
	case emulator.DelayMessages, emulator.DuplicateMessages, emulator.CorruptMessages:
		r.setWay(place, func(_, to int) (w Way) {
			if !is(to) {
				return w
			}
			switch t.Kind {
			case emulator.DelayMessages:
				w.Jitter = time.Duration(cmp.Or(t.Size, 0.2) * float64(time.Second))
			case emulator.DuplicateMessages:
				w.Duplicate = cmp.Or(t.Size, 0.3)
			case emulator.CorruptMessages:
				w.Corrupt = cmp.Or(t.Size, 0.3)
			}
			return w
		})
	case emulator.ClockSkew: // from the start on
	case Refuses:
		for _, n := range gateways {
			r.site.Agent.Refuse(n, true)
			defer r.site.Agent.Refuse(n, false)
		}
	case emulator.Unroute:
		for _, n := range gateways {
			r.site.Doors[n].Set("")
			defer func() {
				if p := r.site.Gateway(n); p != nil {
					r.site.Doors[n].Set(p.Listen)
				}
			}()
		}
	case emulator.HoldLists:
		for _, n := range gateways {
			r.site.Agent.Silence(n, true)
			defer r.site.Agent.Silence(n, false)
		}
	case emulator.Sever:
		rng := rand.New(rand.NewPCG(r.Seed, uint64(place)))
		part := rng.Perm(len(ids))[:max(1, int(cmp.Or(t.Size, 1.0/3)*float64(len(ids))+0.5))]
		for _, n := range gateways {
			for _, i := range part {
				x := r.relay(n, ids[i])
				if err := x.Set(Cut); err != nil {
					r.fail(err)
				}
				defer x.Set(Open)
			}
		}
	case emulator.Hang:
		for _, id := range struck {
			m := r.site.Member(id)
			m.Hang()
			defer m.Resume()
		}
	case emulator.Stop:
		for _, id := range struck {
			r.memberDown(id, true)
			r.site.Member(id).Stop()
		}
		lab.Sleep(ctx, t.For)
		for _, id := range struck {
			if err := r.site.Restart(id); err != nil {
				r.fail(err)
			}
			r.memberDown(id, false)
		}
		return
	case emulator.Drain:
		for _, id := range struck {
			r.site.Agent.Lifecycle(id, "draining")
			defer r.site.Agent.Lifecycle(id, "up")
		}
	case emulator.Pause:
		for end := time.Now().Add(t.For); time.Now().Before(end) && lab.Sleep(ctx, time.Second) == nil; {
			for _, id := range struck {
				r.site.Member(id).Pause(300 * time.Millisecond)
			}
		}
		return
	default:
		r.fail(fmt.Errorf("%v: not for processes", t))
		return
	}
	lab.Sleep(ctx, t.For)
	r.setWay(place, nil)
}

// setWay adds what one fault does to the links; nil: nothing any more.
func (r *rig) setWay(place int, way func(from, to int) Way) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if way == nil {
		delete(r.ways, place)
	} else {
		r.ways[place] = way
	}
}

// kill ends a gateway's process at once and starts another when it is over.
func (r *rig) kill(ctx context.Context, n int, after time.Duration) error {
	over := r.trouble(n)
	r.site.KillGateway(n, r.Notice)
	if err := lab.Sleep(ctx, max(after, r.Notice+10*time.Millisecond)); err != nil {
		return err // it stays down: the run is over
	}
	if r.down != nil {
		r.down(n)
	}
	_, err := r.start(n)
	over()
	return err
}

func (r *rig) relay(gateway int, member string) *Relay {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.severed[fmt.Sprint(gateway, " ", member)]
}

// memberDown lets the relays before a member do as its process does.
func (r *rig) memberDown(member string, down bool) {
	state := Open
	if down {
		state = Down
	}
	for n := range r.Gateways {
		if x := r.relay(n, member); x != nil {
			if err := x.Set(state); err != nil {
				r.fail(err)
			}
		}
	}
}

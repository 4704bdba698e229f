// Package helper owns the gateway's side of the exchange of knowledge: it runs the link program as a child, shows it
// what the gateway has seen, and hands the priors that come back to the decision module. It must never hold serving
// up: a child that is missing, slow, wrong or dead leaves the gateway as it would be without one.
package helper

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"sprucelane.example/sprucelane/internal/knowledge/pipe"
)

// Program is the link program's name; it stands beside the gateway's own.
const Program = "sprucelane-link"

// Beside gives the path of the link program.
func Beside() string {
	self, err := os.Executable()
	if err != nil {
		return Program
	}
	return filepath.Join(filepath.Dir(self), Program)
}

const (
	cadence    = 250 * time.Millisecond
	answerWait = 5 * time.Second // for the news that a state brings
	endWait    = time.Second     // for the child to end by itself
	firstPause = 500 * time.Millisecond
	lastPause  = 30 * time.Second
)

// Helper runs the link program for as long as it is open.
type Helper struct {
	program string
	hello   pipe.Hello
	gateway Teachable
	cancel  context.CancelFunc
	done    sync.WaitGroup
	learnt  chan struct{}
	once    sync.Once

	mu     sync.Mutex
	last   pipe.News
	starts uint64
	drops  uint64 // priors that came too late
}

// Teachable is what is shown and taught.
type Teachable interface {
	Seen() (pipe.State, Snapshot)
	Teach(priors []Prior, at Snapshot) (late int)
}

// Open starts the link program and keeps it running.
func Open(program string, hello pipe.Hello, gateway Teachable) *Helper {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Helper{program: program, hello: hello, gateway: gateway, cancel: cancel, learnt: make(chan struct{})}
	h.done.Go(func() { h.keep(ctx) })
	return h
}

// Close ends the child.
func (h *Helper) Close() {
	h.cancel()
	h.done.Wait()
}

// Learnt waits until the peers' pictures have come, or so long.
func (h *Helper) Learnt(most time.Duration) {
	wait := time.NewTimer(most)
	defer wait.Stop()
	select {
	case <-h.learnt:
	case <-wait.C:
	}
}

// keep starts the child anew whenever it has ended.
func (h *Helper) keep(ctx context.Context) {
	for pause := firstPause; ctx.Err() == nil; pause = min(2*pause, lastPause) {
		h.mu.Lock()
		h.starts++
		h.mu.Unlock()
		began := time.Now()
		err := h.run(ctx)
		if ctx.Err() != nil {
			return
		}
		slog.Warn("link_program_ended", "program", h.program, "err", err)
		h.once.Do(func() { close(h.learnt) }) // nothing is learnt from it: the start needn't wait
		if time.Since(began) > lastPause {
			pause = firstPause
		}
		wait := time.NewTimer(pause)
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
		}
	}
}

// run is one life of the child.
func (h *Helper) run(ctx context.Context) error {
	cmd := exec.Command(h.program, "exchange")
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGTERM} // it never outlives the gateway
	in, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	slow := time.AfterFunc(answerWait, func() { cmd.Process.Kill() })
	err = h.talk(ctx, pipe.New(out, in), slow)
	slow.Stop()
	in.Close() // which ends it
	end := time.AfterFunc(endWait, func() { cmd.Process.Kill() })
	defer end.Stop()
	io.Copy(io.Discard, out)
	if ended := cmd.Wait(); ended != nil && err == nil {
		err = ended
	}
	return err
}

// talk shows the child what was seen and takes its news, until either ends. A child that leaves a state unanswered is
// killed by slow.
func (h *Helper) talk(ctx context.Context, end *pipe.End, slow *time.Timer) error {
	if err := end.Say(h.hello); err != nil {
		return err
	}
	news, failed, over := make(chan pipe.News), make(chan error, 1), make(chan struct{})
	defer close(over)
	go func() {
		for {
			var n pipe.News
			if err := end.Hear(&n); err != nil {
				failed <- err
				return
			}
			select {
			case news <- n:
			case <-over:
				return
			}
		}
	}()
	beat := time.NewTicker(cadence)
	defer beat.Stop()
	state, at := h.gateway.Seen()
	for asked := true; ; {
		if asked {
			slow.Reset(answerWait)
			if err := end.Say(state); err != nil {
				return err
			}
			asked = false
		}
		select {
		case n := <-news:
			slow.Stop()
			late := h.gateway.Teach(n.Priors, at)
			h.mu.Lock()
			h.last, h.drops = n, h.drops+uint64(late)
			h.mu.Unlock()
			if n.Learnt {
				h.once.Do(func() { close(h.learnt) })
			}
		case <-beat.C:
			state, at = h.gateway.Seen()
			asked = true
		case err := <-failed:
			return fmt.Errorf("it says nothing more: %w", err)
		case <-ctx.Done():
			return nil
		}
	}
}

// Addr is where the child listens, once it has said so.
func (h *Helper) Addr() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.last.Addr
}

// Counters tells of the exchange, as the child last did.
func (h *Helper) Counters() []slog.Attr {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := []slog.Attr{slog.Uint64("link_starts", h.starts), slog.Uint64("priors_late", h.drops)}
	for _, c := range h.last.Counters {
		list = append(list, slog.Uint64(c.Name, c.Value))
	}
	return list
}

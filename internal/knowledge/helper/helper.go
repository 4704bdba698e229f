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
func ProgramPath() string {
	self, err := os.Executable()
	if err != nil {
		return Program
	}
	return filepath.Join(filepath.Dir(self), Program)
}

const (
	stateInterval = 250 * time.Millisecond
	answerTimeout = 5 * time.Second // for the news that a state brings
	exitTimeout   = time.Second     // for the child to end by itself
	minBackoff    = 500 * time.Millisecond
	maxBackoff    = 30 * time.Second
)

// Helper runs the link program for as long as it is open.
type Helper struct {
	program     string
	hello       pipe.Hello
	gateway     PriorConsumer
	cancel      context.CancelFunc
	done        sync.WaitGroup
	initialSync chan struct{}
	syncOnce    sync.Once

	mu         sync.Mutex
	lastUpdate pipe.Update
	starts     uint64
	latePriors uint64 // priors that came too late
}

// Teachable is what is shown and taught.
type PriorConsumer interface {
	Observe() (pipe.State, Snapshot)
	ApplyPriors(priors []Prior, at Snapshot) (late int)
}

// Open starts the link program and keeps it running.
func Open(program string, hello pipe.Hello, gateway PriorConsumer) *Helper {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Helper{program: program, hello: hello, gateway: gateway, cancel: cancel, initialSync: make(chan struct{})}
	h.done.Go(func() { h.supervise(ctx) })
	return h
}

// Close ends the child.
func (h *Helper) Close() {
	h.cancel()
	h.done.Wait()
}

// Learnt waits until the peers' pictures have come, or so long.
func (h *Helper) AwaitInitialSync(most time.Duration) {
	wait := time.NewTimer(most)
	defer wait.Stop()
	select {
	case <-h.initialSync:
	case <-wait.C:
	}
}

// keep starts the child anew whenever it has ended.
func (h *Helper) supervise(ctx context.Context) {
	for pause := minBackoff; ctx.Err() == nil; pause = min(2*pause, maxBackoff) {
		h.mu.Lock()
		h.starts++
		h.mu.Unlock()
		began := time.Now()
		err := h.runChild(ctx)
		if ctx.Err() != nil {
			return
		}
		slog.Warn("link_program_ended", "program", h.program, "err", err)
		h.syncOnce.Do(func() { close(h.initialSync) }) // nothing is learnt from it: the start needn't wait
		if time.Since(began) > maxBackoff {
			pause = minBackoff
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
func (h *Helper) runChild(ctx context.Context) error {
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
	slow := time.AfterFunc(answerTimeout, func() { cmd.Process.Kill() })
	err = h.exchange(ctx, pipe.New(out, in), slow)
	slow.Stop()
	in.Close() // which ends it
	end := time.AfterFunc(exitTimeout, func() { cmd.Process.Kill() })
	defer end.Stop()
	io.Copy(io.Discard, out)
	if ended := cmd.Wait(); ended != nil && err == nil {
		err = ended
	}
	return err
}

// talk shows the child what was seen and takes its news, until either ends. A child that leaves a state unanswered is
// killed by slow.
func (h *Helper) exchange(ctx context.Context, end *pipe.Conn, slow *time.Timer) error {
	if err := end.Send(h.hello); err != nil {
		return err
	}
	news, failed, over := make(chan pipe.Update), make(chan error, 1), make(chan struct{})
	defer close(over)
	go func() {
		for {
			var n pipe.Update
			if err := end.Receive(&n); err != nil {
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
	beat := time.NewTicker(stateInterval)
	defer beat.Stop()
	state, at := h.gateway.Observe()
	for asked := true; ; {
		if asked {
			slow.Reset(answerTimeout)
			if err := end.Send(state); err != nil {
				return err
			}
			asked = false
		}
		select {
		case n := <-news:
			slow.Stop()
			late := h.gateway.ApplyPriors(n.Priors, at)
			h.mu.Lock()
			h.lastUpdate, h.latePriors = n, h.latePriors+uint64(late)
			h.mu.Unlock()
			if n.Learnt {
				h.syncOnce.Do(func() { close(h.initialSync) })
			}
		case <-beat.C:
			state, at = h.gateway.Observe()
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
	return h.lastUpdate.Addr
}

// Counters tells of the exchange, as the child last did.
func (h *Helper) Counters() []slog.Attr {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := []slog.Attr{slog.Uint64("link_starts", h.starts), slog.Uint64("priors_late", h.latePriors)}
	for _, c := range h.lastUpdate.Counters {
		list = append(list, slog.Uint64(c.Name, c.Value))
	}
	return list
}

package helper

// This file runs the child process and exchanges messages with it.

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

	"sprucelane.example/sprucelane/internal/daemon/knowledge/pipe"
)

// Program is the file name of the helper program.
const Program = "sprucelane-link"

// ProgramPath returns the path of the helper program, which is installed beside the gateway's.
func ProgramPath() string {
	self, err := os.Executable()
	if err != nil {
		return Program
	}
	return filepath.Join(filepath.Dir(self), Program)
}

const (
	stateInterval = 250 * time.Millisecond // between two states that are sent
	answerTimeout = 5 * time.Second        // until the update that answers a state; then the child is killed
	exitTimeout   = time.Second            // for the child to exit once its input is closed; then it is killed
	minBackoff    = 500 * time.Millisecond // before a restart of the child
	maxBackoff    = 30 * time.Second       // likewise; a child that has run for longer resets the backoff
)

// Helper runs the helper program until it is closed.
type Helper struct {
	program  string
	hello    pipe.Hello
	gateway  PriorConsumer
	cancel   context.CancelFunc
	done     sync.WaitGroup
	syncOnce sync.Once
	// initialSync is closed, by syncOnce, when all peers have sent their snapshots or the child has ended.
	initialSync chan struct{}

	mu         sync.Mutex // guards the fields below
	lastUpdate pipe.Update
	starts     uint64 // of the child
	latePriors uint64 // priors that ApplyPriors dropped as late
}

// PriorConsumer is the gateway, which supplies observations and applies priors.
type PriorConsumer interface {
	// Observe returns the gateway's observations, and a snapshot of the members that ApplyPriors compares with.
	Observe() (pipe.State, Snapshot)
	// ApplyPriors applies the priors that follow from the observation at which the snapshot was taken. It returns how
	// many it dropped as late, because the member has answered since, or is no longer listed.
	ApplyPriors(priors []Prior, at Snapshot) (late int)
}

// Open starts the helper program, and restarts it when it ends, until Close.
func Open(program string, hello pipe.Hello, gateway PriorConsumer) *Helper {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Helper{program: program, hello: hello, gateway: gateway, cancel: cancel, initialSync: make(chan struct{})}
	h.done.Go(func() { h.supervise(ctx) })
	return h
}

// Close ends the child and waits for it.
func (h *Helper) Close() {
	h.cancel()
	h.done.Wait()
}

// AwaitInitialSync waits until each peer has sent its snapshot or failed once, or the child has failed, but no
// longer than the timeout.
func (h *Helper) AwaitInitialSync(timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-h.initialSync:
	case <-timer.C:
	}
}

// supervise runs the child, and restarts it with backoff, until ctx ends.
func (h *Helper) supervise(ctx context.Context) {
	for backoff := minBackoff; ctx.Err() == nil; backoff = min(2*backoff, maxBackoff) {
		h.mu.Lock()
		h.starts++
		h.mu.Unlock()
		began := time.Now()
		err := h.runChild(ctx)
		if ctx.Err() != nil {
			return
		}
		slog.Warn("link_program_ended", "program", h.program, "err", err)
		h.syncOnce.Do(func() { close(h.initialSync) }) // the gateway's start doesn't wait for a child that has failed
		if time.Since(began) > maxBackoff {
			backoff = minBackoff
		}
		timer := time.NewTimer(backoff)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// runChild runs one child process until the process, the exchange with it, or ctx ends.
func (h *Helper) runChild(ctx context.Context) error {
	cmd := exec.Command(h.program, "exchange")
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGTERM} // so that it doesn't outlive the gateway
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
	answerTimer := time.AfterFunc(answerTimeout, func() { cmd.Process.Kill() })
	err = h.exchange(ctx, pipe.New(out, in), answerTimer)
	answerTimer.Stop()
	in.Close() // the child exits at the end of its input
	exitTimer := time.AfterFunc(exitTimeout, func() { cmd.Process.Kill() })
	defer exitTimer.Stop()
	io.Copy(io.Discard, out)
	if exit := cmd.Wait(); exit != nil && err == nil {
		err = exit
	}
	return err
}

// exchange sends states to the child and applies its updates, until the connection or ctx ends. It resets answerTimer
// with each state and stops it with each update; the timer kills the child.
func (h *Helper) exchange(ctx context.Context, conn *pipe.Conn, answerTimer *time.Timer) error {
	if err := conn.Send(h.hello); err != nil {
		return err
	}
	updates, failed, over := make(chan pipe.Update), make(chan error, 1), make(chan struct{})
	defer close(over)
	go func() {
		for {
			var u pipe.Update
			if err := conn.Receive(&u); err != nil {
				failed <- err
				return
			}
			select {
			case updates <- u:
			case <-over:
				return
			}
		}
	}()
	tick := time.NewTicker(stateInterval)
	defer tick.Stop()
	state, at := h.gateway.Observe()
	for due := true; ; {
		if due {
			answerTimer.Reset(answerTimeout)
			if err := conn.Send(state); err != nil {
				return err
			}
			due = false
		}
		select {
		case u := <-updates:
			answerTimer.Stop()
			late := h.gateway.ApplyPriors(u.Priors, at)
			h.mu.Lock()
			h.lastUpdate, h.latePriors = u, h.latePriors+uint64(late)
			h.mu.Unlock()
			if u.Learnt {
				h.syncOnce.Do(func() { close(h.initialSync) })
			}
		case <-tick.C:
			state, at = h.gateway.Observe()
			due = true
		case err := <-failed:
			return fmt.Errorf("no further update from the child: %w", err)
		case <-ctx.Done():
			return nil
		}
	}
}

// Addr returns the address that the child listens on; empty: it has not reported one.
func (h *Helper) Addr() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastUpdate.Addr
}

// Counters returns the counters of the exchange, as the child last reported them.
func (h *Helper) Counters() []slog.Attr {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := []slog.Attr{slog.Uint64("link_starts", h.starts), slog.Uint64("priors_late", h.latePriors)}
	for _, c := range h.lastUpdate.Counters {
		list = append(list, slog.Uint64(c.Name, c.Value))
	}
	return list
}

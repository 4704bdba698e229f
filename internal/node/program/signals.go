package program

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals receives the signals by which the platform controls a process. They are caught from the start, because
// a signal that arrives while the process is still starting must neither kill it, which is the default, nor be
// lost.
type Signals struct {
	// SIGTERM and SIGHUP have separate channels with a buffer of one, so that SIGTERM is not lost after many
	// SIGHUPs.
	terminations, reloads chan os.Signal
}

// CatchSignals starts to catch signals. A main function calls it before anything else. It also ignores SIGPIPE, so
// that the process doesn't end when the reader of its log does.
func CatchSignals() *Signals {
	s := &Signals{terminations: make(chan os.Signal, 1), reloads: make(chan os.Signal, 1)}
	signal.Notify(s.terminations, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.reloads, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// Terminations returns a channel that receives a value for SIGTERM or an interrupt. Several signals that arrive
// before a value is received give one value.
func (s *Signals) Terminations() <-chan os.Signal { return s.terminations }

// Reloads returns a channel that receives a value for SIGHUP. Several signals that arrive before a value is
// received give one value.
func (s *Signals) Reloads() <-chan os.Signal { return s.reloads }

// Release restores the default handling of SIGTERM, interrupts and SIGHUP.
func (s *Signals) Release() {
	signal.Stop(s.terminations)
	signal.Stop(s.reloads)
}

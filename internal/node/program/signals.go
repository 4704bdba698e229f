package program

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals are the signals by which the platform controls a process. They are caught from its start: one that
// arrives while the process is still starting must neither kill it, as is the default, nor be lost.
type Signals struct {
	// SIGTERM and SIGHUP have a channel each, with a buffer of one: many SIGHUPs must not keep SIGTERM out.
	terminations, reloads chan os.Signal
}

// CatchSignals starts to catch signals. A main calls it before anything else. It also ignores SIGPIPE, so
// that the process survives the reader of its log.
func CatchSignals() *Signals {
	s := &Signals{terminations: make(chan os.Signal, 1), reloads: make(chan os.Signal, 1)}
	signal.Notify(s.terminations, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.reloads, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// Terminations receives a value for SIGTERM or an interrupt. Several that arrive before one is received count
// as one.
func (s *Signals) Terminations() <-chan os.Signal { return s.terminations }

// Reloads receives a value for SIGHUP. Several that arrive before one is received count as one.
func (s *Signals) Reloads() <-chan os.Signal { return s.reloads }

// Release restores the default effects of SIGTERM and SIGHUP.
func (s *Signals) Release() {
	signal.Stop(s.terminations)
	signal.Stop(s.reloads)
}

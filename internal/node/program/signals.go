package program

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals are the platform's words to a process. They are caught from its very beginning: one that comes while the process still
// starts must neither end it, as the system does by default, nor be lost.
type Signals struct {
	// SIGTERM and SIGHUP have room of their own: a process that is told to reload again and again must still hear of its end.
	terminations, reloads chan os.Signal
}

// CatchSignals is the first that a program does. A log that nobody reads any more doesn't end it either.
func CatchSignals() *Signals {
	s := &Signals{terminations: make(chan os.Signal, 1), reloads: make(chan os.Signal, 1)}
	signal.Notify(s.terminations, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.reloads, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// Ends gives each SIGTERM. Those that nobody takes count as one.
func (s *Signals) Terminations() <-chan os.Signal { return s.terminations }

// Reloads gives each SIGHUP. Those that nobody takes count as one.
func (s *Signals) Reloads() <-chan os.Signal { return s.reloads }

// Release has signals do again what the system does by default.
func (s *Signals) Release() {
	signal.Stop(s.terminations)
	signal.Stop(s.reloads)
}

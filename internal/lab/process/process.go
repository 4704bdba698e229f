// Package process starts child processes for tests and demonstrations, and measures them.
//
// Each child writes to a log file, and is killed by the kernel when its parent dies, so that none is left
// behind. The package only signals processes that it has started. It needs Linux: measurements are read from
// /proc.
package process

import (
	"errors"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Command describes a process to start.
type Command struct {
	Name        string
	Binary      string
	Arguments   []string
	Environment []string // NAME=value; nothing of the parent's environment is inherited
	Log         string   // path of the file to which output and errors are appended
}

// Process is a child process. Its methods may be called from any goroutine.
type Process struct {
	Name    string
	Started time.Time

	cmd      *exec.Cmd
	log      *os.File
	exited   chan struct{} // closed when the process has exited
	err      error         // of the exit; written before exited is closed, and by Stop on a timeout
	stopOnce sync.Once
}

// errStopTimeout is returned by Stop for a process that had to be killed.
var errStopTimeout = errors.New("process: killed, as it didn't exit when it was asked to")

// Start starts a process.
func Start(c Command) (*Process, error) {
	log, err := os.OpenFile(c.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	p := &Process{Name: c.Name, log: log, exited: make(chan struct{}), Started: time.Now()}
	p.cmd = exec.Command(c.Binary, c.Arguments...)
	p.cmd.Env = c.Environment
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		log.Close()
		return nil, err
	}
	go func() {
		p.err = p.cmd.Wait()
		log.Close()
		close(p.exited)
	}()
	return p, nil
}

// Ended returns whether the process has exited, and the error of its exit, which is nil for exit code 0.
func (p *Process) Ended() (bool, error) {
	select {
	case <-p.exited:
		return true, p.err
	default:
		return false, nil
	}
}

// Log returns what the process has written so far.
func (p *Process) Log() string {
	text, _ := os.ReadFile(p.log.Name())
	return string(text)
}

// LogTail returns the last three lines of the log, as one line.
func (p *Process) LogTail() string {
	const lines = 3
	list := strings.Split(strings.TrimSpace(p.Log()), "\n")
	return strings.Join(list[max(0, len(list)-lines):], " | ")
}

// Signal sends a signal.
func (p *Process) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// Stop sends SIGTERM, and SIGKILL where the process hasn't exited within the timeout. The error is nil for
// exit code 0.
func (p *Process) Stop(timeout time.Duration) error {
	p.stopOnce.Do(func() {
		p.Signal(syscall.SIGTERM)
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		select {
		case <-p.exited:
		case <-timer.C:
			p.Kill()
			p.err = errStopTimeout
		}
	})
	<-p.exited
	return p.err
}

// Kill kills the process and waits for its exit.
func (p *Process) Kill() {
	p.cmd.Process.Kill()
	<-p.exited
}

// Package process owns the laboratory's child processes: each has a log, ends with its parent, and tells what it has used. It
// must never end a process that it didn't start.
package process

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Command says what to start.
type Command struct {
	Name        string
	Binary      string
	Arguments   []string
	Environment []string // NAME=value; nothing else of this process's own is passed on
	Log         string   // the file that its output is added to
}

// Process is a child process.
type Process struct {
	Name     string
	Started  time.Time
	cmd      *exec.Cmd
	log      *os.File
	exited   chan struct{}
	err      error // once exited is closed
	stopOnce sync.Once
}

// errKilled tells that a process didn't end when it was asked to.
var errStopTimeout = errors.New("killed: it did not end")

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
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none is left behind
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

// Ended tells whether the process has ended, and how.
func (p *Process) Ended() (bool, error) {
	select {
	case <-p.exited:
		return true, p.err
	default:
		return false, nil
	}
}

// Log gives what the process has written so far.
func (p *Process) Log() string {
	text, _ := os.ReadFile(p.log.Name())
	return string(text)
}

// LastLines gives the end of the log in one line.
func (p *Process) LogTail() string {
	lines := strings.Split(strings.TrimSpace(p.Log()), "\n")
	return strings.Join(lines[max(0, len(lines)-3):], " | ")
}

// Signal sends a signal.
func (p *Process) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// Stop asks the process to end, and ends it where it doesn't within a time. The error is nil where it exited with 0.
func (p *Process) Stop(within time.Duration) error {
	p.stopOnce.Do(func() {
		p.Signal(syscall.SIGTERM)
		wait := time.NewTimer(within)
		defer wait.Stop()
		select {
		case <-p.exited:
		case <-wait.C:
			p.Kill()
			p.err = errStopTimeout
		}
	})
	<-p.exited
	return p.err
}

// Kill ends the process at once.
func (p *Process) Kill() {
	p.cmd.Process.Kill()
	<-p.exited
}

// Usage is what a process has used.
type Usage struct {
	CPU  time.Duration
	RSS  int64 // bytes resident now
	File int64 // of these, of files: the program's own text, which its processes have in common
	Peak int64
}

// Usage reads what the process has used so far.
func (p *Process) Usage() (u Usage, err error) {
	dir := "/proc/" + strconv.Itoa(p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return u, err
	}
	_, rest, ok := bytes.Cut(stat, []byte(") "))
	fields := strings.Fields(string(rest))
	if !ok || len(fields) < 13 {
		return u, errors.New("no figures of the process")
	}
	const ticks = 100 // a second: fixed on Linux
	for _, f := range fields[11:13] {
		n, _ := strconv.ParseInt(f, 10, 64)
		u.CPU += time.Duration(n) * time.Second / ticks
	}
	status, err := os.ReadFile(dir + "/status")
	if err != nil {
		return u, err
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		for key, to := range map[string]*int64{"VmRSS:": &u.RSS, "RssFile:": &u.File, "VmHWM:": &u.Peak} {
			if f := strings.Fields(line); len(f) == 3 && f[0] == key {
				n, _ := strconv.ParseInt(f[1], 10, 64)
				*to = n << 10
			}
		}
	}
	return u, nil
}

// Package lab owns experiments with real gateways: it starts them as processes before stand-in members, breaks things
// by script, and reckons what came of it. Everything is on loopback, bounded in number and time, and follows from a
// seed as far as real time lets it. It must never reach into a gateway otherwise than an operator could.
package lab

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"sprucelane.example/sprucelane/internal/discovery"
)

// Process is a gateway as a process of its own.
type Process struct {
	Name, Listen string
	Control      string // the operators' address; empty: none
	Started      time.Time
	cmd          *exec.Cmd
	log          *os.File
	exited       chan struct{}
	err          error // once exited is closed
	once         sync.Once
}

// Setup is what a gateway is told.
type Setup struct {
	Binary     string
	Dir        string // for its files
	Name       string
	Listen     string
	Discovery  string
	PeerListen string
	Peers      []string
	Seed       uint64
	Known      discovery.List
	Settings   map[string]any // in the platform's words
	Site       map[string]any // the operators' file; nil: none
	MemoryMB   int
	Sockets    int
	Control    string        // the operators' address; empty: none
	Temp       string        // the folder that a gateway's processes have in common; empty: none
	Ahead      time.Duration // of its clock
}

// StartGateway starts a gateway with a configuration of its own.
func StartGateway(s Setup) (*Process, error) {
	dir := filepath.Join(s.Dir, s.Name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	conf := map[string]any{"name": s.Name, "listen": s.Listen, "discovery": s.Discovery,
		"seed": fmt.Sprintf("%016x", s.Seed), "limits": map[string]any{"cores": 1, "memory_mb": s.MemoryMB, "sockets": s.Sockets},
		"known": s.Known, "settings": s.Settings, "peer_listen": s.PeerListen, "peers": s.Peers}
	site := filepath.Join(dir, "site.json")
	os.Remove(site)
	for path, value := range map[string]map[string]any{filepath.Join(dir, "config.json"): conf, site: s.Site} {
		if value == nil {
			continue
		}
		text, err := json.Marshal(value)
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return nil, err
		}
	}
	log, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	p := &Process{Name: s.Name, Listen: s.Listen, Control: s.Control, log: log, exited: make(chan struct{}), Started: time.Now()}
	p.cmd = exec.Command(s.Binary, "--site", site)
	if s.Ahead != 0 {
		p.cmd.Args = append(p.cmd.Args, "--clock-ahead", s.Ahead.String())
	}
	p.cmd.Env = []string{"SPRUCELANE_LABORATORY=1", "ROUTER_CONFIG=" + filepath.Join(dir, "config.json"), "ROUTER_NAME=" + s.Name,
		"ROUTER_LISTEN=" + s.Listen, "ROUTER_DISCOVERY=" + s.Discovery, "ROUTER_CONTROL=" + s.Control, "TMPDIR=" + s.Temp}
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

// Ready waits until the gateway says that it can serve, to operators where it hears them, and tells how long that took from
// its start.
func (p *Process) Ready(within time.Duration) (time.Duration, error) {
	addr := cmp.Or(p.Control, p.Listen)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		select {
		case <-p.exited:
			return 0, fmt.Errorf("gateway %s ended: %v: %s", p.Name, p.err, p.lastLines())
		default:
		}
		resp, err := client.Get("http://" + addr + "/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return time.Since(p.Started), nil
		}
	}
	return 0, fmt.Errorf("gateway %s is not ready after %v: %s", p.Name, within, p.lastLines())
}

func (p *Process) lastLines() string {
	text, _ := os.ReadFile(p.log.Name())
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(0, len(lines)-3):], " | ")
}

// Log gives what the gateway has written so far.
func (p *Process) Log() string {
	text, _ := os.ReadFile(p.log.Name())
	return string(text)
}

// Signal sends a signal.
func (p *Process) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// Stop asks the gateway to end, and ends it where it doesn't within a time. It tells whether it exited with 0.
func (p *Process) Stop(within time.Duration) error {
	p.once.Do(func() {
		p.Signal(syscall.SIGTERM)
		wait := time.NewTimer(within)
		defer wait.Stop()
		select {
		case <-p.exited:
		case <-wait.C:
			p.Kill()
			p.err = errors.New("killed: it did not end")
		}
	})
	<-p.exited
	return p.err
}

// Kill ends the gateway at once.
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

// Usage reads what the gateway has used so far.
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
	for _, line := range strings.Split(string(status), "\n") {
		for key, to := range map[string]*int64{"VmRSS:": &u.RSS, "RssFile:": &u.File, "VmHWM:": &u.Peak} {
			if f := strings.Fields(line); len(f) == 3 && f[0] == key {
				n, _ := strconv.ParseInt(f[1], 10, 64)
				*to = n << 10
			}
		}
	}
	return u, nil
}

// Sleep waits, or gives up with ctx.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

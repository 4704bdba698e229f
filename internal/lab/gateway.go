// Package lab owns experiments with real gateways: it starts them as processes before stand-in members, breaks things
// by script, and reckons what came of it. Everything is on loopback, bounded in number and time, and follows from a
// seed as far as real time lets it. It must never reach into a gateway otherwise than an operator could.
package lab

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"sprucelane.example/sprucelane/internal/daemon/discovery"
	"sprucelane.example/sprucelane/internal/lab/process"
)

// Process is a gateway as a process of its own.
type Process struct {
	*process.Process
	Listen  string
	Control string // the operators' address; empty: none
}

// Usage is what a process has used.
type Usage = process.Usage

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
	arguments := []string{"--site", site}
	if s.Ahead != 0 {
		arguments = append(arguments, "--clock-ahead", s.Ahead.String())
	}
	environment := []string{"SPRUCELANE_LABORATORY=1", "ROUTER_CONFIG=" + filepath.Join(dir, "config.json"), "ROUTER_NAME=" + s.Name,
		"ROUTER_LISTEN=" + s.Listen, "ROUTER_DISCOVERY=" + s.Discovery, "ROUTER_CONTROL=" + s.Control, "TMPDIR=" + s.Temp}
	started, err := process.Start(process.Command{Name: s.Name, Binary: s.Binary, Arguments: arguments, Environment: environment,
		Log: filepath.Join(dir, "log")})
	if err != nil {
		return nil, err
	}
	return &Process{Process: started, Listen: s.Listen, Control: s.Control}, nil
}

// Ready waits until the gateway says that it can serve, to operators where it hears them, and tells how long that took from
// its start.
func (p *Process) Ready(within time.Duration) (time.Duration, error) {
	addr := cmp.Or(p.Control, p.Listen)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ended, err := p.Ended(); ended {
			return 0, fmt.Errorf("gateway %s ended: %v: %s", p.Name, err, p.LogTail()) //nolint:errorlint // nil after exit 0
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
	return 0, fmt.Errorf("gateway %s is not ready after %v: %s", p.Name, within, p.LogTail())
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

//go:build review

// Package standin starts a small deployment for a case of the review: the project's own programs as separate
// processes, and the project's stand-ins of the platform and of the model servers in this process.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"sprucelane.example/sprucelane/internal/controlclient"
	"sprucelane.example/sprucelane/internal/fake/modelserver"
	"sprucelane.example/sprucelane/internal/lab/system"
)

// The results of a case are its exit codes.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// limit is the longest time of a case, its end included.
const limit = 110 * time.Second

// portFront is the port on which gateways take clients' requests (internal/lab/system).
const portFront = 8689

// Case is a running case.
type Case struct {
	Cluster *system.Cluster
	Trouble bool // false: the same without the disruption

	record  io.Writer
	started time.Time
	broken  int
}

// Run starts a deployment, waits until it serves under a configuration, plays the case and returns its exit code.
func Run(play func(context.Context, *Case) error) (code int) {
	record, err := os.Create(filepath.Join(os.Getenv("REVIEW_CASE"), "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer record.Close()
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", record: io.MultiWriter(record, os.Stdout), started: time.Now()}
	c.Note("the case begins; disruption: %t", c.Trouble)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := c.run(ctx, play); err != nil {
		c.Note("the case couldn't run: %v", err)
		return NotRun
	}
	if c.broken > 0 {
		c.Note("RULE BROKEN: %d times", c.broken)
		return Broken
	}
	c.Note("the rule held")
	return Held
}

func (c *Case) run(ctx context.Context, play func(context.Context, *Case) error) (err error) {
	c.Cluster, err = system.Open(system.DefaultOptions("target"))
	if err != nil {
		return err
	}
	defer func() {
		if closing := c.Cluster.Close(); closing != nil {
			c.Note("at the end: %v", closing)
		}
		c.Note("all processes have ended")
	}()
	if err := c.Cluster.StartAll(); err != nil {
		return err
	}
	return play(ctx, c)
}

// Note writes a line into record.txt.
func (c *Case) Note(format string, values ...any) {
	fmt.Fprintf(c.record, "%8.3f s  %s\n", time.Since(c.started).Seconds(), fmt.Sprintf(format, values...))
}

// Break notes that the rule was broken.
func (c *Case) Break(format string, values ...any) {
	c.broken++
	c.Note("BROKEN: "+format, values...)
}

// Order sends a configuration (PUT or PATCH) on top of a version until it is acknowledged, as the operator does.
func (c *Case) Order(ctx context.Context, method string, base uint64, document any) error {
	body, err := json.Marshal(document)
	if err != nil {
		return err
	}
	_, err = c.Cluster.Operator().Call(ctx, controlclient.Request{Method: method, Path: "/config",
		IfMatch: strconv.FormatUint(base, 10), Body: body})
	shown := string(body)
	if len(shown) > 200 {
		shown = fmt.Sprintf("(%d bytes)", len(shown))
	}
	c.Note("operator: %s /config, If-Match %d, %s -> acknowledged: %t %v", method, base, shown, err == nil, err)
	return err
}

// Answer is what a client received; Status is 0 without an answer.
type Answer struct {
	Status int
	Body   string
	Err    error
}

// Send sends one request on a connection of its own to a gateway and reads the whole answer.
func (c *Case) Send(ctx context.Context, m system.Machine, method, host, path string, headers map[string]string, body []byte) Answer {
	ctx, cancel := context.WithTimeout(ctx, 6*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method,
		"http://"+net.JoinHostPort(m.IP, strconv.Itoa(portFront))+path, bytes.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	request.Host = host
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, 4<<20))
	return Answer{Status: response.StatusCode, Body: strings.TrimSpace(string(text)), Err: err}
}

// Executions returns what model servers ran for a request id.
func (c *Case) Executions(id string) []modelserver.Execution {
	var list []modelserver.Execution
	for _, execution := range c.Cluster.ExecutionLog.Executions() {
		if execution.RequestID == id {
			list = append(list, execution)
		}
	}
	return list
}

// Sleep waits, and reports whether the case may go on.
func Sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

package system

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"sprucelane.example/sprucelane/internal/lab/process"
)

// screen draws the state of the system.
type statusScreen struct {
	out    io.Writer
	live   bool
	began  time.Time
	status string
}

// readWithin bounds how long a drawing waits for the operator's API.
const readTimeout = 300 * time.Millisecond

func (s *statusScreen) setStatus(text string) {
	s.status = text
	if !s.live {
		fmt.Fprintf(s.out, "%5.1f s: %s\n", time.Since(s.began).Seconds(), text)
	}
}

func (s *statusScreen) draw(fleet *Cluster, counts *clientCounts) {
	if s.live {
		fmt.Fprint(s.out, "\x1b[H\x1b[2J")
	}
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	version := "unknown"
	if document, err := fleet.Configuration(ctx); err == nil {
		version = fmt.Sprint(document.Generation)
	}
	counts.mu.Lock()
	defer counts.mu.Unlock()
	batch := counts.batch
	fmt.Fprintf(s.out, "%.1f s, %s; configuration %s, %d calls to the platform\n", time.Since(s.began).Seconds(), s.status, version,
		fleet.Platform.Calls())
	s.drawGateways(fleet, counts)
	s.drawOthers(fleet)
	fmt.Fprintf(s.out, "batch items: %d taken, %d completed, %d dead letters, %d with another text; requests that ran twice: %d\n",
		batch.accepted, batch.completed, batch.deadLettered, batch.wrong, fleet.ExecutionLog.Duplicates())
}

func (s *statusScreen) table(columns ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(s.out)
	t.SetStyle(table.StyleLight)
	t.AppendHeader(columns)
	return t
}

func (s *statusScreen) drawGateways(fleet *Cluster, counts *clientCounts) {
	t := s.table("gateway", "state", "asked", "served", "refused", "failed", "first event p50", "p99", "memory", "processor")
	for _, m := range counts.machines {
		sum := counts.gateways[m.Name]
		state, memory, processor := processState(fleet.Process(m, RoleGateway))
		t.AppendRow(table.Row{m.Name, state, sum.sent, sum.served, sum.rejected, sum.failed, quantile(sum, 50), quantile(sum, 99), memory,
			processor})
	}
	t.Render()
	for _, m := range counts.machines {
		if problem := counts.gateways[m.Name].lastProblem; problem != "" {
			fmt.Fprintf(s.out, "%s, latest failure: %s\n", m.Name, problem)
		}
	}
}

func quantile(sum *gatewayCounts, percent float64) string {
	return fmt.Sprintf("%.1f ms", float64(sum.firstEvent.ValueAtQuantile(percent))/1000)
}

func (s *statusScreen) drawOthers(fleet *Cluster) {
	t := s.table("process", "state", "memory", "processor")
	for _, role := range []string{RoleControl, RoleBatch} {
		for _, zone := range fleet.Options.Zones {
			m := fleet.Machine(role, zone)
			state, memory, processor := processState(fleet.Process(m, role))
			t.AppendRow(table.Row{role + " on " + m.Name, state, memory, processor})
		}
	}
	t.Render()
	t = s.table("server", "running")
	for _, server := range fleet.ModelServers() {
		t.AppendRow(table.Row{server.ID(), fmt.Sprintf("%d of %d", server.Running(), server.Slots())})
	}
	t.Render()
}

func processState(p *process.Process) (state, memory, processor string) {
	if ended, _ := p.Ended(); ended {
		return "down", "-", "-"
	}
	usage, err := p.Usage()
	if err != nil {
		return "up", "-", "-"
	}
	return "up", fmt.Sprintf("%d MB", usage.RSS>>20), fmt.Sprintf("%.1f s", usage.CPU.Seconds())
}

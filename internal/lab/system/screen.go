package system

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"sprucelane.example/sprucelane/internal/lab/process"
)

// statusScreen draws the state of a demonstration.
type statusScreen struct {
	out    io.Writer
	live   bool // clear the screen before each drawing
	began  time.Time
	status string
}

const (
	// readTimeout bounds how long a drawing waits for the operator's API.
	readTimeout = 300 * time.Millisecond
	// clearScreen moves the cursor home and clears the terminal (ANSI).
	clearScreen = "\x1b[H\x1b[2J"
)

// setStatus sets the status of the next drawings. Without a live screen it is printed at once.
func (s *statusScreen) setStatus(status string) {
	s.status = status
	if !s.live {
		fmt.Fprintf(s.out, "%5.1f s: %s\n", time.Since(s.began).Seconds(), status)
	}
}

func (s *statusScreen) draw(cluster *Cluster, counts *clientCounts) {
	if s.live {
		fmt.Fprint(s.out, clearScreen)
	}
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	generation := "unknown"
	if document, err := cluster.Configuration(ctx); err == nil {
		generation = fmt.Sprint(document.Generation)
	}
	counts.mu.Lock()
	defer counts.mu.Unlock()
	batch := counts.batch
	fmt.Fprintf(s.out, "%.1f s, %s; configuration %s, %d calls to the platform\n", time.Since(s.began).Seconds(),
		s.status, generation, cluster.Platform.Calls())
	s.drawGateways(cluster, counts)
	s.drawOthers(cluster)
	fmt.Fprintf(s.out,
		"batch items: %d taken, %d completed, %d dead letters, %d with another text; requests that ran twice: %d\n",
		batch.accepted, batch.completed, batch.deadLettered, batch.wrong, cluster.ExecutionLog.Duplicates())
}

func (s *statusScreen) table(columns ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(s.out)
	t.SetStyle(table.StyleLight)
	t.AppendHeader(columns)
	return t
}

// drawGateways draws a row for each gateway. The caller holds the mutex of counts.
func (s *statusScreen) drawGateways(cluster *Cluster, counts *clientCounts) {
	t := s.table("gateway", "state", "asked", "served", "refused", "failed", "first event p50", "p99", "memory",
		"processor")
	for _, m := range counts.machines {
		gateway := counts.gateways[m.Name]
		cells := processState(cluster.Process(m, RoleGateway))
		t.AppendRow(table.Row{m.Name, cells.state, gateway.sent, gateway.served, gateway.rejected, gateway.failed,
			gateway.quantile(50), gateway.quantile(99), cells.memory, cells.cpu})
	}
	t.Render()
	for _, m := range counts.machines {
		if problem := counts.gateways[m.Name].lastProblem; problem != "" {
			fmt.Fprintf(s.out, "%s, latest failure: %s\n", m.Name, problem)
		}
	}
}

// quantile returns a quantile of the time to the first event.
func (c *gatewayCounts) quantile(percent float64) string {
	return fmt.Sprintf("%.1f ms", float64(c.firstEvent.ValueAtQuantile(percent))/1000)
}

// drawOthers draws the control and batch processes and the model servers.
func (s *statusScreen) drawOthers(cluster *Cluster) {
	t := s.table("process", "state", "memory", "processor")
	for _, role := range []Role{RoleControl, RoleBatch} {
		for _, zone := range cluster.Options.Zones {
			m := cluster.Machine(role, zone)
			cells := processState(cluster.Process(m, role))
			t.AppendRow(table.Row{string(role) + " on " + m.Name, cells.state, cells.memory, cells.cpu})
		}
	}
	t.Render()
	t = s.table("server", "running")
	for _, server := range cluster.ModelServers() {
		t.AppendRow(table.Row{server.ID(), fmt.Sprintf("%d of %d", server.Running(), server.Slots())})
	}
	t.Render()
}

// processCells are the columns of a process.
type processCells struct{ state, memory, cpu string }

func processState(p *process.Process) processCells {
	if ended, _ := p.Ended(); ended {
		return processCells{"down", "-", "-"}
	}
	usage, err := p.Usage()
	if err != nil {
		return processCells{"up", "-", "-"}
	}
	return processCells{"up", fmt.Sprintf("%d MB", usage.RSS>>20), fmt.Sprintf("%.1f s", usage.CPU.Seconds())}
}

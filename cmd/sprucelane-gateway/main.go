// Command sprucelane-gateway is the system's gateway: it takes clients' requests and sends them on to servers.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"sprucelane.example/sprucelane/internal/gateway"
	"sprucelane.example/sprucelane/internal/node/program"
)

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	p, code := program.Begin(arguments, gateway.Check)
	if p == nil {
		return code
	}
	g := gateway.New(p.Settings, p.Log)
	go watchSignals(g, p)
	if err := g.Run(); err != nil {
		p.Log.Error().Err(err).Msg("failed")
		return program.ExitFailed
	}
	return program.ExitDone
}

// watchSignals ends the gateway on SIGTERM, and takes changed settings in on SIGHUP.
func watchSignals(g *gateway.Gateway, p *program.Program) {
	ends, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reloads, syscall.SIGHUP)
	for {
		select {
		case <-ends:
			g.End()
		case <-reloads:
			p.Reload(g.Reload)
		}
	}
}

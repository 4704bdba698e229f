// Command sprucelane-gateway runs a gateway, which accepts clients' requests and forwards them to servers.
package main

import (
	"os"

	"sprucelane.example/sprucelane/internal/gateway"
	"sprucelane.example/sprucelane/internal/node/program"
)

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	signals := program.CatchSignals()
	p, code := program.Begin(arguments, gateway.Check)
	if p == nil {
		return code
	}
	g := gateway.New(p.Settings, p.Log)
	go watchSignals(signals, g, p)
	if err := g.Run(); err != nil {
		p.Log.Error().Err(err).Msg("failed")
		return program.ExitFailed
	}
	return program.ExitOK
}

// watchSignals shuts the gateway down on SIGTERM, and reloads its settings on SIGHUP.
func watchSignals(signals *program.Signals, g *gateway.Gateway, p *program.Program) {
	for {
		select {
		case <-signals.Terminations():
			g.Shutdown()
		case <-signals.Reloads():
			p.Reload(g.Reload)
		}
	}
}

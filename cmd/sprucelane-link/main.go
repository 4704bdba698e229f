// Command sprucelane-link is the gateway's link to its peers: it runs as a child of a gateway that exchanges knowledge,
// and prints what a gateway tells. It is a program of its own because gRPC would cost every gateway memory, also where
// it is off. This file owns the wiring; it must never decide anything.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"sprucelane.example/sprucelane/internal/cli"
	"sprucelane.example/sprucelane/internal/config"
	"sprucelane.example/sprucelane/internal/knowledge"
	"sprucelane.example/sprucelane/internal/knowledge/link"
	"sprucelane.example/sprucelane/internal/knowledge/pipe"
	"sprucelane.example/sprucelane/internal/logging"
)

func main() {
	os.Exit(cli.Main(newRootCommand(os.Getenv), func(err error) { slog.Error("failed", "err", err) }))
}

func newRootCommand(getenv func(string) string) *cobra.Command {
	var format, level string
	env := cli.EnvFlags("SPRUCELANE", getenv)
	root := &cobra.Command{Use: "sprucelane-link", Short: "A gateway's link to its peers; sprucelane starts it",
		CompletionOptions: cobra.CompletionOptions{HiddenDefaultCmd: true},
		PersistentPreRunE: func(cmd *cobra.Command, args []string) error {
			if err := env(cmd, args); err != nil {
				return err
			}
			return logging.Set(os.Stderr, format, level)
		}}
	root.PersistentFlags().StringVar(&format, "log-format", "text", "form of log lines: text or json")
	root.PersistentFlags().StringVar(&level, "log-level", "info", "least level that is logged")
	root.AddCommand(knowledgeCommand(), &cobra.Command{Use: "exchange", Hidden: true, Args: cobra.NoArgs,
		Short: "Exchange knowledge for the gateway at the other end of standard input and output",
		RunE: func(*cobra.Command, []string) error {
			signal.Ignore(os.Interrupt) // meant for the gateway, which ends this
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
			defer stop()
			return exchange(ctx, os.Stdin, os.Stdout)
		}})
	return root
}

// exchange serves one gateway until it closes its end of the pipe.
func exchange(ctx context.Context, in io.Reader, out io.Writer) error {
	end := pipe.New(in, out)
	var hello pipe.Hello
	if err := end.Receive(&hello); err != nil {
		return err
	}
	origin := time.Now()
	opt := link.Options{Self: hello.Me, Listen: hello.Listen, Peers: hello.Peers, Now: func() knowledge.Time { return time.Hour + time.Since(origin) },
		Table: knowledge.Options{MaxSuspectShare: hello.SuspectShare, MaxRoom: hello.RoomMost}}
	if !hello.Plain {
		server, client, err := config.MutualTLS(hello.CertFile, hello.KeyFile, hello.CAFile, hello.ServerName)
		if err != nil {
			return err
		}
		opt.TLS = &link.TLS{Server: server, Client: client}
	}
	// The first state says which members are listed: facts on others would be dropped.
	var state pipe.State
	if err := end.Receive(&state); err != nil {
		return err
	}
	e, err := link.Open(opt, state.Own)
	if err != nil {
		return err
	}
	defer e.Close()
	var mu sync.Mutex
	learnt := e.InitialSync()
	say := func(priors []knowledge.Prior) error {
		mu.Lock()
		defer mu.Unlock()
		news := pipe.Update{Priors: priors, Addr: e.Addr(), Counters: e.Counters()}
		select {
		case <-learnt:
			news.Learnt = true
		default:
		}
		return end.Send(news)
	}
	states, failed := make(chan pipe.State), make(chan error, 1)
	go func() {
		for {
			var s pipe.State
			if err := end.Receive(&s); err != nil {
				failed <- err
				return
			}
			select {
			case states <- s:
			case <-ctx.Done():
				return
			}
		}
	}()
	if err := say(e.Update(state.Own, state.Deaf, state.Blind)); err != nil {
		return err
	}
	for first := learnt; ; {
		select {
		case s := <-states:
			if err := say(e.Update(s.Own, s.Deaf, s.Blind)); err != nil {
				return err
			}
		case <-first:
			first = nil
			if err := say(e.Priors()); err != nil {
				return err
			}
		case err := <-failed:
			if errors.Is(err, io.EOF) {
				return nil
			}
			return fmt.Errorf("the gateway's end: %w", err)
		case <-ctx.Done():
			return nil
		}
	}
}

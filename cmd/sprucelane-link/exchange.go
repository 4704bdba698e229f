package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"sprucelane.example/sprucelane/internal/daemon/config"
	"sprucelane.example/sprucelane/internal/daemon/knowledge"
	"sprucelane.example/sprucelane/internal/daemon/knowledge/link"
	"sprucelane.example/sprucelane/internal/daemon/knowledge/pipe"
)

// clockStart is the time of the exchange's clock when the program starts. It is well above 0, so that what was seen
// before the start has a time, too.
const clockStart = time.Hour

// exchange serves one gateway until that closes its end of the pipe or ctx ends. The gateway says hello and then sends
// its states; each is answered with an update, and one more is sent once the initial sync with the peers has ended.
func exchange(ctx context.Context, in io.Reader, out io.Writer) error {
	end := pipe.New(in, out)
	var hello pipe.Hello
	if err := end.Receive(&hello); err != nil {
		return err
	}
	options, err := exchangeOptions(hello)
	if err != nil {
		return err
	}
	// The first state says which servers are listed: facts on others would be dropped.
	var state pipe.State
	if err := end.Receive(&state); err != nil {
		return err
	}
	e, err := link.Open(options, state.Own)
	if err != nil {
		return err
	}
	defer e.Close()
	synced := e.InitialSync()
	send := func(priors []knowledge.Prior) error {
		update := pipe.Update{Priors: priors, Addr: e.Addr(), Counters: e.Counters()}
		select {
		case <-synced:
			update.Learnt = true
		default:
		}
		return end.Send(update)
	}
	states, failed := receiveStates(ctx, end)
	if err := send(e.Update(state.Own, state.Deaf, state.Blind)); err != nil {
		return err
	}
	for initialSync := synced; ; {
		select {
		case s := <-states:
			if err := send(e.Update(s.Own, s.Deaf, s.Blind)); err != nil {
				return err
			}
		case <-initialSync:
			initialSync = nil // reported once
			if err := send(e.Priors()); err != nil {
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

func exchangeOptions(hello pipe.Hello) (link.Options, error) {
	start := time.Now()
	options := link.Options{
		Self:   hello.Me,
		Listen: hello.Listen,
		Peers:  hello.Peers,
		Now:    func() knowledge.Time { return clockStart + time.Since(start) },
		Table:  knowledge.Options{MaxSuspectShare: hello.SuspectShare, MaxRoom: hello.RoomMost},
	}
	if !hello.Plain {
		server, client, err := config.MutualTLS(hello.CertFile, hello.KeyFile, hello.CAFile, hello.ServerName)
		if err != nil {
			return link.Options{}, err
		}
		options.TLS = &link.TLS{Server: server, Client: client}
	}
	return options, nil
}

// receiveStates receives the gateway's states in a goroutine of its own, until one fails or ctx ends.
func receiveStates(ctx context.Context, end *pipe.Conn) (<-chan pipe.State, <-chan error) {
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
	return states, failed
}

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

// clockStart is the time of the exchange's clock when the program starts. It is well above 0, so that observations from
// before the start have a valid time, too.
const clockStart = time.Hour

// exchange serves one gateway until the gateway closes its end of the pipe or ctx ends. The gateway sends a hello and
// then its states. Each state is answered with an update, and one more update is sent once the initial sync with the
// peers has ended.
func exchange(ctx context.Context, in io.Reader, out io.Writer) error {
	conn := pipe.New(in, out)
	var hello pipe.Hello
	if err := conn.Receive(&hello); err != nil {
		return err
	}
	options, err := exchangeOptions(hello)
	if err != nil {
		return err
	}
	// The first state is needed before the exchange opens: it names the listed servers, and facts about other servers
	// would be dropped.
	var state pipe.State
	if err := conn.Receive(&state); err != nil {
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
		return conn.Send(update)
	}
	states, failed := receiveStates(ctx, conn)
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
			initialSync = nil // so that the end of the initial sync is reported only once
			if err := send(e.Priors()); err != nil {
				return err
			}
		case err := <-failed:
			if errors.Is(err, io.EOF) {
				return nil
			}
			return fmt.Errorf("receive a state from the gateway: %w", err)
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

// receiveStates starts a goroutine that receives the gateway's states until receiving fails or ctx ends. The states and
// the error are sent on the returned channels.
func receiveStates(ctx context.Context, conn *pipe.Conn) (<-chan pipe.State, <-chan error) {
	states, failed := make(chan pipe.State), make(chan error, 1)
	go func() {
		for {
			var s pipe.State
			if err := conn.Receive(&s); err != nil {
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

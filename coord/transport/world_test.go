package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const (
	defaultSimulations  = 40
	maxBugSimulations   = 60
	simulatedClients    = 3
	workersPerClient    = 8 // of each client
	callsPerWorker      = 40
	maxTextBytes        = 2000
	maxRelayChunk       = 2500 // bytes that pass at once
	maxRelayDelay       = 2 * time.Millisecond
	maxBytesBeforeFault = 100 << 10 // of a connection until something happens to it
)

// callWorld is clients, a server and connections that break, in virtual time.
type callSimulation struct {
	random *rand.Rand
	dials  chan net.Conn
	done   chan struct{}

	mutex      sync.Mutex
	handled    map[int]int
	violations []string
	counts     map[string]int
}

func (w *callSimulation) failf(format string, parts ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, parts...))
}

func (w *callSimulation) count(what string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.counts[what]++
}

// draw gives a number from 0 on.
func (w *callSimulation) draw(below int) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.random.IntN(below)
}

// dial opens a connection over a relay that breaks it at some byte of either direction.
func (w *callSimulation) dial(ctx context.Context, _ string) (net.Conn, error) {
	near, relayNear := net.Pipe()
	relayFar, far := net.Pipe()
	go w.relay(relayFar, relayNear)
	go w.relay(relayNear, relayFar)
	select {
	case w.dials <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// relay passes bytes on until some byte; then it ends both connections, falls silent, or takes what comes and loses it.
func (w *callSimulation) relay(to, from net.Conn) {
	left := w.draw(maxBytesBeforeFault)
	how := w.draw(3)
	buffer := make([]byte, maxRelayChunk)
	for {
		n, err := from.Read(buffer[:1+w.draw(len(buffer))])
		time.Sleep(time.Duration(w.draw(int(maxRelayDelay))))
		if left -= n; err != nil || left < 0 && how == 0 {
			_, _ = to.Write(buffer[:max(0, min(n, n+left))])
			to.Close()
			from.Close()
			return
		}
		if left < 0 && how == 1 {
			<-w.done
			to.Close()
			from.Close()
			return
		}
		if left < 0 {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			from.Close()
			return
		}
	}
}

// Accept implements net.Listener.
func (w *callSimulation) Accept() (net.Conn, error) {
	select {
	case connection := <-w.dials:
		return connection, nil
	case <-w.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (w *callSimulation) Close() error { return nil }

// Addr implements net.Listener.
func (w *callSimulation) Addr() net.Addr { return &net.TCPAddr{} }

// serve answers calls as a server does that sends replies twice, late and to numbers that nobody waits for.
func (w *callSimulation) serve(s *Server) {
	for {
		connection, err := w.Accept()
		if err != nil {
			return
		}
		go func() {
			in := bufio.NewReader(connection)
			peer, err := s.handshake(connection, in)
			if err != nil {
				connection.Close()
				return
			}
			l := newLink(connection, in, &s.options, peer)
			for {
				received, message, err := l.receive()
				if err != nil {
					l.end(err)
					return
				}
				if request, ok := message.(echoRequest); ok && received.kind == frameRequest {
					go w.answer(l, received.call, request)
				}
			}
		}()
	}
}

func (w *callSimulation) answer(l *link, call uint32, request echoRequest) {
	w.mutex.Lock()
	w.handled[request.Number]++
	w.mutex.Unlock()
	time.Sleep(time.Duration(w.draw(int(20 * maxRelayDelay))))
	if w.draw(20) == 0 {
		_, _ = l.send(frameReply, call+1<<20, echoReply{Number: -1})
	}
	_, _ = l.send(frameReply, call, echoReply(request))
	if w.draw(5) == 0 {
		w.count("doubled replies")
		time.Sleep(time.Duration(w.draw(int(20 * maxRelayDelay))))
		_, _ = l.send(frameReply, call, echoReply{Number: -2})
	}
}

// call makes one call and holds that what it is told is true.
func (w *callSimulation) call(client *Client, number int, outcomes map[int]error) {
	wait := time.Duration(1+w.draw(200)) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	text := strings.Repeat("x", w.draw(maxTextBytes))
	reply, err := client.Call(ctx, echoRequest{Number: number, Text: text})
	if err == nil {
		got, ok := reply.(echoReply)
		if !ok || got.Number != number || got.Text != text {
			w.failf("call %d got the reply %+v", number, reply)
		}
	}
	w.mutex.Lock()
	outcomes[number] = err
	w.mutex.Unlock()
}

// check holds what each call was told against what the server did, when all is over.
func (w *callSimulation) check(outcomes map[int]error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for number, err := range outcomes {
		most, least := 0, 0
		switch {
		case err == nil:
			most, least = 1, 1
			w.counts["replies"]++
		case errors.Is(err, ErrUncertain):
			most = 1
			w.counts["uncertain"]++
		default:
			w.counts["not sent"]++
		}
		if handled := w.handled[number]; handled < least || handled > most {
			w.violations = append(w.violations, fmt.Sprintf("call %d was told %v and has been handled %d times", number, err, handled))
		}
	}
}

// playCalls plays the world of a seed.
func simulateCalls(t *testing.T, seed uint64, injected injectedBugs) (violations []string, counts map[string]int) {
	synctest.Test(t, func(*testing.T) {
		w := &callSimulation{random: rand.New(rand.NewPCG(seed, 5)), dials: make(chan net.Conn), done: make(chan struct{}),
			handled: map[int]int{}, counts: map[string]int{}}
		options := testOptions("machine")
		options.Heartbeat = 50 * time.Millisecond
		options.Dial, options.injected = w.dial, injected
		server := &Server{options: options.withDefaults()}
		go w.serve(server)
		outcomes := map[int]error{}
		var all sync.WaitGroup
		var clients []*Client
		for c := range simulatedClients {
			client := NewClient("server", options, nil, nil)
			clients = append(clients, client)
			for worker := range workersPerClient {
				all.Go(func() {
					for i := range callsPerWorker {
						time.Sleep(time.Duration(w.draw(int(5 * time.Millisecond))))
						w.call(client, (c*workersPerClient+worker)*callsPerWorker+i, outcomes)
					}
				})
			}
		}
		all.Wait()
		for _, client := range clients {
			client.Close()
		}
		close(w.done)
		time.Sleep(time.Minute) // what was on its way has come
		w.check(outcomes)
		violations, counts = w.violations, w.counts
	})
	return violations, counts
}

// TestRandomCalls plays worlds of calls over connections that break; SEEDS=N plays N of them, FIRST=S starts at seed S.
func TestRandomCalls(t *testing.T) {
	first, _ := strconv.ParseUint(os.Getenv("FIRST"), 10, 64)
	simulations := defaultSimulations
	if n, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		simulations = n
	}
	all := map[string]int{}
	for at := range simulations {
		seed := first + uint64(at)
		violations, counts := simulateCalls(t, seed, injectedBugs{})
		for _, one := range violations {
			t.Errorf("replay with FIRST=%d SEEDS=1: %s", seed, one)
		}
		for name, n := range counts {
			all[name] += n
		}
	}
	t.Log(simulations, "worlds from", first, all)
	for _, name := range []string{"replies", "uncertain", "not sent", "doubled replies"} {
		if all[name] == 0 {
			t.Errorf("never came about: %s", name)
		}
	}
}

// TestRandomCallsFindBugs plants bugs one by one; some world must show each.
func TestRandomCallsFindInjectedBugs(t *testing.T) {
	for name, injected := range map[string]injectedBugs{
		"a reply goes to any call that waits":                                  {replyToAnyCall: true},
		"a call counts as not sent whenever its connection ended":              {neverUncertain: true},
		"a frame counts as handed once it has been written, instead of before": {handedOffAfterWrite: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= maxBugSimulations; seed++ {
				if violations, _ := simulateCalls(t, seed, injected); len(violations) > 0 {
					t.Logf("seed %d: %s", seed, violations[0])
					return
				}
			}
			t.Errorf("%d worlds didn't show it", maxBugSimulations)
		})
	}
}

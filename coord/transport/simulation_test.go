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

// Sizes of a simulation.
const (
	defaultSimulations  = 40
	maxBugSimulations   = 60
	simulatedClients    = 3
	workersPerClient    = 8
	callsPerWorker      = 40
	maxTextBytes        = 2000
	maxRelayChunk       = 2500 // bytes that a relay forwards at once
	maxRelayDelay       = 2 * time.Millisecond
	maxBytesBeforeFault = 100 << 10 // bytes over one direction of a connection
)

// callSimulation runs clients and a server in virtual time over connections that break, and checks the outcome
// of each call against the requests that the server handled.
type callSimulation struct {
	random *rand.Rand
	dials  chan net.Conn
	done   chan struct{}

	mutex      sync.Mutex     // guards random and the fields below
	handled    map[int]int    // how often each request was handled, by its number
	violations []string       // of the certainty of calls
	counts     map[string]int // of outcomes and faults
}

// failf records a violation.
func (s *callSimulation) failf(format string, parts ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, parts...))
}

// count counts an outcome or a fault.
func (s *callSimulation) count(what string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts[what]++
}

// draw returns a random number in [0, below).
func (s *callSimulation) draw(below int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.IntN(below)
}

// dial opens a connection over relays that break it at a random byte of either direction.
func (s *callSimulation) dial(ctx context.Context, _ string) (net.Conn, error) {
	near, relayNear := net.Pipe()
	relayFar, far := net.Pipe()
	go s.relay(relayFar, relayNear)
	go s.relay(relayNear, relayFar)
	select {
	case s.dials <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// relay forwards a random number of bytes. Then it ends both connections, stops reading, or continues to read
// and discards everything.
func (s *callSimulation) relay(to, from net.Conn) {
	remaining := s.draw(maxBytesBeforeFault)
	fault := s.draw(3)
	buffer := make([]byte, maxRelayChunk)
	for {
		n, err := from.Read(buffer[:1+s.draw(len(buffer))])
		time.Sleep(time.Duration(s.draw(int(maxRelayDelay))))
		if remaining -= n; err != nil || remaining < 0 && fault == 0 {
			_, _ = to.Write(buffer[:max(0, min(n, n+remaining))])
			to.Close()
			from.Close()
			return
		}
		if remaining < 0 && fault == 1 {
			<-s.done
			to.Close()
			from.Close()
			return
		}
		if remaining < 0 {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			from.Close()
			return
		}
	}
}

// Accept implements net.Listener.
func (s *callSimulation) Accept() (net.Conn, error) {
	select {
	case connection := <-s.dials:
		return connection, nil
	case <-s.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (s *callSimulation) Close() error { return nil }

// Addr implements net.Listener.
func (s *callSimulation) Addr() net.Addr { return &net.TCPAddr{} }

// serve answers calls. Some answers are late, sent twice, or sent to a call number that no call has.
func (s *callSimulation) serve(server *Server) {
	for {
		connection, err := s.Accept()
		if err != nil {
			return
		}
		go func() {
			in := bufio.NewReader(connection)
			peer, err := server.handshake(connection, in)
			if err != nil {
				connection.Close()
				return
			}
			l := newLink(connection, in, &server.options, peer)
			for {
				received, message, err := l.receive()
				if err != nil {
					l.end(err)
					return
				}
				if request, ok := message.(echoRequest); ok && received.kind == frameRequest {
					go s.answer(l, received.call, request)
				}
			}
		}()
	}
}

// answer handles a request and replies to it.
func (s *callSimulation) answer(l *link, call uint32, request echoRequest) {
	s.mutex.Lock()
	s.handled[request.Number]++
	s.mutex.Unlock()
	time.Sleep(time.Duration(s.draw(int(20 * maxRelayDelay))))
	if s.draw(20) == 0 {
		_, _ = l.send(frameReply, call+1<<20, echoReply{Number: -1})
	}
	_, _ = l.send(frameReply, call, echoReply(request))
	if s.draw(5) == 0 {
		s.count("doubled replies")
		time.Sleep(time.Duration(s.draw(int(20 * maxRelayDelay))))
		_, _ = l.send(frameReply, call, echoReply{Number: -2})
	}
}

// call makes one call, checks its reply and records its outcome.
func (s *callSimulation) call(client *Client, number int, outcomes map[int]error) {
	wait := time.Duration(1+s.draw(200)) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	text := strings.Repeat("x", s.draw(maxTextBytes))
	reply, err := client.Call(ctx, echoRequest{Number: number, Text: text})
	if err == nil {
		got, ok := reply.(echoReply)
		if !ok || got.Number != number || got.Text != text {
			s.failf("call %d got the reply %+v", number, reply)
		}
	}
	s.mutex.Lock()
	outcomes[number] = err
	s.mutex.Unlock()
}

// check compares the outcome of each call with how often its request was handled, after the end of the
// simulation.
func (s *callSimulation) check(outcomes map[int]error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for number, err := range outcomes {
		most, least := 0, 0
		switch {
		case err == nil:
			most, least = 1, 1
			s.counts["replies"]++
		case errors.Is(err, ErrUncertain):
			most = 1
			s.counts["uncertain"]++
		default:
			s.counts["not sent"]++
		}
		if handled := s.handled[number]; handled < least || handled > most {
			s.violations = append(s.violations,
				fmt.Sprintf("call %d returned %v and was handled %d times", number, err, handled))
		}
	}
}

// simulateCalls runs the simulation of a seed and returns the violations that it found.
func simulateCalls(t *testing.T, seed uint64, injected injectedBugs) (violations []string, counts map[string]int) {
	synctest.Test(t, func(*testing.T) {
		s := &callSimulation{random: rand.New(rand.NewPCG(seed, 5)), dials: make(chan net.Conn), done: make(chan struct{}),
			handled: map[int]int{}, counts: map[string]int{}}
		options := testOptions("machine")
		options.Heartbeat = 50 * time.Millisecond
		options.Dial, options.injected = s.dial, injected
		server := &Server{options: options.withDefaults()}
		go s.serve(server)
		outcomes := map[int]error{}
		var all sync.WaitGroup
		var clients []*Client
		for c := range simulatedClients {
			client := NewClient("server", options, nil, nil)
			clients = append(clients, client)
			for worker := range workersPerClient {
				all.Go(func() {
					for i := range callsPerWorker {
						time.Sleep(time.Duration(s.draw(int(5 * time.Millisecond))))
						s.call(client, (c*workersPerClient+worker)*callsPerWorker+i, outcomes)
					}
				})
			}
		}
		all.Wait()
		for _, client := range clients {
			client.Close()
		}
		close(s.done)
		time.Sleep(time.Minute) // until everything in flight has arrived
		s.check(outcomes)
		violations, counts = s.violations, s.counts
	})
	return violations, counts
}

// TestRandomCalls runs simulations of calls over connections that break. The environment variables SEEDS and
// FIRST set the number of simulations and the first seed.
func TestRandomCalls(t *testing.T) {
	first, _ := strconv.ParseUint(os.Getenv("FIRST"), 10, 64)
	simulations := defaultSimulations
	if n, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		simulations = n
	}
	totals := map[string]int{}
	for at := range simulations {
		seed := first + uint64(at)
		violations, counts := simulateCalls(t, seed, injectedBugs{})
		for _, violation := range violations {
			t.Errorf("replay with FIRST=%d SEEDS=1: %s", seed, violation)
		}
		for name, n := range counts {
			totals[name] += n
		}
	}
	t.Log(simulations, "simulations from", first, totals)
	for _, name := range []string{"replies", "uncertain", "not sent", "doubled replies"} {
		if totals[name] == 0 {
			t.Errorf("no simulation had the outcome or fault %q", name)
		}
	}
}

// TestRandomCallsFindInjectedBugs injects bugs one at a time. At least one simulation must find each bug.
func TestRandomCallsFindInjectedBugs(t *testing.T) {
	for name, injected := range map[string]injectedBugs{
		"a reply goes to any call that waits":                                  {replyToAnyCall: true},
		"a call counts as not sent whenever its connection ended":              {neverUncertain: true},
		"a frame counts as handed once it has been written, instead of before": {handedOffAfterWrite: maxRelayDelay},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= maxBugSimulations; seed++ {
				if violations, _ := simulateCalls(t, seed, injected); len(violations) > 0 {
					t.Logf("seed %d: %s", seed, violations[0])
					return
				}
			}
			t.Errorf("%d simulations did not find the injected bug", maxBugSimulations)
		})
	}
}

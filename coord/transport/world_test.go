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
	fixedWorlds  = 40
	plantedMost  = 60
	worldClients = 3
	worldWorkers = 8 // of each client
	worldCalls   = 40
	longestText  = 2000
	pieceMost    = 2500 // bytes that pass at once
	linkLatency  = 2 * time.Millisecond
	mostBytes    = 100 << 10 // of a connection until something happens to it
)

// callWorld is clients, a server and connections that break, in virtual time.
type callWorld struct {
	random *rand.Rand
	dials  chan net.Conn
	done   chan struct{}

	mutex   sync.Mutex
	handled map[int]int
	broken  []string
	counts  map[string]int
}

func (w *callWorld) failf(format string, parts ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.broken = append(w.broken, fmt.Sprintf(format, parts...))
}

func (w *callWorld) count(what string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.counts[what]++
}

// draw gives a number from 0 on.
func (w *callWorld) draw(below int) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.random.IntN(below)
}

// dial opens a connection over a relay that breaks it at some byte of either direction.
func (w *callWorld) dial(ctx context.Context, _ string) (net.Conn, error) {
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
func (w *callWorld) relay(to, from net.Conn) {
	left := w.draw(mostBytes)
	how := w.draw(3)
	buffer := make([]byte, pieceMost)
	for {
		n, err := from.Read(buffer[:1+w.draw(len(buffer))])
		time.Sleep(time.Duration(w.draw(int(linkLatency))))
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
func (w *callWorld) Accept() (net.Conn, error) {
	select {
	case connection := <-w.dials:
		return connection, nil
	case <-w.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (w *callWorld) Close() error { return nil }

// Addr implements net.Listener.
func (w *callWorld) Addr() net.Addr { return &net.TCPAddr{} }

// serve answers calls as a server does that sends replies twice, late and to numbers that nobody waits for.
func (w *callWorld) serve(s *Server) {
	for {
		connection, err := w.Accept()
		if err != nil {
			return
		}
		go func() {
			in := bufio.NewReader(connection)
			peer, err := s.greet(connection, in)
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

func (w *callWorld) answer(l *link, call uint32, request echoRequest) {
	w.mutex.Lock()
	w.handled[request.Number]++
	w.mutex.Unlock()
	time.Sleep(time.Duration(w.draw(int(20 * linkLatency))))
	if w.draw(20) == 0 {
		_, _ = l.send(frameReply, call+1<<20, echoReply{Number: -1})
	}
	_, _ = l.send(frameReply, call, echoReply(request))
	if w.draw(5) == 0 {
		w.count("doubled replies")
		time.Sleep(time.Duration(w.draw(int(20 * linkLatency))))
		_, _ = l.send(frameReply, call, echoReply{Number: -2})
	}
}

// call makes one call and holds that what it is told is true.
func (w *callWorld) call(client *Client, number int, told map[int]error) {
	wait := time.Duration(1+w.draw(200)) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	text := strings.Repeat("x", w.draw(longestText))
	reply, err := client.Call(ctx, echoRequest{Number: number, Text: text})
	if err == nil {
		got, ok := reply.(echoReply)
		if !ok || got.Number != number || got.Text != text {
			w.failf("call %d got the reply %+v", number, reply)
		}
	}
	w.mutex.Lock()
	told[number] = err
	w.mutex.Unlock()
}

// check holds what each call was told against what the server did, when all is over.
func (w *callWorld) check(told map[int]error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for number, err := range told {
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
			w.broken = append(w.broken, fmt.Sprintf("call %d was told %v and has been handled %d times", number, err, handled))
		}
	}
}

// playCalls plays the world of a seed.
func playCalls(t *testing.T, seed uint64, plant bugs) (broken []string, counts map[string]int) {
	synctest.Test(t, func(*testing.T) {
		w := &callWorld{random: rand.New(rand.NewPCG(seed, 5)), dials: make(chan net.Conn), done: make(chan struct{}),
			handled: map[int]int{}, counts: map[string]int{}}
		options := testOptions("machine")
		options.Heartbeat = 50 * time.Millisecond
		options.Dial, options.bugs = w.dial, plant
		server := &Server{options: options.withDefaults()}
		go w.serve(server)
		told := map[int]error{}
		var all sync.WaitGroup
		var clients []*Client
		for c := range worldClients {
			client := NewClient("server", options, nil, nil)
			clients = append(clients, client)
			for worker := range worldWorkers {
				all.Go(func() {
					for i := range worldCalls {
						time.Sleep(time.Duration(w.draw(int(5 * time.Millisecond))))
						w.call(client, (c*worldWorkers+worker)*worldCalls+i, told)
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
		w.check(told)
		broken, counts = w.broken, w.counts
	})
	return broken, counts
}

// TestRandomCalls plays worlds of calls over connections that break; SEEDS=N plays N of them, FIRST=S starts at seed S.
func TestRandomCalls(t *testing.T) {
	first, _ := strconv.ParseUint(os.Getenv("FIRST"), 10, 64)
	worlds := fixedWorlds
	if n, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		worlds = n
	}
	all := map[string]int{}
	for at := range worlds {
		seed := first + uint64(at)
		broken, counts := playCalls(t, seed, bugs{})
		for _, one := range broken {
			t.Errorf("replay with FIRST=%d SEEDS=1: %s", seed, one)
		}
		for name, n := range counts {
			all[name] += n
		}
	}
	t.Log(worlds, "worlds from", first, all)
	for _, name := range []string{"replies", "uncertain", "not sent", "doubled replies"} {
		if all[name] == 0 {
			t.Errorf("never came about: %s", name)
		}
	}
}

// TestRandomCallsFindBugs plants bugs one by one; some world must show each.
func TestRandomCallsFindBugs(t *testing.T) {
	for name, plant := range map[string]bugs{
		"a reply goes to any call that waits":                                  {anyCall: true},
		"a call counts as not sent whenever its connection ended":              {neverHanded: true},
		"a frame counts as handed once it has been written, instead of before": {handedLate: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= plantedMost; seed++ {
				if broken, _ := playCalls(t, seed, plant); len(broken) > 0 {
					t.Logf("seed %d: %s", seed, broken[0])
					return
				}
			}
			t.Errorf("%d worlds didn't show it", plantedMost)
		})
	}
}

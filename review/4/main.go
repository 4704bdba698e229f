//go:build review

// Command 4 shows that a gateway cuts a stream because its server is silent for a moment, though no other server can
// continue it. See claim.txt.
package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sprucelane.example/sprucelane/review/standin2/lab"
)

const (
	requests = 4
	events   = 8
	silence  = 1500 * time.Millisecond // below the 2 s for which every client waits
)

func main() {
	l, err := lab.Open("review/4/record.txt")
	if err != nil {
		fmt.Println("NOT RUN:", err)
		panic(err)
	}
	var aborted atomic.Int32 // streams whose connection was closed while the server was at work
	// The first server works. In the middle of each stream it pauses, as it does when it preempts a request and reads
	// its prompt again.
	works := func(s *lab.Server, w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		l.Logf("server %s: begins %s, Last-Event-Id %q", s.ID, id, r.Header.Get("Last-Event-Id"))
		s.StartStream(w, id)
		for number := 1; number <= events; number++ {
			pause := 60 * time.Millisecond
			if number == 4 && l.Trouble && strings.HasPrefix(id, "case") {
				pause = silence
			}
			select {
			case <-r.Context().Done():
				aborted.Add(1)
				l.Logf("server %s: the connection of %s was closed before event %d", s.ID, id, number)
				return
			case <-time.After(pause):
			}
			if s.Event(w, id, number) != nil {
				return
			}
		}
		l.Logf("server %s: %s is complete", s.ID, id)
	}
	// The second server is full: all its slots and its queue are taken by other callers.
	full := func(s *lab.Server, w http.ResponseWriter, r *http.Request) {
		l.Logf("server %s: full, rejects %s (X-Not-Executed)", s.ID, r.Header.Get("X-Request-Id"))
		s.Reject(w, http.StatusServiceUnavailable)
	}
	_, err = l.AddServer(lab.Service, 16, works)
	l.Must(err)
	_, err = l.AddServer(lab.Service, 16, full)
	l.Must(err)
	l.Must(l.StartSystem(3, 3))
	l.Must(l.Put(0, lab.Document(3, lab.StreamRoute(), lab.BatchRoute()), 20*time.Second))
	l.Must(l.WaitReady(3, 20*time.Second))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	l.Must(l.AwaitStream(ctx, l.Gateway(0), "/pufi791/2f"))
	time.Sleep(4 * time.Second) // calm for liveness-ms

	var begun, ended sync.WaitGroup
	answers := make([]lab.Answer, requests)
	for i := range requests {
		begun.Add(1)
		ended.Go(func() {
			id := fmt.Sprintf("case%012x", i+1)
			var once sync.Once
			answers[i] = l.Stream(l.Gateway(0), "/pufi791/2f", id, map[string]string{"X-Deadline-Ms": "5000"},
				func() { once.Do(begun.Done) })
			once.Do(begun.Done)
			l.Logf("client: %s: status %d, %d of %d events, complete %v after %v, %v", id, answers[i].Status,
				answers[i].Events(), events, answers[i].Complete, answers[i].Took.Round(time.Millisecond), answers[i].Err)
		})
	}
	begun.Wait()
	if l.Trouble {
		l.Signal("gateway-0", syscall.SIGTERM)
	}
	ended.Wait()
	cut, whole := 0, 0
	for _, answer := range answers {
		switch {
		case answer.Status == 200 && answer.Complete && answer.Events() == events:
			whole++
		case answer.Status == 200:
			cut++
		}
	}
	switch {
	case cut > 0:
		l.Finish(lab.ExitBroken, "LOST: %d of %d streams were cut, %d while their server was at work and kept silent for %v",
			cut, requests, aborted.Load(), silence)
	case whole < requests:
		l.Finish(lab.ExitNotRun, "only %d of %d streams began", whole, requests)
	}
	l.Finish(lab.ExitHeld, "all %d streams are whole", requests)
}

package policy_test

import (
	"fmt"
	"time"

	"sprucelane.example/sprucelane/policy"
)

// printer is a Host that prints the actions. A real Host sends attempts, answers clients and sets timers.
type printer struct{}

func (printer) Send(id policy.RequestID, to policy.ServerID, until policy.Time) {
	fmt.Printf("send request %d to server %d\n", id, to)
}
func (printer) Refuse(id policy.RequestID, wait time.Duration) { fmt.Printf("refuse request %d\n", id) }
func (printer) Fail(id policy.RequestID)                       { fmt.Printf("fail request %d\n", id) }
func (printer) Cancel(id policy.RequestID, attempt int)        {}
func (printer) Timer(tag uint64, after time.Duration)          {}
func (printer) SendToPeer(peer int, message []byte)            {}
func (printer) Watch()                                         {}
func (printer) Log(text string)                                { fmt.Println(text) }

func Example() {
	g, err := policy.New(policy.Settings{
		Gateways: 1, Tick: time.Millisecond, MaxAttempts: 3,
		Classes: []policy.Class{{Name: "read", LatencyTarget: 500 * time.Millisecond, Deadline: 2 * time.Second, Value: 1}},
		Plans:   []policy.Plan{{Name: "basic", Rate: 1, Burst: 1, ValueMultiplier: 1, OverQuotaCost: 1}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	g.Attach(printer{})
	now := time.Hour
	g.Servers(now, policy.ListFull, []policy.ServerInfo{{ID: 8001, Weight: 1}})
	g.Request(now, policy.Request{ID: 1, Customer: 7, Deadline: now + 2*time.Second, Units: 1, SetSize: 1})
	g.Outcome(now+40*time.Millisecond, policy.Outcome{ID: 1, Server: 8001, Elapsed: 40 * time.Millisecond,
		Ending: policy.Rejected})
	g.Request(now, policy.Request{ID: 2, Class: 9, Customer: 7, Deadline: now + 2*time.Second})
	// Output:
	// send request 1 to server 8001
	// send request 1 to server 8001
	// refuse request 2
}

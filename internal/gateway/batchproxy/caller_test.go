package batchproxy

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/stretchr/testify/assert"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/serverload"
)

func TestTargetList(t *testing.T) {
	Convey("An owner that a store names is asked next, and no store is asked twice", t, func() {
		r := newTargetList([]string{"a", "b", "c"})
		So(r.next(), ShouldEqual, "a")
		r.redirect("c")
		So(r.next(), ShouldEqual, "c")
		r.redirect("a")
		So(r.hasNext(), ShouldBeTrue)
		So(r.next(), ShouldEqual, "b")
		So(r.hasNext(), ShouldBeFalse)
		So(r.next(), ShouldBeEmpty)
	})
	Convey("Stores of the gateway's zone are asked first, retiring ones last, retired ones not at all", t, func() {
		c := &Caller{settings: &node.Settings{Zone: "z"}}
		member := func(ip, zone string, state protocol.StoreState) protocol.StoreMember {
			return protocol.StoreMember{Process: protocol.Process{IP: ip, Zone: zone}, State: state}
		}
		for range 5 {
			order := c.preference([]protocol.StoreMember{member("1", "y", protocol.StoreActive), member("2", "z", protocol.StoreActive),
				member("3", "z", protocol.StoreRetiring), member("4", "z", protocol.StoreRetired)})
			So(order, ShouldResemble, []string{"2", "1", "3"})
		}
		So(c.preference(nil), ShouldBeEmpty)
	})
}

func TestPromises(t *testing.T) {
	Convey("A submission that a store may have accepted is not rejected with a promise", t, func() {
		submit, read := protocol.BatchCall{Operation: protocol.BatchSubmit}, protocol.BatchCall{Operation: protocol.BatchRead}
		for _, status := range []int{http.StatusTooManyRequests, http.StatusServiceUnavailable} {
			answer := protocol.BatchAnswer{Status: status}
			So(withdrawPromise(submit, answer, true).Status, ShouldEqual, http.StatusGatewayTimeout)
			So(withdrawPromise(submit, answer, false).Status, ShouldEqual, status)
			So(withdrawPromise(read, answer, true).Status, ShouldEqual, status)
		}
		So(withdrawPromise(submit, protocol.BatchAnswer{Status: http.StatusAccepted}, true).Status, ShouldEqual, http.StatusAccepted)
		So(rejection(submit, true).Status, ShouldEqual, http.StatusGatewayTimeout)
		So(rejection(submit, false).Status, ShouldEqual, http.StatusServiceUnavailable)
		So(rejection(read, true).Status, ShouldEqual, http.StatusServiceUnavailable)
	})
}

func TestSubmission(t *testing.T) {
	answered := func(status int) attempt { return attempt{answer: protocol.BatchAnswer{Status: status}} }
	run := func(stores map[string]func() attempt) (protocol.BatchAnswer, bool, *submission) {
		s := &submission{targets: newTargetList([]string{"a", "b", "c"}), results: make(chan attempt, maxHops), onSlow: func(string) {}}
		s.send = func(ip string) attempt { return stores[ip]() }
		answer, decided := s.run(context.Background())
		return answer, decided, s
	}
	returns := func(result attempt) func() attempt { return func() attempt { return result } }
	Convey("If a store doesn't answer, another one is asked and its answer is returned", t, func() {
		testDone := make(chan struct{})
		defer close(testDone)
		answer, decided, _ := run(map[string]func() attempt{
			"a": func() attempt { <-testDone; return attempt{} },
			"b": returns(attempt{answer: protocol.BatchAnswer{Owner: "c"}}),
			"c": returns(answered(http.StatusAccepted)),
		})
		So(decided, ShouldBeTrue)
		So(answer.Status, ShouldEqual, http.StatusAccepted)
	})
	Convey("A rejection stands only if no store may have accepted the submission", t, func() {
		_, decided, s := run(map[string]func() attempt{
			"a": returns(attempt{err: transport.ErrNotConnected}), "b": returns(answered(http.StatusServiceUnavailable)),
		})
		So(decided, ShouldBeFalse)
		So(s.uncertain, ShouldBeFalse)
		So(s.rejected.Status, ShouldEqual, http.StatusServiceUnavailable)
		_, decided, s = run(map[string]func() attempt{
			"a": returns(attempt{err: transport.ErrUncertain}), "b": returns(answered(http.StatusServiceUnavailable)),
		})
		So(decided, ShouldBeFalse)
		So(s.uncertain, ShouldBeTrue)
	})
}

// store is the function by which a fake batch process answers a call.
type store func(ctx context.Context, call protocol.BatchCall) (protocol.BatchAnswer, error)

func respondsWith(status int) store {
	return func(context.Context, protocol.BatchCall) (protocol.BatchAnswer, error) {
		return protocol.BatchAnswer{Status: status}, nil
	}
}

func redirectsTo(owner string) store {
	return func(context.Context, protocol.BatchCall) (protocol.BatchAnswer, error) {
		return protocol.BatchAnswer{Owner: owner}, nil
	}
}

// frozen is a store that doesn't answer before the call is given up.
func frozen(ctx context.Context, _ protocol.BatchCall) (protocol.BatchAnswer, error) {
	<-ctx.Done()
	return protocol.BatchAnswer{}, transport.ErrUncertain
}

func unreachable(context.Context, protocol.BatchCall) (protocol.BatchAnswer, error) {
	return protocol.BatchAnswer{}, transport.ErrNotConnected
}

// caller returns a caller in zone z with up to three stores, 1 (in z), 2 and 3 (in y), and the list of stores
// that it asks.
func caller(stores ...store) (c *Caller, asked *[]string) {
	list := &protocol.MemberList{}
	for i := range stores {
		list.Stores.Members = append(list.Stores.Members, protocol.StoreMember{
			Process: protocol.Process{IP: fmt.Sprint(i + 1), Zone: []string{"z", "y"}[min(i, 1)]}, State: protocol.StoreActive})
	}
	c = New(&node.Settings{Zone: "z"}, transport.Options{}, func() *protocol.MemberList { return list }, serverload.NewTable())
	var mu sync.Mutex
	asked = &[]string{}
	c.send = func(ctx context.Context, ip string, call protocol.BatchCall) (protocol.BatchAnswer, error) {
		mu.Lock()
		*asked = append(*asked, ip)
		mu.Unlock()
		at, _ := strconv.Atoi(ip)
		ctx, cancel := context.WithTimeout(ctx, answerTimeout)
		defer cancel()
		return stores[at-1](ctx, call)
	}
	return c, asked
}

// TestCallsOfOtherClients checks that a batch job can be accessed through any gateway, even while some stores
// don't answer.
func TestCallsOfOtherClients(t *testing.T) {
	calls := []protocol.BatchOperation{protocol.BatchRead, protocol.BatchBody, protocol.BatchEnd}
	for _, operation := range calls {
		call := protocol.BatchCall{Operation: operation, BatchJob: "job"}
		Convey(fmt.Sprint("Operation ", operation, " finds the owner, past unreachable stores"), t, func() {
			c, asked := caller(unreachable, respondsWith(http.StatusOK), redirectsTo("2"))
			So(c.Call(context.Background(), call).Status, ShouldEqual, http.StatusOK)
			So((*asked)[0], ShouldEqual, "1")
			So(c.Call(context.Background(), call).Status, ShouldEqual, http.StatusOK)
			So((*asked)[len(*asked)-1], ShouldEqual, "2")
			So(slices.Index((*asked)[1:], "1"), ShouldEqual, -1)
		})
		Convey(fmt.Sprint("Operation ", operation, " gets 404 only from a store that is certain"), t, func() {
			c, _ := caller(respondsWith(http.StatusServiceUnavailable), respondsWith(http.StatusServiceUnavailable), unreachable)
			answer := c.Call(context.Background(), call)
			So(answer.Status, ShouldEqual, http.StatusServiceUnavailable)
			c, _ = caller(unreachable, unreachable, unreachable)
			answer = c.Call(context.Background(), call)
			So(answer.Status, ShouldEqual, http.StatusServiceUnavailable)
			So(answer.RetryAfterMs, ShouldBeGreaterThan, 0)
			c, _ = caller(unreachable, redirectsTo("1"), redirectsTo("1"))
			So(c.Call(context.Background(), call).Status, ShouldEqual, http.StatusServiceUnavailable)
			c, _ = caller(redirectsTo("2"), respondsWith(http.StatusNotFound), unreachable)
			So(c.Call(context.Background(), call).Status, ShouldEqual, http.StatusNotFound)
		})
	}
	Convey("A store that timed out is asked last for avoidFor", t, func() {
		synctest.Test(t, func(t *testing.T) {
			c, asked := caller(frozen, respondsWith(http.StatusOK), respondsWith(http.StatusOK))
			read := protocol.BatchCall{Operation: protocol.BatchRead, BatchJob: "job"}
			began := time.Now()
			assert.Equal(t, http.StatusOK, c.Call(context.Background(), read).Status)
			assert.Equal(t, answerTimeout, time.Since(began))
			for range 3 {
				assert.Equal(t, http.StatusOK, c.Call(context.Background(), read).Status)
			}
			assert.Equal(t, answerTimeout, time.Since(began))
			assert.Equal(t, "1", (*asked)[0])
			assert.NotContains(t, (*asked)[1:], "1")
			time.Sleep(avoidFor + 1)
			assert.Equal(t, http.StatusOK, c.Call(context.Background(), read).Status)
			assert.Equal(t, "1", (*asked)[len(*asked)-2])
		})
	})
	Convey("A batch job that is submitted again is accepted again, no matter which store is asked", t, func() {
		synctest.Test(t, func(t *testing.T) {
			for _, stores := range [][]store{
				{respondsWith(http.StatusAccepted), unreachable, unreachable}, {redirectsTo("2"), respondsWith(http.StatusAccepted), unreachable}, {unreachable, unreachable, respondsWith(http.StatusAccepted)},
				{frozen, redirectsTo("3"), respondsWith(http.StatusAccepted)}, {frozen, frozen, respondsWith(http.StatusAccepted)},
			} {
				c, _ := caller(stores...)
				began := time.Now()
				answer := c.Call(context.Background(), protocol.BatchCall{Operation: protocol.BatchSubmit, BatchJob: "job"})
				assert.Equal(t, http.StatusAccepted, answer.Status)
				assert.LessOrEqual(t, time.Since(began), 2*hedgeAfter)
			}
		})
	})
}

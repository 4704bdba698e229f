package poolmember

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func never(int, string) time.Time { return time.Time{} }

func startOne(t *testing.T, spec Spec, started time.Time, told Told) (*Member, *Ledger) {
	l := NewLedger("work-order")
	m, err := Start("m", started, spec, 2, l, told, nil)
	require.NoError(t, err)
	t.Cleanup(m.Stop)
	return m, l
}

var client = &http.Client{Timeout: time.Minute, Transport: &http.Transport{MaxIdleConnsPerHost: 50}}

// ask sends one request from a gateway and gives the status, 0 where nothing came.
func ask(m *Member, gateway int, class, id string, patience time.Duration) (int, string) {
	r, _ := http.NewRequest(http.MethodGet, "http://"+m.Addr(gateway)+"/"+class, nil)
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", "30000")
	c := *client
	c.Timeout = patience
	resp, err := c.Do(r)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

func quick() Spec {
	s := Default()
	s.Work = Work{Mean: 5 * time.Millisecond}
	return s
}

func TestServesAndKeepsAccount(t *testing.T) {
	m, ledger := startOne(t, quick(), time.Time{}, func(g int, _ string) time.Time {
		if g == 1 { // this one was told a second ago that the member drains
			return time.Now().Add(-time.Second)
		}
		return time.Time{}
	})
	code, text := ask(m, 0, "work-order", "x1", time.Minute)
	assert.Equal(t, http.StatusOK, code)
	assert.Equal(t, "done x1", text)
	ask(m, 1, "work-order", "x1", time.Minute)
	ask(m, 1, "health-read", "x2", time.Minute)
	ask(m, 1, "health-read", "x2", time.Minute)
	assert.Equal(t, uint64(1), ledger.Twice())
	a := m.Account()
	assert.Equal(t, []uint64{4, 4, 3}, []uint64{a.Sent, a.Served, a.Late})
}

func TestQueueThatIsFull(t *testing.T) {
	spec := quick()
	spec.Cores, spec.Queue, spec.Work.Mean = 1, 1, 500*time.Millisecond
	m, _ := startOne(t, spec, time.Time{}, never)
	var all sync.WaitGroup
	var mu sync.Mutex
	codes := map[int]int{}
	for i := range 5 {
		all.Go(func() {
			code, _ := ask(m, 0, "health-read", fmt.Sprint(i), time.Minute)
			mu.Lock()
			codes[code]++
			mu.Unlock()
		})
	}
	all.Wait()
	assert.Equal(t, 5, codes[http.StatusOK]+codes[http.StatusServiceUnavailable])
	assert.NotZero(t, codes[http.StatusServiceUnavailable])
	assert.Equal(t, uint64(codes[http.StatusServiceUnavailable]), m.Account().TurnedAway)
}

func TestHangSwallowsAndEnds(t *testing.T) {
	m, _ := startOne(t, quick(), time.Time{}, never)
	m.Hang()
	code, _ := ask(m, 1, "health-read", "a", 100*time.Millisecond)
	assert.Zero(t, code)
	m.Resume()
	code, _ = ask(m, 1, "health-read", "b", time.Minute)
	assert.Equal(t, http.StatusOK, code)
	m.Cut(1, true)
	code, _ = ask(m, 1, "health-read", "c", 100*time.Millisecond)
	assert.Zero(t, code)
	code, _ = ask(m, 0, "health-read", "d", time.Minute)
	assert.Equal(t, http.StatusOK, code)
	assert.Equal(t, map[int]uint64{1: 2}, m.Account().Swallowed)
}

// A member that has just started does a share of its work, and what it is sent beyond its budget is counted.
func TestColdStart(t *testing.T) {
	spec := quick()
	spec.Work.Mean, spec.Cores = time.Second, 2 // warm: two a second
	m, _ := startOne(t, spec, time.Now(), never)
	assert.InDelta(t, 0.2, m.Warmth(), 0.1)
	for i := range 6 { // within a second: 4 x 0.2 x 2 is less than 2, and one more is chance
		ask(m, 0, "health-read", fmt.Sprint(i), 20*time.Millisecond)
	}
	a := m.Account()
	assert.NotZero(t, a.ColdBroken)
	assert.Greater(t, a.PeakCold, 1.0)
	spec.WarmWork = time.Millisecond
	warm, _ := startOne(t, spec, time.Now(), never)
	warm.mu.Lock()
	warm.worked = time.Second
	warm.mu.Unlock()
	assert.Equal(t, 1.0, warm.Warmth())
}

func TestPausesStretchWork(t *testing.T) {
	m, _ := startOne(t, quick(), time.Time{}, never)
	began := time.Now()
	m.Pause(300 * time.Millisecond)
	code, _ := ask(m, 0, "health-read", "a", time.Minute)
	assert.Equal(t, http.StatusOK, code)
	assert.GreaterOrEqual(t, time.Since(began), 300*time.Millisecond)
}

// Another life at the same address, and a member that dies breaks its connections.
func TestAnotherLife(t *testing.T) {
	m, ledger := startOne(t, quick(), time.Time{}, never)
	addrs := m.Addrs()
	m.Stop()
	code, _ := ask(m, 0, "health-read", "a", time.Minute)
	assert.Zero(t, code)
	next, err := Start("m", time.Now(), quick(), 2, ledger, never, addrs)
	require.NoError(t, err)
	t.Cleanup(next.Stop)
	code, _ = ask(next, 1, "health-read", "b", time.Minute)
	assert.Equal(t, http.StatusOK, code)
	assert.Equal(t, addrs, next.Addrs())
}

func TestWorkFollowsFromTheID(t *testing.T) {
	w := Default().Work
	assert.Equal(t, w.draw("a"), w.draw("a"))
	sum := 0.0
	for i := range 4000 {
		sum += w.draw(fmt.Sprint(i)).Seconds()
	}
	assert.InDelta(t, w.Mean.Seconds(), sum/4000, 0.005)
}

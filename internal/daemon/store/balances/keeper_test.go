package balances

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/internal/daemon/store"
	"sprucelane.example/sprucelane/policy"
)

// gateway is a fake whose balances a test changes.
type gateway struct {
	mu       sync.Mutex
	now      policy.Time
	changed  []policy.QuotaBalance
	restored []policy.QuotaBalance
	calls    int
}

func (g *gateway) QuotaBalances(since policy.Time) (list []policy.QuotaBalance, now policy.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.calls++
	g.now++
	if since == 0 || len(g.changed) > 0 {
		list, g.changed = g.changed, nil
	}
	return list, g.now
}

func (g *gateway) RestoreBalances(list []policy.QuotaBalance) { g.restored = list }

// consume changes balances.
func (g *gateway) consume(list ...policy.QuotaBalance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.changed = append(g.changed, list...)
}

// accountKeyFor returns the key of an account that has the plan.
func accountKeyFor(account, plan uint64) uint64 { return account<<32 | plan<<24 | 2 }

// fixture is a running Keeper and its gateway.
type fixture struct {
	opt     Options
	gateway *gateway
	keeper  *Keeper
	stop    func()
}

// startKeeper opens and runs the Keeper of a gateway on a store's directory, with a wall clock that stands at a time.
func startKeeper(t *testing.T, path, gatewayName string, at time.Time) *fixture {
	s := &fixture{gateway: &gateway{}, opt: Options{Path: path, Name: gatewayName, Plans: []string{"farm", "utility"},
		Now: func() time.Time { return at }}}
	var err error
	s.keeper, err = Open(s.opt, s.gateway)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); s.keeper.Run(ctx) }()
	s.stop = sync.OnceFunc(func() { cancel(); <-done })
	t.Cleanup(s.stop)
	return s
}

// The next process restores the balances of the last one, with their age by the wall clocks of both. Plans are
// matched by name. Balances of a plan that no longer exists, or older than balanceTTL, are left out.
func TestRestoreAfterRestart(t *testing.T) {
	path, at := filepath.Join(t.TempDir(), "store"), time.UnixMilli(1_700_000_000_000)
	s := startKeeper(t, path, "g0", at)
	assert.Empty(t, s.gateway.restored)
	s.gateway.consume(policy.QuotaBalance{Key: accountKeyFor(1, 0), Customer: 1, Balance: 3.5},
		policy.QuotaBalance{Key: accountKeyFor(2, 1), Customer: 2, Balance: -4},
		policy.QuotaBalance{Key: accountKeyFor(3, 1), Balance: 7})
	require.Eventually(t, func() bool { return s.keeper.Stats().Entries == 4 }, 10*time.Second, time.Millisecond)
	s.gateway.consume(policy.QuotaBalance{Key: accountKeyFor(3, 1), Balance: 6})
	s.stop()
	next := startKeeper(t, path, "g0", at.Add(5*time.Second))
	require.Len(t, next.gateway.restored, 3)
	assert.Equal(t, policy.QuotaBalance{Key: accountKeyFor(1, 0), Customer: 1, Balance: 3.5, Age: 5 * time.Second,
		Downtime: 5 * time.Second}, next.gateway.restored[0])
	assert.Equal(t, -4.0, next.gateway.restored[1].Balance)
	assert.Equal(t, 6.0, next.gateway.restored[2].Balance)
	assert.Equal(t, 3, next.keeper.Stats().Restored)
	assert.EqualValues(t, 2, next.keeper.Stats().Epoch)
	next.stop()
	late := startKeeper(t, path, "g0", at.Add(-time.Hour))
	for _, u := range late.gateway.restored {
		assert.Zero(t, u.Age, "the clock was set back: nothing counts as refilled")
		assert.Zero(t, u.Downtime)
	}
	late.stop()
	g := &gateway{}
	k, err := Open(Options{Path: path, Name: "g0", Plans: []string{"utility"},
		Now: func() time.Time { return at.Add(time.Minute) }}, g)
	require.NoError(t, err)
	require.Len(t, g.restored, 2)
	assert.Equal(t, accountKeyFor(2, 0), g.restored[0].Key)
	k.store.Close()
	g = &gateway{}
	k, err = Open(Options{Path: path, Name: "g0", Plans: []string{"farm", "utility"},
		Now: func() time.Time { return at.Add(2 * time.Hour) }}, g)
	require.NoError(t, err)
	assert.Empty(t, g.restored)
	k.store.Close()
}

// The store of another gateway, and a damaged one, are quarantined unchanged, and the gateway starts with an empty one.
func TestUnusableStoreIsQuarantined(t *testing.T) {
	dir, at := t.TempDir(), time.UnixMilli(1_700_000_000_000)
	path := filepath.Join(dir, "store")
	s := startKeeper(t, path, "g0", at)
	s.gateway.consume(policy.QuotaBalance{Key: accountKeyFor(1, 0), Balance: 1})
	require.Eventually(t, func() bool { return s.keeper.Stats().Entries == 2 }, 10*time.Second, time.Millisecond)
	s.stop()
	other := startKeeper(t, path, "g1", at.Add(time.Second))
	assert.Empty(t, other.gateway.restored)
	assert.DirExists(t, other.keeper.Stats().QuarantinePath)
	other.stop()
	require.NoError(t, os.Remove(filepath.Join(path, "MANIFEST")))
	again := startKeeper(t, path, "g1", at.Add(2*time.Second))
	assert.Empty(t, again.gateway.restored)
	assert.NotEqual(t, other.keeper.Stats().QuarantinePath, again.keeper.Stats().QuarantinePath)
	again.stop()
	fs, err := store.OpenDir(other.keeper.Stats().QuarantinePath)
	require.NoError(t, err)
	kept, err := store.Open(fs, store.Options{})
	require.NoError(t, err)
	assert.Equal(t, 2, kept.Counters().Entries)
	kept.Close()
}

// While a predecessor has the store locked, Run retries to open it, and persists once it has; nothing is restored.
func TestWaitsForPredecessorsLock(t *testing.T) {
	path, at := filepath.Join(t.TempDir(), "store"), time.UnixMilli(1_700_000_000_000)
	old := startKeeper(t, path, "g0", at)
	waits := make(chan struct{}, 100)
	g := &gateway{}
	k, err := Open(Options{Path: path, Name: "g0", Plans: []string{"farm"},
		OnLockRetry: func() { waits <- struct{}{} }}, g)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); k.Run(ctx) }()
	<-waits
	assert.Zero(t, k.Stats().Epoch)
	old.stop()
	require.Eventually(t, func() bool { return k.Stats().Epoch == 2 }, 20*time.Second, 10*time.Millisecond)
	g.consume(policy.QuotaBalance{Key: accountKeyFor(1, 0), Balance: 1})
	require.Eventually(t, func() bool { return k.Stats().Entries >= 2 }, 20*time.Second, 10*time.Millisecond)
	assert.Empty(t, g.restored)
	cancel()
	<-done
}

// A directory that can't be created fails Open. With a full store Stats returns ErrLimitExceeded.
func TestStoreErrors(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(file, nil, 0o600))
	_, err := Open(Options{Path: filepath.Join(file, "store"), Name: "g0"}, &gateway{})
	assert.Error(t, err)
	g := &gateway{}
	k, err := Open(Options{Path: filepath.Join(t.TempDir(), "store"), Name: "g0", Store: store.Options{MaxBytes: 60}}, g)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); k.Run(ctx) }()
	limited := func() bool { return errors.Is(k.Stats().Err, store.ErrLimitExceeded) }
	require.Eventually(t, limited, 10*time.Second, time.Millisecond)
	cancel()
	<-done
}

// The decoders don't panic on any input, and a balance that they accept survives a round trip.
func FuzzDecodeValues(f *testing.F) {
	f.Add(encodeAccountKey(7), encodeBalance(policy.QuotaBalance{Key: 7, Customer: 9, Balance: -2.5}, 1_700_000_000_000))
	f.Add([]byte(incarnationKey), encodeIncarnation(incarnation{"g0", 5, []string{"a", "b"}}))
	f.Fuzz(func(t *testing.T, key, value []byte) {
		Describe(key, value)
		if u, at, err := decodeBalance(key, value); err == nil {
			again, at2, err := decodeBalance(encodeAccountKey(u.Key), encodeBalance(u, at))
			if err != nil || again != u || at2 != at {
				t.Fatalf("%+v after a round trip: %+v", u, again)
			}
		}
	})
}

// Package balances persists the data that a gateway needs after a restart: how much of its quota each account has
// used. The Keeper writes the balances that have changed to the gateway's store (package store) every WriteInterval,
// and restores them to the gateway when the next process opens the store. Together with the store's FlushInterval,
// that bounds what a crash loses.
//
// It never delays the gateway: it works in a separate goroutine, and a slow, full or failed disk only ends the
// persisting. It never restores balances of another gateway: a store that is damaged or belongs to another gateway is
// quarantined (renamed, for inspection), and the gateway starts with an empty one.
//
// The database has one record per account, and one record of the process that wrote it, its incarnation. Values are
// protocol buffers; their messages are in api/sprucelane/v1/keep.proto.
package balances

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/daemon/store"
	"sprucelane.example/sprucelane/policy"
)

const (
	// WriteInterval is how often changed balances are written.
	WriteInterval = 100 * time.Millisecond
	// heartbeatInterval is how often the incarnation is written when no balance changes. From its time the next
	// process knows since when the gateway has not been running.
	heartbeatInterval = time.Second
	// lockRetryInterval is how often Run tries to open a store that another process has locked: a predecessor that is
	// shutting down.
	lockRetryInterval = 500 * time.Millisecond
	// balanceTTL is the age at which a balance is no longer restored. Every quota has been refilled by then.
	balanceTTL = time.Hour
)

// Gateway is the part of the gateway that the Keeper uses.
type Gateway interface {
	// QuotaBalances returns the balances that changed since a time, and the time to pass to the next call.
	QuotaBalances(since policy.Time) (list []policy.QuotaBalance, now policy.Time)
	// RestoreBalances restores the balances that the predecessor persisted.
	RestoreBalances(list []policy.QuotaBalance)
}

// Options are the settings of a Keeper.
type Options struct {
	Path        string           // of the store's directory
	Name        string           // the gateway's; a store of another gateway is quarantined
	Plans       []string         // names by number; balances are matched by the name, as numbers may change
	Store       store.Options    // limits of the store
	Now         func() time.Time // wall clock; nil: time.Now
	OnLockRetry func()           // for tests: called before each attempt to open a locked store; may be nil
}

// Keeper persists the quota balances of one gateway.
type Keeper struct {
	opt     Options
	gateway Gateway

	// mu guards the fields below. It is not held while the disk is accessed.
	mu             sync.Mutex
	store          *store.Store // nil: not open, as another process has locked it
	restored       int          // number of accounts whose balance was restored
	quarantinePath string       // where the last unusable store was moved to; empty: there was none
	err            error        // the latest error; nothing is written after the store's first one
}

// Open opens the store, restores the balances that the gateway's predecessor persisted, and returns a Keeper whose
// Run the caller has to call. If another process has the store locked, Run opens it later, and nothing is restored.
func Open(opt Options, g Gateway) (*Keeper, error) {
	if opt.Now == nil {
		opt.Now = time.Now
	}
	k := &Keeper{opt: opt, gateway: g}
	err := k.open(true)
	if errors.Is(err, store.ErrLocked) {
		return k, nil
	}
	return k, err
}

// open opens the store, quarantines one that is unusable, and, with restore, restores the balances.
func (k *Keeper) open(restore bool) error {
	fs, err := store.OpenDir(k.opt.Path)
	if err != nil {
		return err
	}
	s, err := store.Open(fs, k.opt.Store)
	var corruption *store.CorruptionError
	if errors.As(err, &corruption) {
		if s, err = k.quarantine(err.Error()); err != nil {
			return err
		}
	}
	if err != nil {
		return err
	}
	last, found, err := loadIncarnation(s)
	if err != nil || found && last.name != k.opt.Name {
		reason := fmt.Sprintf("store of another gateway: %q", last.name)
		if err != nil {
			reason = err.Error()
		}
		s.Close()
		if s, err = k.quarantine(reason); err != nil {
			return err
		}
		found = false
	}
	if found && restore {
		k.restore(s, last)
	}
	k.mu.Lock()
	k.store = s
	k.mu.Unlock()
	return nil
}

// quarantine renames the directory of an unusable store, and opens an empty store in its place.
func (k *Keeper) quarantine(reason string) (*store.Store, error) {
	to := fmt.Sprintf("%s.aside-%d", k.opt.Path, k.opt.Now().UnixMilli())
	if err := os.Rename(k.opt.Path, to); err != nil {
		return nil, err
	}
	slog.Warn("store_set_aside", "path", k.opt.Path, "to", to, "why", reason)
	k.mu.Lock()
	k.quarantinePath = to
	k.mu.Unlock()
	fs, err := store.OpenDir(k.opt.Path)
	if err != nil {
		return nil, err
	}
	return store.Open(fs, k.opt.Store)
}

// restore gives the gateway the balances that its last incarnation wrote, with their age by the wall clocks of both
// processes. If the clock was set back, the age is 0, so that no quota counts as refilled.
func (k *Keeper) restore(s *store.Store, last incarnation) {
	now := k.opt.Now().UnixMilli()
	var list []policy.QuotaBalance
	s.Each([]byte{accountPrefix}, func(key, value []byte) bool {
		balance, at, err := decodeBalance(key, value)
		plan := planOf(balance.Key)
		if err != nil || plan >= len(last.plans) || now-at > balanceTTL.Milliseconds() {
			return true
		}
		current := slices.Index(k.opt.Plans, last.plans[plan])
		if current < 0 {
			return true // the plan no longer exists
		}
		balance.Key = withPlan(balance.Key, current)
		balance.Age = time.Duration(max(0, now-at)) * time.Millisecond
		balance.Downtime = time.Duration(max(0, now-last.lastAliveMs)) * time.Millisecond
		list = append(list, balance)
		return true
	})
	k.mu.Lock()
	k.restored = len(list)
	k.mu.Unlock()
	k.gateway.RestoreBalances(list)
}

// Run persists balances until ctx ends, and closes the store.
func (k *Keeper) Run(ctx context.Context) {
	since, lastWrite := policy.Time(0), time.Time{}
	tick := time.NewTicker(WriteInterval)
	defer tick.Stop()
	for {
		k.mu.Lock()
		s := k.store
		k.mu.Unlock()
		if s == nil {
			if !k.retryOpen(ctx) {
				return
			}
			continue
		}
		list, now := k.gateway.QuotaBalances(since)
		if len(list) > 0 || k.opt.Now().Sub(lastWrite) >= heartbeatInterval {
			since, lastWrite = now, k.opt.Now()
			k.write(s, list)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			list, _ := k.gateway.QuotaBalances(since)
			k.write(s, list)
			s.Close()
			return
		}
	}
}

// retryOpen waits lockRetryInterval and tries to open the store that was locked. It returns false if ctx has ended or
// the store can't be opened.
func (k *Keeper) retryOpen(ctx context.Context) bool {
	if k.opt.OnLockRetry != nil {
		k.opt.OnLockRetry()
	}
	wait := time.NewTimer(lockRetryInterval)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
		return false
	}
	if err := k.open(false); err != nil && !errors.Is(err, store.ErrLocked) {
		k.recordFailure(err)
		return false
	}
	return true
}

// write persists some balances and the time at which the gateway was running.
func (k *Keeper) write(s *store.Store, list []policy.QuotaBalance) {
	now := k.opt.Now().UnixMilli()
	var b store.Batch
	for _, balance := range list {
		b.Put(encodeAccountKey(balance.Key), encodeBalance(balance, now))
	}
	b.Put([]byte(incarnationKey), encodeIncarnation(incarnation{k.opt.Name, now, k.opt.Plans}))
	if err := s.Write(&b, store.Buffered); err != nil {
		k.recordFailure(err)
	}
}

// recordFailure keeps an error for Stats, and logs the first one.
func (k *Keeper) recordFailure(err error) {
	k.mu.Lock()
	first := k.err == nil
	k.err = err
	k.mu.Unlock()
	if first {
		slog.Error("store_failed", "path", k.opt.Path, "err", err)
	}
}

// Stats are counters for operators.
type Stats struct {
	store.Counters
	Restored       int    // accounts whose balance was restored
	QuarantinePath string // where an unusable store was moved to; empty: there was none
	Err            error  // why balances are not persisted; nil: no error so far
	Epoch          uint64 // how often the store has been opened; 0: it is not open
}

// Stats returns the counters and the latest error.
func (k *Keeper) Stats() Stats {
	k.mu.Lock()
	defer k.mu.Unlock()
	f := Stats{Restored: k.restored, QuarantinePath: k.quarantinePath, Err: k.err}
	if k.store != nil {
		if f.Counters, f.Epoch = k.store.Counters(), k.store.Epoch(); f.Err == nil {
			f.Err = k.store.Err()
		}
	}
	return f
}
